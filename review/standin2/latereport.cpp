#include "cases.h"

#include <csignal>

namespace review {

namespace {

constexpr double DrainSeconds = 2; // drain_s
constexpr double LateBySeconds = 2.2; // "a status report may arrive seconds late"
constexpr double ServesAfterLeaving = 7; // "at times many seconds"
constexpr int Clients = 4;

} // namespace

/// An instance deregisters and goes on serving for a while. A status report that it sent before arrives late. With
/// trouble, its node is killed after the ack and started again before the report arrives.
int runLateReport(Record &record, bool trouble)
{
    Fleet fleet(record, {"huvo11a", "wuno96b", "wuno96b"});
    if (!fleet.waitReady(10)) {
        return 2;
    }
    Node &leavingNode = *fleet.nodes[1];
    std::atomic<double> ackedAt{0};
    std::atomic<double> restartedAt{0};
    std::atomic<int> runsBefore{0};
    std::atomic<int> tooLate{0};
    Runs runsTooLate;
    auto leaving = std::make_unique<Instance>(leavingNode.machine(), "i-leaving", [&](const Message &message) {
        const double now = secondsNow();
        const std::string id = message.header("X-Attempt-Id");
        record.line("i-leaving runs " + id);
        if (ackedAt == 0) {
            ++runsBefore;
        } else if (now > ackedAt + DrainSeconds && now > restartedAt + ContactSeconds) {
            runsTooLate.add(id);
            ++tooLate;
        }
        sleepSeconds(0.2);
    });
    Instance staying(fleet.nodes[2]->machine(), "i-staying", [](const Message & /*message*/) {
        sleepSeconds(0.2);
    });
    staying.keepReporting();
    leaving->keepReporting();

    std::atomic<bool> sending{true};
    std::atomic<int> failed{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            for (int i = 0; sending; ++i) {
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
                const Answer answer = request(
                    fleet.nodes[0]->machine().ip, OutboundPort, {"POST", Host, "/file/a", id, Key, 5000, "result"});
                record.line("sent " + id + ", answered " + std::to_string(answer.status));
                if (answer.status != 200) {
                    failed += runsTooLate.contains(id) ? 1 : 0;
                    sleepSeconds(0.1);
                }
            }
        });
    }
    sleepSeconds(ContactSeconds + 1);
    leaving->stopReporting();
    const std::string lateReport = leaving->beat("ready");
    const double reportSentAt = secondsNow();
    record.line("i-leaving sends a status report that arrives late");
    sleepSeconds(0.2);
    const bool acked = leaving->deregister();
    ackedAt = secondsNow();
    record.line(std::string("i-leaving deregisters: ") + (acked ? "acknowledged" : "not acknowledged"));
    if (trouble) {
        leavingNode.signal(SIGKILL);
        leavingNode.wait();
        sleepSeconds(0.5);
        leavingNode.start(false);
        restartedAt = secondsNow();
        record.line("its node was killed and is started again");
    }
    sleepSeconds(reportSentAt + LateBySeconds - secondsNow());
    const bool taken = leaving->report(lateReport);
    record.line(std::string("the late status report arrives: ") + (taken ? "acknowledged" : "not acknowledged"));
    sleepSeconds(ackedAt + ServesAfterLeaving - secondsNow());
    record.line("i-leaving exits");
    leaving.reset();
    sleepSeconds(0.5);
    sending = false;
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("i-leaving ran " + std::to_string(runsBefore) + " requests before it left and " + std::to_string(tooLate)
                + " later than drain_s after the ack, by machines in touch; of these, not answered with success: "
                + std::to_string(failed));
    if (!acked || runsBefore == 0) {
        return 2;
    }
    return tooLate > 0 ? 1 : 0;
}

} // namespace review
