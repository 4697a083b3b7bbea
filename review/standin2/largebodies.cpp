#include "cases.h"

namespace review {

namespace {

constexpr std::size_t Machines = 6;
constexpr int UploadersPerMachine = 1;
constexpr int UploadsPerClient = 10;
constexpr std::size_t LargeBody = 30000000; // less than half of max_body_bytes
constexpr std::size_t SmallBody = 4000;
constexpr int KeptClientsPerMachine = 8;
constexpr int LostAllowed = 3; // "more than three times"

} // namespace

/// Clients of each machine send bodies that are well inside max_body_bytes.
int runLargeBodies(Record &record, bool trouble)
{
    Fleet fleet(record, std::vector<std::string>(Machines, "wuno96b"));
    if (!fleet.waitReady(10)) {
        return 2;
    }
    Runs runs;
    std::vector<std::unique_ptr<Instance>> instances;
    for (const auto &node : fleet.nodes) {
        instances.push_back(
            std::make_unique<Instance>(node->machine(), "i-" + node->machine().name, [&runs](const Message &message) {
                runs.add(message.header("X-Attempt-Id"));
                sleepSeconds(0.2);
            }));
        instances.back()->keepReporting();
    }
    MemoryLimit memory(fleet);
    std::vector<std::unique_ptr<KeptClients>> kept;
    for (std::size_t i = 0; i < Machines; ++i) {
        kept.push_back(std::make_unique<KeptClients>(fleet, i, KeptClientsPerMachine, runs));
    }
    sleepSeconds(ContactSeconds + 1);
    const std::string body = pattern(trouble ? LargeBody : SmallBody);
    record.line("clients send bodies of " + std::to_string(body.size()) + " bytes; max_body_bytes is "
                + std::to_string(MaxBodyBytes));
    std::atomic<int> uploadsAnswered{0};
    std::atomic<int> uploadsCut{0};
    std::vector<std::thread> uploaders;
    for (std::size_t i = 0; i < Machines * UploadersPerMachine; ++i) {
        uploaders.emplace_back([&, i] {
            for (int j = 0; j < UploadsPerClient; ++j) {
                const std::string id = "upload-" + std::to_string(i) + "-" + std::to_string(j);
                const Answer answer = request(fleet.nodes[i % Machines]->machine().ip,
                                              OutboundPort,
                                              {"POST", Host, "/file/a", id, Key, 5000, body});
                record.line(id + " was sent; "
                            + (answer.complete ? "answered " + std::to_string(answer.status) : "no answer")
                            + (runs.contains(id) ? "; an instance has run it" : "; it has not run"));
                ++(answer.complete ? uploadsAnswered : uploadsCut);
                sleepSeconds(0.05);
            }
        });
    }
    for (std::thread &uploader : uploaders) {
        uploader.join();
    }
    sleepSeconds(0.5);
    memory.stop();
    bool broken = false;
    int answered = 0;
    for (std::size_t i = 0; i < Machines; ++i) {
        kept[i]->stop();
        answered += kept[i]->answered();
        record.line(fleet.nodes[i]->machine().name + ": peak " + std::to_string(memory.peak(i) >> 20U)
                    + " MB, kept connections that ended without an answer to a request that was passed on: "
                    + std::to_string(kept[i]->lost()));
        broken |= memory.endedAt(i) > 0 && kept[i]->lost() > LostAllowed;
    }
    record.line("processes that ended over their memory: " + std::to_string(memory.ended()) + "; uploads answered: "
                + std::to_string(uploadsAnswered) + ", cut: " + std::to_string(uploadsCut));
    if (answered == 0) {
        return 2;
    }
    return broken ? 1 : 0;
}

} // namespace review
