// Tests of the HTTP client of src/store with the stand-in platform.

// Before CppUTest, whose macro for new does not allow the placement new in <regex>.
#include <httplib.h>

#include "base/random.h"
#include "standin/standinplatform.h"
#include "store/platformsetup.h"
#include "testing/manualexecutor.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace vanillatack;

namespace {

/// Socket on which the kernel accepts connections and nothing responds.
class UnresponsiveServer
{
public:
    UnresponsiveServer()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), size);
        ::listen(m_socket, 16);
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
    }

    ~UnresponsiveServer()
    {
        ::close(m_socket);
    }

    int port = 0;

private:
    int m_socket;
};

/// Advances by a minute on each reading, so that every queued call exceeds its time limit.
class FastClock final : public IClock
{
public:
    TimePoint now() const override
    {
        return TimePoint(std::chrono::minutes(++m_minutes));
    }

    WallTime wallNow() const override
    {
        return {};
    }

private:
    mutable std::atomic<int> m_minutes{0};
};

} // namespace

TEST_GROUP(HttpPlatform)
{
    ManualClock clock;
    ManualExecutor executor{clock};
    StandInPlatform standIn{{.threads = 8}};
    PlatformServices platform;

    void setup() override
    {
        CHECK(standIn.start().has_value());
        connect(standIn.port());
    }

    void connect(int port, Duration answerTimeout = std::chrono::seconds(30))
    {
        platform = makeHttpPlatform({.port = port, .threads = 2, .answerTimeout = answerTimeout}, clock, executor);
    }

    template<class Value, class Start>
    Result<Value> wait(Start start)
    {
        std::optional<Result<Value>> outcome;
        start([&](const Result<Value> &result) {
            outcome = result;
        });
        CHECK(!outcome.has_value());
        while (!outcome) {
            executor.runDue();
            std::this_thread::yield();
        }
        return *outcome;
    }

    Result<std::optional<TableRow>> read(const std::string &key)
    {
        return wait<std::optional<TableRow>>([&](auto done) {
            platform.table->read(key, done);
        });
    }

    Result<std::vector<TableRow>> readMany(const std::vector<std::string> &keys)
    {
        return wait<std::vector<TableRow>>([&](auto done) {
            platform.table->readMany(keys, done);
        });
    }

    Result<std::vector<TableRow>> scan(const std::string &prefix, const std::string &after, std::size_t limit)
    {
        return wait<std::vector<TableRow>>([&](auto done) {
            platform.table->scan(prefix, after, limit, done);
        });
    }

    Result<TableCommit> commit(const std::vector<TableWrite> &writes)
    {
        return wait<TableCommit>([&](auto done) {
            platform.table->commit(writes, done);
        });
    }

    Result<void> put(const std::string &name, const std::string &content)
    {
        return wait<void>([&](auto done) {
            platform.objects->put(name, content, done);
        });
    }

    Result<std::optional<std::string>> get(const std::string &name)
    {
        return wait<std::optional<std::string>>([&](auto done) {
            platform.objects->get(name, done);
        });
    }

    void checkErrors(ErrorKind forReads, ErrorKind forWrites)
    {
        CHECK(read("k").error().kind == forReads);
        CHECK(readMany({"k"}).error().kind == forReads);
        CHECK(scan("k", "", 5).error().kind == forReads);
        CHECK(get("k").error().kind == forReads);
        CHECK(commit({{"k", "v", {}}}).error().kind == forWrites);
        CHECK(put("k", "v").error().kind == forWrites);
    }
};

// Guards against differences between calls over HTTP and calls of the in-memory store, e.g. in escaping.
TEST(HttpPlatform, matchesTheInMemoryStore)
{
    SeededRandom random(11);
    MemoryStore reference;
    const std::vector<std::string> keys{"a", "a/b c", "a/ä&=+?%", "b#"};
    for (int step = 0; step < 400; ++step) {
        const std::string &key = keys[random.below(keys.size())];
        const std::string &other = keys[random.below(keys.size())];
        std::string value(random.below(4), static_cast<char>(random.below(256)));
        switch (random.below(6)) {
        case 0: {
            const TableWrite write{.key = key,
                                   .value = random.below(4) == 0 ? std::nullopt : std::optional(value),
                                   .expectedVersion =
                                       random.below(2) == 0 ? std::nullopt : std::optional(random.below(3))};
            const TableCommit actual = commit({write}).value();
            const TableCommit expected = reference.commit({write}).value();
            CHECK(actual.committed == expected.committed && actual.conflicts == expected.conflicts
                  && actual.versions == expected.versions);
            break;
        }
        case 1:
            CHECK(read(key).value() == reference.read(key));
            break;
        case 2:
            CHECK(readMany({key, other}).value() == reference.readMany({key, other}));
            break;
        case 3:
            CHECK(scan(key.substr(0, 1), other, 2).value() == reference.scan(key.substr(0, 1), other, 2));
            break;
        case 4:
            CHECK(put(key, value).has_value() == reference.putObject(key, value).has_value());
            break;
        default:
            CHECK(get(key).value() == reference.getObject(key));
            break;
        }
    }
}

// Unavailable means that a call had no effect. Guards against reporting it for a write that took effect, and against
// reporting OutcomeUnknown for a write that had none.
TEST(HttpPlatform, refusedConnectionsAreUnavailable)
{
    CHECK(standIn.setFaults({.down = PlatformDown::Refuse}).has_value());
    checkErrors(ErrorKind::Unavailable, ErrorKind::Unavailable);
    CHECK(standIn.setFaults({}).has_value());
    CHECK(commit({{"k", "v", 0}}).value().committed);
    LONGS_EQUAL(1, standIn.counters().writes);
}

// Guards against treating a failure status as proof that a write failed: a proxy may send it after the service has
// committed the write.
TEST(HttpPlatform, failureStatusLeavesWritesUnknown)
{
    CHECK(standIn.setFaults({.down = PlatformDown::Error}).has_value());
    checkErrors(ErrorKind::Timeout, ErrorKind::OutcomeUnknown);
    LONGS_EQUAL(6, standIn.counters().refused);
}

// Guards against reporting a write as failed when only its response was lost.
TEST(HttpPlatform, lostResponsesLeaveWritesUnknown)
{
    std::uint64_t version = 0;
    for (const AnswerLoss loss : {AnswerLoss::Drop, AnswerLoss::Error}) {
        CHECK(standIn.setFaults({.loseAnswerProbability = 1, .loss = loss}).has_value());
        CHECK(commit({{"k", "v", version}}).error().kind == ErrorKind::OutcomeUnknown);
        CHECK(put("o", "x").error().kind == ErrorKind::OutcomeUnknown);
        LONGS_EQUAL(++version, read("k").value()->version);
        STRCMP_EQUAL("x", get("o").value()->c_str());
    }
    LONGS_EQUAL(4, standIn.counters().answersLost);
}

// Guards against a call without time limit to an unresponsive service.
TEST(HttpPlatform, unresponsiveServiceTimesOut)
{
    const UnresponsiveServer unresponsive;
    connect(unresponsive.port, std::chrono::milliseconds(20));
    checkErrors(ErrorKind::Timeout, ErrorKind::OutcomeUnknown);
}

// Guards against treating responses of another HTTP server, e.g. after a wrong address, as absent rows.
TEST(HttpPlatform, responsesOfAnotherServerAreErrors)
{
    httplib::Server other;
    other.set_keep_alive_max_count(1); // stop() waits for open connections.
    other.Post(".*", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("<html>", "text/html");
    });
    const int port = other.bind_to_any_port("127.0.0.1");
    std::thread thread([&other] {
        other.listen_after_bind();
    });
    connect(port);
    CHECK(read("k").error().kind == ErrorKind::InvalidArgument);
    CHECK(get("k").error().kind == ErrorKind::InvalidArgument);
    CHECK(readMany({"k"}).error().kind == ErrorKind::Timeout);
    CHECK(commit({{"k", "v", {}}}).error().kind == ErrorKind::OutcomeUnknown);
    other.stop();
    thread.join();
}

// Guards against an unbounded queue, and against calls that are lost when the client is destroyed.
TEST(HttpPlatform, fullQueueIsUnavailable)
{
    platform = makeHttpPlatform({.port = standIn.port(), .threads = 0, .queueLimit = 2}, clock, executor);
    int unavailable = 0;
    for (int call = 0; call < 3; ++call) {
        platform.table->commit({{"k", "v", {}}}, [&](const Result<TableCommit> &result) {
            unavailable += result.error().kind == ErrorKind::Unavailable ? 1 : 0;
        });
    }
    executor.runDue();
    LONGS_EQUAL(1, unavailable);
    platform = {};
    executor.runDue();
    LONGS_EQUAL(3, unavailable);
}

// Guards against sending a queued call whose caller no longer waits.
TEST(HttpPlatform, callPastItsQueueTimeoutIsNotSent)
{
    const FastClock fastClock;
    platform = makeHttpPlatform({.port = standIn.port()}, fastClock, executor);
    CHECK(commit({{"k", "v", {}}}).error().kind == ErrorKind::Unavailable);
    LONGS_EQUAL(0, standIn.counters().writes);
    platform = {};
}

// Guards against a control port that cannot end an outage.
TEST(HttpPlatform, faultsAreSetOverTheControlPort)
{
    httplib::Client control("127.0.0.1", standIn.controlPort());
    LONGS_EQUAL(200, control.Post("/control/faults", R"({"down":"refuse"})", "application/json")->status);
    CHECK(read("k").error().kind == ErrorKind::Unavailable);
    LONGS_EQUAL(400, control.Post("/control/faults", R"({"down":"maybe"})", "application/json")->status);
    LONGS_EQUAL(200, control.Post("/control/faults", "{}", "application/json")->status);
    CHECK(read("k").has_value());
    CHECK(control.Get("/control")->body.find(R"("reads":1)") != std::string::npos);
    LONGS_EQUAL(200, control.Post("/control/reset", "", "application/json")->status);
    LONGS_EQUAL(0, standIn.counters().reads);
}
