// The scripted cases of the review: review-case CASE ROOT RECORD. Exits with 1 if the rule was broken, 0 if it held,
// 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace review;
using std::chrono::seconds;

namespace {

bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void sleepUntil(Record &record, double at)
{
    const double left = at - record.seconds();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
}

/// One exchange of a client on a connection of its own, which it keeps open.
struct Exchange {
    ClientRequest request;
    int socket = -1;
    double sentAt = 0;
    double endedAt = 0;
    ReadResult result = ReadResult::TimedOut;
    Message answer;
    std::thread reader;

    [[nodiscard]] std::string text() const
    {
        if (result == ReadResult::Complete) {
            return "answered with " + std::to_string(answer.status());
        }
        return result == ReadResult::TimedOut ? "still without an answer"
            : answer.startLine.empty()        ? "closed without an answer"
                                              : "closed after " + std::to_string(answer.body.size()) + " of "
                    + std::to_string(answer.declaredLength) + " bytes of its answer";
    }
};

void begin(Record &record, Exchange &exchange, Millis limit, std::size_t bytesPerSecond = 0)
{
    exchange.sentAt = record.seconds();
    record.line("client sends " + exchange.request.id + " " + exchange.request.method + " " + exchange.request.path);
    sendAll(exchange.socket, exchange.request.text());
    exchange.reader = std::thread([&record, &exchange, limit, bytesPerSecond] {
        std::string buffer;
        exchange.result = readMessage(exchange.socket, buffer, exchange.answer, Clock::now() + limit, bytesPerSecond);
        exchange.endedAt = record.seconds();
        record.line("client: " + exchange.request.id + " " + exchange.text());
    });
}

void finish(std::vector<std::unique_ptr<Exchange>> &exchanges)
{
    for (const auto &exchange : exchanges) {
        if (exchange->reader.joinable()) {
            exchange->reader.join();
        }
        if (exchange->socket >= 0) {
            close(exchange->socket);
        }
    }
}

bool wasRun(Fleet &fleet, const std::vector<std::string> &machines, const std::string &id)
{
    for (const std::string &name : machines) {
        for (const Run &run : fleet.machine(name).instance->runs()) {
            if (run.id == id) {
                return true;
            }
        }
    }
    return false;
}

/// A planned stop while answers are on their way to clients that read slowly.
int slowReaders(Record &record, const std::string &root)
{
    constexpr int Clients = 5;
    constexpr std::size_t AnswerBytes = 4000000;
    constexpr std::size_t BytesPerSecond = 760000;
    Fleet fleet(record, root);
    Machine &desk = fleet.add("sidecar-pnw-a-1", "pnw-a", "desk", 20);
    fleet.add("sidecar-pnw-a-2", "pnw-a", "filing", 40);
    fleet.add("sidecar-pnw-b-1", "pnw-b", "filing", 40);
    const std::string host = "jepu9.example";
    fleet.start(desiredState(host, {"desk", "filing"}, {route("r-file", "/file/", "non_idempotent", "filing", 12)}));
    askUntilServed(desk, {.method = "POST", .host = host, .path = "/file/1?work_ms=5", .id = {}, .body = "x"},
                   seconds(10));
    sleepUntil(record, record.seconds() + 4); // The machines are in touch.
    std::vector<std::unique_ptr<Exchange>> exchanges;
    for (int i = 0; i < Clients; ++i) {
        auto exchange = std::make_unique<Exchange>();
        exchange->request = {.method = "POST", .host = host,
                             .path = "/file/2?work_ms=50&bytes=" + std::to_string(AnswerBytes),
                             .id = newAttemptId(), .deadlineMs = 12000, .body = "a calibration result"};
        // The segment size of Ethernet, as between two machines.
        exchange->socket = connectTo(desk.outbound, {.receiveBuffer = 16384, .segmentSize = 1460});
        begin(record, *exchange, Millis(12000), BytesPerSecond);
        exchanges.push_back(std::move(exchange));
    }
    sleepUntil(record, record.seconds() + 0.2);
    const double stoppedAt = record.seconds();
    if (trouble()) {
        fleet.signal(desk, SIGTERM);
        fleet.awaitEnd(desk, Millis(6000));
    }
    finish(exchanges);
    int lost = 0;
    for (const auto &exchange : exchanges) {
        const bool cut = exchange->result == ReadResult::Ended;
        lost += cut && exchange->endedAt < stoppedAt + 7 ? 1 : 0;
        if (exchange->result == ReadResult::TimedOut) {
            throw CannotRun{"a client did not read its answer in time"};
        }
    }
    record.line("LOST: " + std::to_string(lost) + " of " + std::to_string(Clients)
                + " requests ended without a complete answer after the instance had answered");
    return lost > 0 ? 1 : 0;
}

/// A planned stop while requests wait in the queues of other nodes.
int queuedAtStop(Record &record, const std::string &root)
{
    constexpr int Clients = 4;
    Fleet fleet(record, root);
    Machine &desk = fleet.add("sidecar-pnw-a-1", "pnw-a", "desk", 20);
    Machine &first = fleet.add("sidecar-pnw-b-1", "pnw-b", "archive", 3);
    Machine &second = fleet.add("sidecar-pnw-c-1", "pnw-c", "archive", 3);
    const std::string host = "hulo84.example";
    fleet.start(desiredState(host, {"desk", "archive"}, {route("r-history", "/history/", "idempotent", "archive", 15)}));
    const ClientRequest probe{.host = host, .path = "/history/1?work_ms=20"};
    for (Machine *machine : {&first, &second, &desk, &first, &second}) {
        askUntilServed(*machine, probe, seconds(10));
    }
    sleepUntil(record, record.seconds() + 4); // The machines are in touch.
    std::vector<std::unique_ptr<Exchange>> exchanges;
    const auto sendFrom = [&](Machine &machine, const std::string &path) -> Exchange & {
        auto exchange = std::make_unique<Exchange>();
        exchange->request = {.host = host, .path = path, .id = newAttemptId(), .deadlineMs = 15000};
        exchange->socket = connectTo(machine.outbound);
        begin(record, *exchange, Millis(16000));
        exchanges.push_back(std::move(exchange));
        return *exchanges.back();
    };
    // Long history reads occupy the usable slots of both instances.
    for (int i = 0; i < 2; ++i) {
        sendFrom(first, "/history/long?work_ms=11000");
        sendFrom(second, "/history/long?work_ms=11000");
    }
    sleepUntil(record, record.seconds() + 0.5);
    std::vector<Exchange *> waiting;
    for (int i = 0; i < Clients; ++i) {
        waiting.push_back(&sendFrom(desk, "/history/short?work_ms=300"));
    }
    sleepUntil(record, record.seconds() + 0.6);
    const double stoppedAt = record.seconds();
    if (trouble()) {
        fleet.signal(desk, SIGTERM);
        fleet.awaitEnd(desk, Millis(6000));
    }
    for (Exchange *exchange : waiting) {
        exchange->reader.join();
    }
    int lost = 0;
    for (const Exchange *exchange : waiting) {
        const bool run = wasRun(fleet, {first.name, second.name}, exchange->request.id);
        record.line(exchange->request.id + (run ? " was run" : " was not run by any instance") + ", "
                    + exchange->text() + " " + std::to_string(exchange->endedAt - exchange->sentAt) + " s after it was sent");
        const bool cut = exchange->result == ReadResult::Ended;
        lost += cut && !run && exchange->endedAt < stoppedAt + 7 ? 1 : 0;
    }
    for (const auto &exchange : exchanges) {
        shutdown(exchange->socket, SHUT_RDWR);
    }
    finish(exchanges);
    record.line("LOST: " + std::to_string(lost) + " of " + std::to_string(Clients)
                + " requests that no instance was at work on ended without an answer");
    return lost > 0 ? 1 : 0;
}

/// One of three instances falls silent under load. A client with pipelined requests on its way to that instance leaves.
int silentInstance(Record &record, const std::string &root)
{
    constexpr int Callers = 6;
    constexpr int PipelinedLookups = 8;
    Fleet fleet(record, root);
    Machine &silent = fleet.add("sidecar-pnw-a-1", "pnw-a", "archive", 2);
    Machine &second = fleet.add("sidecar-pnw-b-1", "pnw-b", "archive", 2);
    Machine &third = fleet.add("sidecar-pnw-c-1", "pnw-c", "archive", 2);
    fleet.add("sidecar-pnw-a-2", "pnw-a", "filing", 40);
    fleet.add("sidecar-pnw-b-2", "pnw-b", "filing", 40);
    const std::string host = "hulo84.example";
    fleet.start(desiredState(host,
                             {"archive", "filing"},
                             {route("r-history", "/history/", "idempotent", "archive", 12),
                              route("r-file", "/file/", "non_idempotent", "filing", 12)}));
    // The instances differ in speed.
    askUntilServed(silent, {.host = host, .path = "/history/1?work_ms=20"}, seconds(10));
    askUntilServed(second, {.host = host, .path = "/history/1?work_ms=3000"}, seconds(10));
    askUntilServed(third, {.host = host, .path = "/history/1?work_ms=3000"}, seconds(10));
    askUntilServed(silent, {.method = "POST", .host = host, .path = "/file/1?work_ms=5", .body = "x"}, seconds(10));
    sleepUntil(record, record.seconds() + 4); // The machines are in touch.
    std::vector<std::unique_ptr<Exchange>> lookups;
    const auto lookUp = [&](Machine &machine, int workMs) {
        auto exchange = std::make_unique<Exchange>();
        exchange->request = {.host = host, .path = "/history/2?work_ms=" + std::to_string(workMs),
                             .id = newAttemptId(), .deadlineMs = 12000};
        exchange->socket = connectTo(machine.outbound);
        begin(record, *exchange, Millis(13000));
        lookups.push_back(std::move(exchange));
    };
    // Kept connections: each has carried an answered request.
    std::vector<std::unique_ptr<Exchange>> exchanges;
    for (int i = 0; i < Callers; ++i) {
        auto exchange = std::make_unique<Exchange>();
        exchange->request = {.method = "POST", .host = host, .path = "/file/2?work_ms=5", .id = newAttemptId(),
                             .deadlineMs = 12000, .body = "x"};
        exchange->socket = connectTo(silent.outbound);
        begin(record, *exchange, Millis(3000));
        exchange->reader.join();
        if (exchange->answer.status() != 200) {
            throw CannotRun{"a first request of a kept connection was not served"};
        }
        exchanges.push_back(std::move(exchange));
    }
    if (trouble()) {
        silent.instance->fallSilent();
        record.line("instance " + silent.instance->id() + " falls silent");
    }
    const double silentAt = record.seconds();
    const int pipelined = connectTo(silent.outbound);
    const auto lookUpPipelined = [&](int workMs) {
        const ClientRequest lookup{.host = host, .path = "/history/2?work_ms=" + std::to_string(workMs),
                                   .id = newAttemptId(), .deadlineMs = 12000};
        record.line("client sends " + lookup.id + " GET " + lookup.path + " on the pipelined connection");
        sendAll(pipelined, lookup.text());
    };
    sleepUntil(record, silentAt + 1);
    lookUpPipelined(9000);
    lookUp(second, 11000);
    lookUp(third, 11000);
    sleepUntil(record, silentAt + 3.5);
    for (int i = 0; i < 5; ++i) {
        lookUp(second, 300);
        lookUp(third, 300);
    }
    sleepUntil(record, silentAt + 4.2);
    for (int i = 0; i < PipelinedLookups; ++i) {
        lookUpPipelined(300);
    }
    sleepUntil(record, silentAt + 6);
    for (const auto &exchange : exchanges) {
        exchange->request = {.method = "POST", .host = host, .path = "/file/3?work_ms=1500", .id = newAttemptId(),
                             .deadlineMs = 12000, .body = "a calibration result"};
        begin(record, *exchange, Millis(12000));
    }
    sleepUntil(record, silentAt + 6.6);
    record.line("the client of the pipelined connection leaves");
    close(pipelined);
    const auto ended = fleet.awaitEnd(silent, Millis(1000));
    for (const auto &exchange : exchanges) {
        exchange->reader.join();
    }
    int lost = 0;
    for (const auto &exchange : exchanges) {
        lost += exchange->result == ReadResult::Ended ? 1 : 0;
    }
    for (const auto &exchange : lookups) {
        shutdown(exchange->socket, SHUT_RDWR);
    }
    finish(exchanges);
    finish(lookups);
    record.line(std::string("the sidecar ") + (ended ? "ended by itself" : "runs on"));
    record.line("LOST: " + std::to_string(lost) + " of " + std::to_string(Callers)
                + " requests from kept connections, passed on to a sound instance, ended without an answer");
    return lost > 3 ? 1 : 0;
}

/// A heartbeat that is late by seconds arrives after the deregistration was acknowledged by a restarted sidecar.
int lateHeartbeat(Record &record, const std::string &root)
{
    Fleet fleet(record, root);
    Machine &desk = fleet.add("sidecar-pnw-a-1", "pnw-a", "desk", 20);
    Machine &leaving = fleet.add("sidecar-pnw-a-2", "pnw-a", "filing", 20);
    fleet.add("sidecar-pnw-b-1", "pnw-b", "filing", 20);
    const std::string host = "jepu9.example";
    fleet.start(desiredState(host, {"desk", "filing"}, {route("r-file", "/file/", "non_idempotent", "filing", 5)}));
    const ClientRequest file{.method = "POST", .host = host, .path = "/file/1?work_ms=20", .id = {}, .body = "x"};
    askUntilServed(desk, file, seconds(10));
    sleepUntil(record, record.seconds() + 4); // The machines are in touch.
    leaving.instance->stopHeartbeats();
    if (trouble()) {
        // A planned restart of the sidecar alone; the instance runs on.
        fleet.signal(leaving, SIGTERM);
        if (!fleet.awaitEnd(leaving, Millis(6500))) {
            throw CannotRun{"the sidecar did not end within its grace time"};
        }
        fleet.startSidecar(leaving);
        fleet.awaitReady(leaving);
    }
    const double readyAt = record.seconds();
    // The heartbeat that is due now is delayed on its way; the next one would be the deregistration.
    const std::string late = leaving.instance->nextHeartbeatBody("ready");
    record.line("instance " + leaving.instance->id() + " sends a heartbeat (ready) that arrives late");
    sleepUntil(record, readyAt + 0.5);
    if (!leaving.instance->deregister()) {
        throw CannotRun{"the deregistration was not acknowledged"};
    }
    const double acknowledgedAt = record.seconds();
    record.line("the deregistration of " + leaving.instance->id() + " is acknowledged");
    std::atomic<bool> stop = false;
    std::thread clients([&] {
        while (!stop) {
            ClientRequest request = file;
            request.id = newAttemptId();
            record.line("client sends " + request.id + " POST " + request.path);
            const int status = ask(desk.outbound, request, Millis(5000));
            record.line("client: " + request.id + " answered with " + std::to_string(status));
            std::this_thread::sleep_for(Millis(100));
        }
    });
    sleepUntil(record, readyAt + 4);
    record.line("the late heartbeat arrives at " + leaving.name);
    (void)leaving.instance->post("instances.heartbeat", late);
    sleepUntil(record, acknowledgedAt + 8);
    stop = true;
    clients.join();
    int after = 0;
    for (const Run &run : leaving.instance->runs()) {
        after += run.at > acknowledgedAt + 2 ? 1 : 0;
    }
    record.line("DRAIN: " + std::to_string(after) + " requests reached " + leaving.instance->id()
                + " later than 2 s after its deregistration was acknowledged");
    return after > 0 ? 1 : 0;
}

/// A status report whose id holds bytes that cannot be read.
int unreadableReport(Record &record, const std::string &root)
{
    constexpr int Callers = 6;
    Fleet fleet(record, root);
    Machine &desk = fleet.add("sidecar-pnw-a-1", "pnw-a", "desk", 20);
    fleet.add("sidecar-pnw-a-2", "pnw-a", "filing", 40);
    fleet.add("sidecar-pnw-b-1", "pnw-b", "filing", 40);
    const std::string host = "jepu9.example";
    fleet.start(desiredState(host, {"desk", "filing"}, {route("r-file", "/file/", "non_idempotent", "filing", 5)}));
    askUntilServed(desk, {.method = "POST", .host = host, .path = "/file/1?work_ms=5", .id = {}, .body = "x"},
                   seconds(10));
    sleepUntil(record, record.seconds() + 4); // The machines are in touch.
    // Kept connections: each has carried an answered request.
    std::vector<std::unique_ptr<Exchange>> exchanges;
    for (int i = 0; i < Callers; ++i) {
        auto exchange = std::make_unique<Exchange>();
        exchange->request = {.method = "POST", .host = host, .path = "/file/2?work_ms=5", .id = newAttemptId(),
                             .deadlineMs = 5000, .body = "x"};
        exchange->socket = connectTo(desk.outbound);
        begin(record, *exchange, Millis(3000));
        exchange->reader.join();
        if (exchange->answer.status() != 200) {
            throw CannotRun{"a first request of a kept connection was not served"};
        }
        exchanges.push_back(std::move(exchange));
    }
    for (const auto &exchange : exchanges) {
        exchange->request.path = "/file/3?work_ms=1500";
        exchange->request.id = newAttemptId();
        begin(record, *exchange, Millis(5000));
    }
    sleepUntil(record, record.seconds() + 0.4);
    const std::string id = trouble() ? desk.instance->id() + "\xff\xfe" : desk.instance->id();
    record.line(std::string("another writer sends a status report with ")
                + (trouble() ? "an id that ends in the bytes FF FE" : "a readable id"));
    const bool acknowledged = desk.instance->post("instances.heartbeat", desk.instance->nextHeartbeatBody("ready"), id);
    record.line(std::string("the report was ") + (acknowledged ? "acknowledged" : "not acknowledged"));
    const auto ended = fleet.awaitEnd(desk, Millis(1000));
    finish(exchanges);
    int lost = 0;
    for (const auto &exchange : exchanges) {
        lost += exchange->result == ReadResult::Ended ? 1 : 0;
    }
    record.line(std::string("the sidecar ") + (ended ? "ended by itself" : "runs on"));
    record.line("LOST: " + std::to_string(lost) + " of " + std::to_string(Callers)
                + " requests from kept connections, passed on to a sound instance, ended without an answer");
    return lost > 3 ? 1 : 0;
}

/// Clients of a machine that send a tenant's requests at a steady rate, each on a kept connection.
class SteadyClients
{
public:
    SteadyClients(Record &record, const Machine &machine, ClientRequest request, double perSecond)
        : m_record(record)
        , m_address(machine.outbound)
        , m_request(std::move(request))
    {
        setRate(perSecond);
        for (int i = 0; i < Connections; ++i) {
            m_threads.emplace_back([this, offset = i / perSecond] {
                send(offset);
            });
        }
    }

    ~SteadyClients()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    void setRate(double perSecond) { m_interval = Connections / perSecond; }
    void pause(bool paused) { m_paused = paused; }

    /// Time of sending of each request, by its id.
    std::map<std::string, double> sent()
    {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }
    [[nodiscard]] int answers(int status)
    {
        const std::lock_guard lock(m_mutex);
        return m_statuses[status];
    }

private:
    static constexpr int Connections = 4;

    void send(double offset)
    {
        int socket = -1;
        std::string buffer;
        double next = m_record.seconds() + offset;
        while (!m_stop) {
            const double wait = next - m_record.seconds();
            if (wait > 0) {
                std::this_thread::sleep_for(std::chrono::duration<double>(std::min(wait, 0.05)));
                continue;
            }
            next = std::max(next + m_interval, m_record.seconds() - 0.1);
            if (m_paused) {
                continue;
            }
            if (socket < 0) {
                socket = connectTo(m_address);
                buffer.clear();
            }
            ClientRequest request = m_request;
            request.id = newAttemptId();
            {
                const std::lock_guard lock(m_mutex);
                m_sent[request.id] = m_record.seconds();
            }
            m_record.line("client sends " + request.id + " to " + m_address.text());
            Message answer;
            const bool answered = socket >= 0 && sendAll(socket, request.text())
                && readMessage(socket, buffer, answer, Clock::now() + seconds(5)) == ReadResult::Complete;
            {
                const std::lock_guard lock(m_mutex);
                ++m_statuses[answered ? answer.status() : 0];
            }
            m_record.line("client: " + request.id
                          + (answered ? " answered with " + std::to_string(answer.status()) : " got no answer"));
            if (socket >= 0 && (!answered || answer.header("Connection") == "close")) {
                close(socket);
                socket = -1;
            }
        }
        if (socket >= 0) {
            close(socket);
        }
    }

    Record &m_record;
    Address m_address;
    ClientRequest m_request;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_paused = false;
    std::atomic<double> m_interval = 1;
    std::mutex m_mutex;
    std::map<std::string, double> m_sent;
    std::map<int, int> m_statuses;
    std::vector<std::thread> m_threads;
};

/// One node cannot reach the store while the sidecar of another is restarted.
int twoOwners(Record &record, const std::string &root)
{
    constexpr int Rate = 100; ///< rate_per_s and burst of the tenant
    constexpr double UsualPerSecond = Rate / 1.6 / 4; ///< by the clients of each of four machines
    constexpr double HotPerSecond = 110;
    constexpr double Window = 5;
    constexpr double Allowed = (Rate * Window + Rate) * 1.1 + 20;
    Fleet fleet(record, root);
    Machine &cut = fleet.add("sidecar-pnw-a-1", "pnw-a", "desk", 200);
    Machine &second = fleet.add("sidecar-pnw-a-2", "pnw-a", "desk", 200);
    Machine &restarted = fleet.add("sidecar-pnw-a-3", "pnw-a", "desk", 200);
    Machine &filing = fleet.add("sidecar-pnw-a-4", "pnw-a", "filing", 200);
    Machine &filingB = fleet.add("sidecar-pnw-b-1", "pnw-b", "filing", 200);
    Machine &deskB = fleet.add("sidecar-pnw-b-2", "pnw-b", "desk", 200);
    const std::string host = "jepu9.example";
    fleet.start(desiredState(host, {"desk", "filing"}, {route("r-file", "/file/", "non_idempotent", "filing", 5)},
                             "pulo182", Rate));
    const ClientRequest file{.method = "POST", .host = host, .path = "/file/1?work_ms=20", .body = "x"};
    for (Machine *machine : {&cut, &second, &restarted, &deskB}) {
        askUntilServed(*machine, file, seconds(10));
    }
    sleepUntil(record, record.seconds() + 4); // The machines are in touch.
    record.line("the clients of four machines begin to send the usual load of their tenant");
    std::vector<std::unique_ptr<SteadyClients>> clients;
    for (Machine *machine : {&cut, &second, &restarted, &deskB}) {
        clients.push_back(std::make_unique<SteadyClients>(record, *machine, file, UsualPerSecond));
    }
    const double begin = record.seconds();
    sleepUntil(record, begin + 3);
    fleet.signal(restarted, SIGTERM);
    sleepUntil(record, begin + 5);
    clients[2]->pause(true); // Not ready for two questions in a row: no new work.
    if (!fleet.awaitEnd(restarted, Millis(6000))) {
        throw CannotRun{"the sidecar did not end within its grace time"};
    }
    if (trouble()) {
        record.line(cut.name + " is partitioned from the store");
        fleet.store().cutOff(cut.name, true);
    }
    const double cutAt = record.seconds();
    sleepUntil(record, record.seconds() + 0.5);
    fleet.startSidecar(restarted);
    fleet.awaitReady(restarted);
    clients[2]->pause(false);
    record.line("the tenant sends 7 times its usual");
    const double hotAt = record.seconds();
    for (const auto &client : clients) {
        client->setRate(HotPerSecond);
    }
    sleepUntil(record, cutAt + 5.5);
    if (trouble()) {
        fleet.store().cutOff(cut.name, false);
        record.line(cut.name + " reaches the store again");
    }
    sleepUntil(record, hotAt + 6.5);
    record.line("the tenant sends its usual");
    for (const auto &client : clients) {
        client->setRate(UsualPerSecond);
    }
    sleepUntil(record, hotAt + 7.5);
    std::map<std::string, double> sent;
    for (const auto &client : clients) {
        sent.merge(client->sent());
        record.line("clients: " + std::to_string(client->answers(200)) + " answers 200, "
                    + std::to_string(client->answers(429)) + " answers 429, " + std::to_string(client->answers(503))
                    + " answers 503");
    }
    clients.clear();
    std::vector<std::pair<double, double>> runs; // Time of sending and of the arrival at the instance.
    for (Machine *machine : {&filing, &filingB}) {
        for (const Run &run : machine->instance->runs()) {
            const auto entry = sent.find(run.id);
            if (entry != sent.end()) {
                runs.emplace_back(entry->second, run.at);
            }
        }
    }
    std::sort(runs.begin(), runs.end());
    int most = 0;
    double mostAt = 0;
    for (const auto &[start, unused] : runs) {
        int count = 0;
        for (const auto &[sentAt, ranAt] : runs) {
            count += sentAt >= start && ranAt < start + Window ? 1 : 0;
        }
        if (count > most) {
            most = count;
            mostAt = start;
        }
    }
    record.line("QUOTA: at most " + std::to_string(most) + " requests of the tenant were sent and run in 5 s, from "
                + std::to_string(mostAt) + " s; allowed are " + std::to_string(Allowed));
    return most > Allowed ? 1 : 0;
}

/// Largest resident memory of a process so far, in kB.
long peakMemory(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

/// Clients of eight machines upload large bodies, within the limits of the desired state, to the same service at once.
int largeBodies(Record &record, const std::string &root)
{
    constexpr int Senders = 8;
    const std::size_t bodyBytes = trouble() ? 30000000 : 30000;
    const FleetSettings settings;
    Fleet fleet(record, root, settings);
    Machine &filing = fleet.add("sidecar-pnw-a-0", "pnw-a", "filing", 40);
    std::vector<Machine *> desks;
    for (int i = 1; i <= Senders; ++i) {
        desks.push_back(&fleet.add("sidecar-pnw-a-" + std::to_string(i), "pnw-a", "desk", 20));
    }
    const std::string host = "jepu9.example";
    fleet.start(desiredState(host, {"desk", "filing"}, {route("r-file", "/file/", "non_idempotent", "filing", 5)}));
    for (Machine *desk : desks) {
        askUntilServed(*desk, {.method = "POST", .host = host, .path = "/file/1?work_ms=5", .body = "x"}, seconds(10));
    }
    std::vector<std::thread> clients;
    for (Machine *desk : desks) {
        clients.emplace_back([&record, desk, &host, bodyBytes] {
            const ClientRequest request{.method = "POST", .host = host, .path = "/file/2?work_ms=50",
                                        .id = newAttemptId(), .body = std::string(bodyBytes, 'b')};
            record.line("client sends " + request.id + " with a body of " + std::to_string(bodyBytes) + " bytes to "
                        + desk->name);
            const int status = ask(desk->outbound, request, Millis(5000));
            record.line("client: " + request.id + " answered with " + std::to_string(status));
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const long peak = peakMemory(filing.pid);
    record.line("peak memory of " + filing.name + ": " + std::to_string(peak) + " kB; limits.memory_mb is "
                + std::to_string(settings.memoryMb));
    return static_cast<double>(peak) > settings.memoryMb * 1024 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 4) {
        std::cerr << "review-case CASE ROOT RECORD\n";
        return 2;
    }
    const std::map<std::string, int (*)(Record &, const std::string &)> cases = {
        {"slow-readers", slowReaders},
        {"queued-at-stop", queuedAtStop},
        {"silent-instance", silentInstance},
        {"late-heartbeat", lateHeartbeat},
        {"two-owners", twoOwners},
        {"large-bodies", largeBodies},
        {"unreadable-report", unreadableReport},
    };
    const auto entry = cases.find(argv[1]);
    if (entry == cases.end()) {
        std::cerr << "unknown case\n";
        return 2;
    }
    try {
        Record record(argv[3]);
        try {
            const int result = entry->second(record, argv[2]);
            record.line(result == 0 ? "the rule held" : "the rule was broken");
            return result;
        } catch (const CannotRun &problem) {
            record.line("the case could not run: " + problem.reason);
            return 2;
        }
    } catch (const CannotRun &problem) {
        std::cerr << problem.reason << '\n';
        return 2;
    }
}
