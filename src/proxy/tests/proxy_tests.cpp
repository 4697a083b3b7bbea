#include "metrics/metricssetup.h"
#include "net/httpclient.h"
#include "proxy/decisionlog.h"
#include "proxy/tests/testnodes.h"
#include "proxy/trafficnode.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

/// Time-out of a hanging test. Far longer than any step takes, so that no result depends on speed.
constexpr Duration HangLimit = 60s;

std::string headerValue(const HeaderList &headers, const std::string &name)
{
    HttpRequest holder;
    holder.headers = headers;
    return holder.header(name);
}

} // namespace

/// Two nodes, "near" and "far", on one event loop; only the far node has an instance of the service "parts".
TEST_GROUP(TrafficNode)
{
    EventLoop loop;
    SuspendableClock clock;
    SeededRandom random{1};
    SharedTableStore store{loop};
    MetricsSetup metrics;
    int logDescriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
    FakeInstance nearInstance{loop};
    FakeInstance farInstance{loop};
    std::unique_ptr<ITrafficNode> nearNode;
    std::unique_ptr<ITrafficNode> farNode;
    Endpoint callerEndpoint;
    Endpoint farCallerEndpoint;
    std::unique_ptr<IHttpClient> client = makeHttpClient(loop, {});
    std::vector<ClientResult> results;

    void setup() override
    {
        nearNode = makeNode("near", "desk", nearInstance, callerEndpoint);
        farNode = makeNode("far", "parts", farInstance, farCallerEndpoint);
        CHECK(nearNode->start().has_value());
        CHECK(farNode->start().has_value());
    }

    void teardown() override
    {
        close(logDescriptor);
    }

    std::unique_ptr<ITrafficNode> makeNode(
        const std::string &name, const std::string &service, FakeInstance &instance, Endpoint &callerEndpointOut)
    {
        ProxySettings settings;
        settings.node = NodeName(name);
        settings.zone = ZoneName("z");
        settings.service = ServiceName(service);
        settings.callerEndpoint = {"127.0.0.1", freePort(loop)};
        settings.peerEndpoint = {"127.0.0.1", freePort(loop)};
        settings.instanceEndpoint = {"127.0.0.1", instance.server->port()};
        settings.headers = headerNames();
        settings.logDescriptor = logDescriptor;
        settings.keyGrace = 100s;
        settings.announceInterval = 100s;
        settings.memoryBytes = memoryBytes;
        callerEndpointOut = settings.callerEndpoint;
        return makeTrafficNode(loop, clock, random, store, metrics.metrics(), settings);
    }

    template<class Condition>
    bool runUntil(Condition condition)
    {
        const auto start = std::chrono::steady_clock::now();
        while (!condition() && std::chrono::steady_clock::now() - start < HangLimit) {
            loop.context().restart();
            loop.context().run_for(1ms);
        }
        return condition();
    }

    static TrafficConfig config(std::uint64_t version)
    {
        TrafficRoute read;
        read.name = RouteName("read");
        read.prefix = "/read/";
        read.services = {{ServiceName("parts"), 1}};
        read.kind = RouteKind::Idempotent;
        read.maxAttempts = 2;
        read.timeout = 30s;
        TrafficRoute write = read;
        write.name = RouteName("write");
        write.prefix = "/write/";
        write.kind = RouteKind::NonIdempotent;
        TrafficRoute open = read;
        open.name = RouteName("open");
        open.prefix = "/open/";
        open.open = true;
        TrafficConfig result;
        result.version = version;
        result.hosts = {{"shop", {read, write, open}}};
        result.workspaces.push_back({.name = WorkspaceName("acme"), .keys = {"k1"}, .rank = std::nullopt});
        return result;
    }

    InstanceAnnouncement announcement(const std::string &service, const FakeInstance &instance, bool draining = false)
    {
        InstanceAnnouncement result;
        result.id = "i-" + service;
        result.startedAtMs = 5;
        result.sequence = ++sequence;
        result.service = ServiceName(service);
        result.address = {"127.0.0.1", instance.server->port()};
        result.slots = 10;
        result.draining = draining;
        return result;
    }

    void bringUp()
    {
        for (ITrafficNode *node : {nearNode.get(), farNode.get()}) {
            node->applyConfig(config(3));
            node->confirmConfig({.storeClock = 100s, .sent = clock.elapsed(), .received = clock.elapsed()});
        }
        farNode->announce(announcement("parts", farInstance), ignoreOutcome);
        // Wait until the near node has received the registry entry of the instance.
        CHECK(runUntil([this] {
            return send("GET", "/open/up").response.status == 200;
        }));
        farInstance.requests.clear();
        farInstance.exchanges.clear();
    }

    ClientCallId start(
        const std::string &method, const std::string &target, HeaderList headers = {}, std::string body = {})
    {
        HttpRequest request;
        request.body = std::move(body);
        request.method = method;
        request.target = target;
        request.headers = {{"Host", "shop"}, {"Attempt", "a" + std::to_string(++attempts)}};
        request.headers.insert(request.headers.end(), headers.begin(), headers.end());
        return client->send(callerEndpoint, request, HangLimit, {}, [this](ClientResult result) {
            results.push_back(std::move(result));
        });
    }

    ClientResult send(const std::string &method, const std::string &target, HeaderList headers = {})
    {
        const std::size_t before = results.size();
        start(method, target, std::move(headers));
        runUntil([&] {
            return results.size() > before;
        });
        return results.back();
    }

    std::size_t memoryBytes = ProxySettings().memoryBytes;
    std::int64_t sequence = 0;
    int attempts = 0;
};

TEST_GROUP_BASE(TrafficNodeWithLittleMemory, TEST_GROUP_CppUTestGroupTrafficNode)
{
    static constexpr std::size_t BodyBytes = 200'000; ///< Of all bodies that fit at a time.

    void setup() override
    {
        memoryBytes = 7 * BodyBytes / 5; // Room for the heads and connections too.
        TEST_GROUP_CppUTestGroupTrafficNode::setup();
    }
};

TEST_GROUP_BASE(TrafficNodeWithLargeBodies, TEST_GROUP_CppUTestGroupTrafficNode)
{
    static constexpr std::size_t AnswerBytes = std::size_t{24} << 20; ///< More than the kernel takes.

    void setup() override
    {
        memoryBytes = 3 * AnswerBytes;
        TEST_GROUP_CppUTestGroupTrafficNode::setup();
    }
};

/// Two nodes, each with an instance of the service "parts" and a loop of its own, so that they can be killed and
/// started again while their instances go on running.
TEST_GROUP(TrafficNodeRestart)
{
    SystemClock clock;
    EventLoop loop; ///< Of the instances and the caller.
    std::shared_ptr<FakeTableStore> table = std::make_shared<FakeTableStore>();
    int logDescriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
    FakeInstance nearInstance{loop};
    FakeInstance farInstance{loop};
    ProxySettings nearSettings;
    ProxySettings farSettings;
    std::unique_ptr<NodeProcess> nearProcess;
    std::unique_ptr<NodeProcess> farProcess;
    std::unique_ptr<IHttpClient> client = makeHttpClient(loop, {});
    ZoneName farZone{"z"};
    std::int64_t sequence = 0;
    int attempts = 0;
    std::optional<ReportOutcome> outcome;

    void setup() override
    {
        nearSettings = settings("near", "desk", nearInstance);
        farSettings = settings("far", "parts", farInstance);
        nearProcess = start(nearSettings);
        farProcess = start(farSettings);
        announceUntilServed(5);
    }

    void teardown() override
    {
        close(logDescriptor);
    }

    ProxySettings settings(const std::string &name, const std::string &service, const FakeInstance &instance)
    {
        ProxySettings result;
        result.node = NodeName(name);
        result.zone = name == "far" ? farZone : ZoneName("z");
        result.service = ServiceName(service);
        result.callerEndpoint = {"127.0.0.1", freePort(loop)};
        result.peerEndpoint = {"127.0.0.1", freePort(loop)};
        result.instanceEndpoint = {"127.0.0.1", instance.server->port()};
        result.headers = headerNames();
        result.logDescriptor = logDescriptor;
        result.keyGrace = 100s;
        result.announceInterval = 100s;
        return result;
    }

    std::unique_ptr<NodeProcess> start(const ProxySettings &nodeSettings)
    {
        auto process = std::make_unique<NodeProcess>(table, clock, nodeSettings);
        CHECK(process->node->start().has_value());
        applyConfig(*process, 3);
        return process;
    }

    void applyConfig(const NodeProcess &process, std::uint64_t version) const
    {
        TrafficRoute route;
        route.name = RouteName("open");
        route.prefix = "/open/";
        route.services = {{ServiceName("parts"), 1}};
        route.kind = RouteKind::Idempotent;
        route.maxAttempts = 2;
        route.timeout = 30s;
        route.open = true;
        TrafficConfig config;
        config.version = version;
        config.hosts = {{"shop", {route}}};
        process.node->applyConfig(std::move(config));
        process.node->confirmConfig({.storeClock = 100s, .sent = clock.elapsed(), .received = clock.elapsed()});
    }

    void restartFarNode()
    {
        farProcess = nullptr;
        farProcess = start(farSettings);
    }

    template<class Condition>
    bool runUntil(Condition condition)
    {
        const TimePoint begin = clock.now();
        while (!condition() && clock.now() - begin < HangLimit) {
            loop.context().restart();
            loop.context().run_for(1ms);
            for (NodeProcess *process : {nearProcess.get(), farProcess.get()}) {
                if (process != nullptr) {
                    process->poll();
                }
            }
        }
        return condition();
    }

    InstanceAnnouncement announcement(std::uint64_t startedAtMs = 5)
    {
        InstanceAnnouncement result;
        result.id = "i-parts";
        result.startedAtMs = startedAtMs;
        result.sequence = ++sequence;
        result.service = farSettings.service;
        result.address = farSettings.instanceEndpoint;
        result.slots = 10;
        return result;
    }

    /// Status of the answer to a request of a caller of the node.
    int send(const ProxySettings &node)
    {
        HttpRequest request;
        request.method = "GET";
        request.target = "/open/1";
        request.headers = {{"Host", "shop"}, {"Attempt", "a" + std::to_string(++attempts)}};
        std::optional<ClientResult> result;
        client->send(node.callerEndpoint, request, HangLimit, {}, [&result](ClientResult received) {
            result = std::move(received);
        });
        CHECK(runUntil([&result] {
            return result.has_value();
        }));
        return result->response.status;
    }

    void announceUntilServed(std::uint64_t startedAtMs)
    {
        CHECK(runUntil([this, startedAtMs] {
            farProcess->node->announce(announcement(startedAtMs), ignoreOutcome);
            return send(nearSettings) == 200;
        }));
    }

    ITrafficNode::Acknowledge recordOutcome()
    {
        outcome.reset();
        return [this](ReportOutcome result) {
            outcome = result;
        };
    }

    ReportOutcome withdraw()
    {
        farProcess->node->withdraw("i-parts", 5, recordOutcome());
        CHECK(runUntil([this] {
            return outcome.has_value();
        }));
        return *outcome;
    }

    /// Sends requests and late announcements for longer than a node takes to recover, and returns how many of the
    /// requests the instance has run.
    std::size_t runsAfterLateAnnouncements(const InstanceAnnouncement &late, const ProxySettings &node)
    {
        farInstance.requests.clear();
        const TimePoint begin = clock.now();
        while (clock.now() - begin < 2500ms) {
            farProcess->node->announce(late, ignoreOutcome);
            send(node);
        }
        return farInstance.requests.size();
    }
};

/// The nodes are in different zones, which have no other nodes.
TEST_GROUP_BASE(TrafficNodeRestartInTwoZones,
                TEST_GROUP_CppUTestGroupTrafficNodeRestart){void setup() override{farZone = ZoneName("y");
TEST_GROUP_CppUTestGroupTrafficNodeRestart::setup();
}
}
;

TEST(TrafficNode, refusesRequestsAsNotReadyWithoutConfiguration)
{
    LONGS_EQUAL(503, send("GET", "/read/1", {{"Key", "k1"}}).response.status);
    CHECK(!nearNode->isReady());
}

TEST(TrafficNode, forwardsARequestToTheInstanceOfAnotherNode)
{
    bringUp();
    const ClientResult result =
        send("POST", "/write/7?x=1", {{"Key", "k1"}, {"Workspace", "forged"}, {"Caller-Service", "forged"}});
    LONGS_EQUAL(200, result.response.status);
    STRCMP_EQUAL("whole", result.response.body.bytes().c_str());
    STRCMP_EQUAL("s1", headerValue(result.response.headers, "Signature").c_str());
    const HttpRequest &seen = farInstance.requests.at(0);
    STRCMP_EQUAL("/write/7?x=1", seen.target.c_str());
    STRCMP_EQUAL("", seen.header("Key").c_str());
    STRCMP_EQUAL("acme", seen.header("Workspace").c_str());
    STRCMP_EQUAL("desk", seen.header("Caller-Service").c_str());
    STRCMP_EQUAL("i-parts", seen.header("Expected").c_str());
    CHECK(std::stoi(seen.header("Time-Left")) <= 30000);
    CHECK(nearNode->isReady());
}

TEST(TrafficNode, rejectsUnknownRoutesAndKeys)
{
    bringUp();
    LONGS_EQUAL(404, send("GET", "/none/", {{"Key", "k1"}}).response.status);
    LONGS_EQUAL(401, send("GET", "/read/1", {{"Key", "k2"}}).response.status);
    LONGS_EQUAL(401, send("GET", "/read/1").response.status);
    LONGS_EQUAL(0, farInstance.requests.size());
}

TEST(TrafficNode, acceptsKeysOnlyWithAFreshConfigurationAlsoAfterASuspension)
{
    bringUp();
    LONGS_EQUAL(200, send("GET", "/read/1", {{"Key", "k1"}}).response.status);
    clock.suspended = 101s;
    LONGS_EQUAL(503, send("GET", "/read/1", {{"Key", "k1"}}).response.status);
    LONGS_EQUAL(200, send("GET", "/open/1").response.status);
    nearNode->confirmConfig({.storeClock = 201s, .sent = clock.elapsed(), .received = clock.elapsed()});
    LONGS_EQUAL(200, send("GET", "/read/1", {{"Key", "k1"}}).response.status);
}

TEST(TrafficNode, refusesAsNotRunWhatTheConfigurationDoesNotSayHowToServe)
{
    bringUp();
    TrafficConfig odd = config(4);
    odd.hosts[0].routes[0].services.clear();
    odd.workspaces.push_back({.name = WorkspaceName("odd"), .keys = {"k9"}, .rank = std::nullopt, .suspended = true});
    nearNode->applyConfig(odd);
    LONGS_EQUAL(503, send("GET", "/read/1", {{"Key", "k1"}}).response.status);
    LONGS_EQUAL(503, send("POST", "/write/1", {{"Key", "k9"}}).response.status);
    CHECK(!headerValue(results.back().response.headers, "Retry-After").empty());
    LONGS_EQUAL(200, send("POST", "/write/1", {{"Key", "k1"}}).response.status);
    LONGS_EQUAL(200, send("GET", "/open/1").response.status);
}

TEST(TrafficNode, ignoresOlderConfigurations)
{
    bringUp();
    TrafficConfig older = config(2);
    older.hosts.clear();
    nearNode->applyConfig(older);
    LONGS_EQUAL(200, send("GET", "/open/1").response.status);
}

// Guards against "not run" for a request that an instance runs, because of a refusal that belongs to another request
// (REFUSED).
TEST(TrafficNode, aRefusalThatDoesNotBelongToTheRequestDoesNotProveThatItHasNotRun)
{
    bringUp();
    farInstance.repeatsAttemptId = false;
    farInstance.answer = {};
    farInstance.answer.status = 503;
    farInstance.answer.headers = {{"Not-Executed", "1"}};
    LONGS_EQUAL(502, send("POST", "/write/1", {{"Key", "k1"}}).response.status);
    farInstance.answer.status = 421;
    LONGS_EQUAL(502, send("POST", "/write/1", {{"Key", "k1"}}).response.status);
    farInstance.repeatsAttemptId = true;
    farInstance.answer.status = 503;
    LONGS_EQUAL(503, send("POST", "/write/1", {{"Key", "k1"}}).response.status);
}

// Guards against an instance that gets far more requests than the limit that it names (LIMIT).
TEST(TrafficNode, anInstanceGetsNoMoreRequestsThanItsAnswersAllow)
{
    bringUp();
    farInstance.answer.headers.emplace_back("Limit", "2");
    LONGS_EQUAL(200, send("GET", "/open/1").response.status);
    farInstance.requests.clear();
    results.clear();
    for (int i = 0; i < 40; ++i) {
        start("GET", "/open/2");
    }
    const auto begin = std::chrono::steady_clock::now();
    CHECK(runUntil([&] {
        return std::chrono::steady_clock::now() - begin > 1s;
    }));
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    CHECK(!farInstance.requests.empty());
    CHECK(farInstance.requests.size() <= 2 * elapsed.count() + 2); // One more for each end of the time.
    // An answer without a limit ends it.
    farInstance.answer = FakeInstance::success();
    CHECK(runUntil([&] {
        return results.size() == 40;
    }));
    LONGS_EQUAL(40, farInstance.requests.size());
}

// Guards against requests to an instance after an answer has said that it is leaving (DRAIN).
TEST(TrafficNode, anInstanceThatSaysThatItIsLeavingGetsNoMoreRequests)
{
    bringUp();
    farInstance.answer.headers.emplace_back("Leaving", "0");
    LONGS_EQUAL(200, send("GET", "/open/1").response.status);
    farInstance.answer.headers.back().second = "1";
    LONGS_EQUAL(200, send("GET", "/open/1").response.status);
    farInstance.requests.clear();
    LONGS_EQUAL(503, send("GET", "/open/2").response.status);
    farNode->announce(announcement("parts", farInstance), ignoreOutcome);
    LONGS_EQUAL(503, send("GET", "/open/2").response.status);
    LONGS_EQUAL(0, farInstance.requests.size());
}

TEST(TrafficNode, aLimitThatIsNoNumberIsIgnored)
{
    bringUp();
    for (const char *text : {"", "x", "nan", "inf", "-3", "1e999"}) {
        farInstance.answer = FakeInstance::success();
        farInstance.answer.headers.emplace_back("Limit", text);
        for (int i = 0; i < 5; ++i) {
            LONGS_EQUAL(200, send("GET", "/open/1").response.status);
        }
    }
}

// Guards against a burst at an instance whose limit a node that has just started does not know yet (LIMIT).
TEST(TrafficNode, anInstanceGetsFewRequestsAtOnceBeforeItsFirstAnswer)
{
    bringUp();
    InstanceAnnouncement restarted = announcement("parts", farInstance);
    restarted.startedAtMs = 6;
    restarted.slots = 30;
    farNode->announce(restarted, ignoreOutcome);
    farInstance.unresponsive = true;
    for (int i = 0; i < 20; ++i) {
        start("GET", "/open/1");
    }
    CHECK(runUntil([&] {
        return farInstance.requests.size() >= 7;
    }));
    const auto begin = std::chrono::steady_clock::now();
    CHECK(runUntil([&] {
        return std::chrono::steady_clock::now() - begin > 200ms;
    }));
    LONGS_EQUAL(7, farInstance.requests.size());
    farInstance.unresponsive = false;
    const std::vector<ExchangeId> waiting = farInstance.exchanges;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        HttpResponse response = FakeInstance::success();
        response.headers.emplace_back("Attempt", farInstance.requests[i].header("Attempt"));
        farInstance.server->respond(waiting[i], response);
    }
    CHECK(runUntil([&] {
        return farInstance.requests.size() == 20;
    }));
}

TEST(TrafficNode, sendsNothingToADrainingInstanceAndRefusesWithRetryAfter)
{
    bringUp();
    farNode->announce(announcement("parts", farInstance, true), ignoreOutcome);
    const ClientResult result = send("POST", "/write/7", {{"Key", "k1"}});
    LONGS_EQUAL(503, result.response.status);
    CHECK(!headerValue(result.response.headers, "Retry-After").empty());
    LONGS_EQUAL(0, farInstance.requests.size());
}

// Guards against requests that reach an instance after its withdrawal was acknowledged (DRAIN): its node was killed,
// had forgotten the withdrawal, and took a late announcement for the truth.
TEST(TrafficNodeRestart, anAcknowledgedWithdrawalBindsTheNodeAfterARestart)
{
    const InstanceAnnouncement late = announcement();
    CHECK(withdraw() == ReportOutcome::Acknowledged);
    restartFarNode();
    LONGS_EQUAL(0, runsAfterLateAnnouncements(late, nearSettings));
    announceUntilServed(6);
}

// The same for an instance that has announced that it is draining.
TEST(TrafficNodeRestart, anAcknowledgedDrainingBindsTheNodeAfterARestart)
{
    const InstanceAnnouncement late = announcement();
    InstanceAnnouncement draining = announcement();
    draining.draining = true;
    farProcess->node->announce(draining, recordOutcome());
    CHECK(runUntil([this] {
        return outcome == ReportOutcome::Acknowledged;
    }));
    restartFarNode();
    LONGS_EQUAL(0, runsAfterLateAnnouncements(late, nearSettings));
    announceUntilServed(6);
}

// The same while the store is away all the time: the other nodes remember the withdrawal.
TEST(TrafficNodeRestart, aWithdrawalThatOnlyOtherNodesKeepBindsTheNodeAfterARestart)
{
    const InstanceAnnouncement late = announcement();
    table->away = true;
    CHECK(withdraw() == ReportOutcome::Acknowledged);
    restartFarNode();
    LONGS_EQUAL(0, runsAfterLateAnnouncements(late, nearSettings));
    announceUntilServed(6);
}

// The same when the only other nodes are in another zone.
TEST(TrafficNodeRestartInTwoZones, aWithdrawalThatOnlyAnotherZoneKeepsBindsTheNodeAfterARestart)
{
    const InstanceAnnouncement late = announcement();
    table->away = true;
    CHECK(withdraw() == ReportOutcome::Acknowledged);
    restartFarNode();
    LONGS_EQUAL(0, runsAfterLateAnnouncements(late, nearSettings));
    announceUntilServed(6);
}

TEST(TrafficNodeRestartInTwoZones, anInstanceThatHasNotLeftIsUsedAgainWithoutTheStore)
{
    table->away = true;
    restartFarNode();
    announceUntilServed(5);
}

// The same when the store is back at the restart, but has missed the withdrawal.
TEST(TrafficNodeRestart, aWithdrawalThatTheStoreHasMissedBindsTheNodeAfterARestart)
{
    const InstanceAnnouncement late = announcement();
    table->away = true;
    CHECK(withdraw() == ReportOutcome::Acknowledged);
    farProcess = nullptr;
    table->away = false;
    restartFarNode();
    LONGS_EQUAL(0, runsAfterLateAnnouncements(late, nearSettings));
    announceUntilServed(6);
}

// The same when the store comes back from a copy of before the withdrawal.
TEST(TrafficNodeRestart, aWithdrawalThatTheStoreHasLostBindsTheNodeAfterARestart)
{
    const InstanceAnnouncement late = announcement();
    const std::uint64_t copy = table->version;
    CHECK(withdraw() == ReportOutcome::Acknowledged);
    CHECK(table->version > copy);
    farProcess = nullptr;
    table->restore(copy);
    restartFarNode();
    LONGS_EQUAL(0, runsAfterLateAnnouncements(late, nearSettings));
    announceUntilServed(6);
}

// Guards against a key or route that is in use again since a node that starts reads an older copy of the configuration
// than other nodes have in force (CONFIG).
TEST(TrafficNodeRestart, aConfigurationOlderThanThatOfOtherNodesIsNotServedAfterARestart)
{
    LONGS_EQUAL(200, send(farSettings));
    applyConfig(*nearProcess, 4);
    restartFarNode();
    const TimePoint begin = clock.now();
    while (clock.now() - begin < 2s) {
        farProcess->node->announce(announcement(), ignoreOutcome);
        CHECK(send(farSettings) != 200);
        CHECK(!farProcess->node->isReady());
    }
    LONGS_EQUAL(503, send(farSettings));
    applyConfig(*farProcess, 4);
    CHECK(farProcess->node->isReady());
    CHECK(runUntil([this] {
        return send(farSettings) == 200;
    }));
}

TEST(TrafficNodeRestart, aWithdrawalThatCannotBeKeptIsFollowedButNotAcknowledged)
{
    const InstanceAnnouncement late = announcement();
    table->away = true;
    nearProcess = nullptr;
    CHECK(withdraw() == ReportOutcome::NotKept);
    LONGS_EQUAL(0, runsAfterLateAnnouncements(late, farSettings));
    // The instance repeats the message.
    table->away = false;
    CHECK(runUntil([this] {
        return withdraw() == ReportOutcome::Acknowledged;
    }));
}

// A node that cannot learn what an earlier process has acknowledged does not use its instance.
TEST(TrafficNodeRestart, withoutTheStoreAndOtherNodesNothingIsSentToTheInstance)
{
    table->away = true;
    nearProcess = nullptr;
    restartFarNode();
    LONGS_EQUAL(0, runsAfterLateAnnouncements(announcement(), farSettings));
    table->away = false;
    CHECK(runUntil([this] {
        farProcess->node->announce(announcement(), ignoreOutcome);
        return send(farSettings) == 200;
    }));
}

// An instance that has not left is used again by its restarted node, with the store and without it.
TEST(TrafficNodeRestart, anInstanceThatHasNotLeftIsUsedAgain)
{
    for (const bool away : {false, true}) {
        table->away = away;
        restartFarNode();
        announceUntilServed(5);
    }
}

TEST(TrafficNode, refusesARequestThatTheInstanceDidNotRun)
{
    bringUp();
    farInstance.answer = {};
    farInstance.answer.status = 503;
    farInstance.answer.headers = {{"Not-Executed", "1"}};
    LONGS_EQUAL(503, send("POST", "/write/7", {{"Key", "k1"}}).response.status);
    LONGS_EQUAL(1, farInstance.requests.size());
}

TEST(TrafficNode, refusesARequestIfAnotherInstanceHasTheAddress)
{
    bringUp();
    farInstance.answer = {};
    farInstance.answer.status = 421;
    LONGS_EQUAL(503, send("POST", "/write/7", {{"Key", "k1"}}).response.status);
    LONGS_EQUAL(1, farInstance.requests.size());
}

TEST(TrafficNode, answers502IfTheSignatureIsMissing)
{
    bringUp();
    farInstance.answer.headers.clear();
    LONGS_EQUAL(502, send("POST", "/write/7", {{"Key", "k1"}}).response.status);
    LONGS_EQUAL(1, farInstance.requests.size());
}

TEST(TrafficNode, forwardsAnErrorOfTheInstance)
{
    bringUp();
    farInstance.answer.status = 500;
    const ClientResult result = send("POST", "/write/7", {{"Key", "k1"}});
    LONGS_EQUAL(500, result.response.status);
    STRCMP_EQUAL("s1", headerValue(result.response.headers, "Signature").c_str());
    LONGS_EQUAL(1, farInstance.requests.size());
}

TEST(TrafficNode, answers504AtTheDeadlineOfARequestThatMayHaveRun)
{
    bringUp();
    farInstance.unresponsive = true;
    LONGS_EQUAL(504, send("POST", "/write/7", {{"Key", "k1"}, {"Time-Left", "40"}}).response.status);
}

TEST(TrafficNode, cancelsIdempotentWorkOfAnAbandonedRequest)
{
    bringUp();
    farInstance.unresponsive = true;
    const ClientCallId read = start("GET", "/read/1", {{"Key", "k1"}});
    CHECK(runUntil([this] {
        return farInstance.exchanges.size() == 1;
    }));
    client->cancel(read);
    CHECK(runUntil([this] {
        return farInstance.abandonedExchanges.size() == 1;
    }));
}

// Guards against requests that are taken during a planned stop and cut off without an answer at its end (LOST).
TEST(TrafficNode, requestsTakenDuringAShutdownGetNoMoreTimeThanItHas)
{
    bringUp();
    ProxySettings settings;
    settings.shutdownGrace = 4s;
    settings.keyGrace = 100s;
    nearNode->updateSettings(settings);
    nearNode->shutDown([] {});
    LONGS_EQUAL(200, send("POST", "/write/7", {{"Key", "k1"}, {"Time-Left", "20000"}}).response.status);
    const int timeLeft = std::stoi(farInstance.requests.back().header("Time-Left"));
    CHECK(timeLeft < 4000);
    CHECK(timeLeft > 0);
}

// Guards against a node that is killed because the bodies of many calls together exceed its memory.
TEST(TrafficNodeWithLittleMemory, refusesCallsWhoseBodiesTogetherExceedTheBudget)
{
    bringUp();
    results.clear();
    farInstance.unresponsive = true;
    for (int index = 0; index < 3; ++index) {
        start("POST", "/write/7", {{"Key", "k1"}}, std::string(BodyBytes / 2 - 1000, 'b'));
        CHECK(runUntil([&] {
            return farInstance.exchanges.size() + results.size() == static_cast<std::size_t>(index) + 1;
        }));
    }
    LONGS_EQUAL(2, farInstance.exchanges.size());
    LONGS_EQUAL(503, results.back().response.status);
    for (int index = 0; index < 2; ++index) {
        HttpResponse response = FakeInstance::success();
        response.headers.emplace_back("Attempt", farInstance.requests.at(index).header("Attempt"));
        farInstance.server->respond(farInstance.exchanges.at(index), response);
        CHECK(runUntil([&] {
            return results.size() == static_cast<std::size_t>(index) + 2;
        }));
        LONGS_EQUAL(200, results.back().response.status);
    }
    farInstance.unresponsive = false;
    start("POST", "/write/7", {{"Key", "k1"}}, std::string(BodyBytes - 1000, 'b'));
    CHECK(runUntil([&] {
        return results.size() == 4;
    }));
    LONGS_EQUAL(200, results.back().response.status);
}

// Guards against requests that wait in a queue when their node is stopped and never get an answer (LOST).
TEST(TrafficNode, requestsThatWaitInQueuesAreAnsweredBeforeTheNodeStops)
{
    bringUp();
    farInstance.unresponsive = true;
    InstanceAnnouncement oneSlot = announcement("parts", farInstance);
    oneSlot.slots = 1;
    farNode->announce(oneSlot, ignoreOutcome);
    results.clear();
    start("GET", "/read/1", {{"Key", "k1"}});
    CHECK(runUntil([this] {
        return farInstance.exchanges.size() == 1;
    }));
    start("GET", "/read/2", {{"Key", "k1"}}); // Waits in the queue of the far node.
    ProxySettings settings;
    settings.shutdownGrace = 2s;
    settings.keyGrace = 100s;
    nearNode->updateSettings(settings);
    std::size_t answeredBeforeStop = 0;
    bool stopped = false;
    nearNode->shutDown([&] {
        stopped = true;
        answeredBeforeStop = results.size();
    });
    CHECK(runUntil([&stopped] {
        return stopped;
    }));
    LONGS_EQUAL(2, answeredBeforeStop);
    for (const ClientResult &result : results) {
        CHECK(result.response.status == 503 || result.response.status == 504);
    }
    LONGS_EQUAL(1, farInstance.exchanges.size());
}

// Guards against calls that wait in the queue of a stopped node and are cut off, although they have not run (LOST).
TEST(TrafficNode, callsInTheQueueOfAStoppedNodeAreRefusedAsNotRun)
{
    bringUp();
    farInstance.unresponsive = true;
    InstanceAnnouncement oneSlot = announcement("parts", farInstance);
    oneSlot.slots = 1;
    farNode->announce(oneSlot, ignoreOutcome);
    results.clear();
    start("POST", "/write/1", {{"Key", "k1"}});
    CHECK(runUntil([this] {
        return farInstance.exchanges.size() == 1;
    }));
    start("POST", "/write/2", {{"Key", "k1"}}); // Waits in the queue of the far node.
    bool stopped = false;
    farNode->shutDown([&stopped] {
        stopped = true;
    });
    CHECK(runUntil([this] {
        return !results.empty();
    }));
    CHECK(!stopped);
    LONGS_EQUAL(503, results.front().response.status);
    CHECK(!headerValue(results.front().response.headers, "Retry-After").empty());
    LONGS_EQUAL(1, farInstance.exchanges.size());
}

// Guards against answers that a planned stop cuts off because their caller reads slowly (LOST).
TEST(TrafficNodeWithLargeBodies, aStoppedNodeSendsTheRestOfAnswersToSlowCallers)
{
    bringUp();
    farInstance.answer.body = std::string(AnswerBytes, 'a');
    boost::asio::ip::tcp::socket caller(loop.context());
    caller.connect({boost::asio::ip::address_v4::loopback(), callerEndpoint.port});
    boost::asio::write(caller,
                       boost::asio::buffer(std::string("GET /read/1 HTTP/1.1\r\nHost: shop\r\nKey: k1\r\nAttempt: "
                                                       "slow\r\n\r\n")));
    CHECK(runUntil([&] {
        return caller.available() > 0;
    }));
    bool stopped = false;
    std::size_t received = 0;
    const TimePoint stoppedAt = clock.now();
    ProxySettings settings;
    settings.shutdownGrace = 30s;
    settings.keyGrace = 100s;
    nearNode->updateSettings(settings);
    nearNode->shutDown([&] {
        stopped = true;
    });
    // Reads nothing until after the time at which an idle node stops.
    CHECK(runUntil([&] {
        return clock.now() - stoppedAt > 3s;
    }));
    CHECK(!stopped);
    std::vector<char> chunk(1 << 20);
    CHECK(runUntil([&] {
        boost::system::error_code error;
        received += caller.available() > 0 ? caller.read_some(boost::asio::buffer(chunk), error) : 0;
        return received > AnswerBytes;
    }));
    CHECK(runUntil([&stopped] {
        return stopped;
    }));
    CHECK(clock.now() - stoppedAt < 20s);
}

TEST(TrafficNode, shutdownFinishesRequestsInFlight)
{
    bringUp();
    farInstance.unresponsive = true;
    start("POST", "/write/7", {{"Key", "k1"}});
    CHECK(runUntil([this] {
        return farInstance.exchanges.size() == 1;
    }));
    bool stopped = false;
    nearNode->shutDown([&stopped] {
        stopped = true;
    });
    CHECK(!nearNode->isReady());
    HttpResponse response = FakeInstance::success();
    response.headers.emplace_back("Attempt", farInstance.requests.at(0).header("Attempt"));
    farInstance.server->respond(farInstance.exchanges.at(0), response);
    const std::size_t before = results.size();
    CHECK(runUntil([&] {
        return results.size() > before;
    }));
    LONGS_EQUAL(200, results.back().response.status);
    CHECK(results.back().response.closeConnection);
    CHECK(runUntil([&stopped] {
        return stopped;
    }));
}

TEST_GROUP(DecisionLog)
{
    ManualClock clock;
    int pipeEnds[2] = {-1, -1};

    void setup() override
    {
        CHECK(pipe(pipeEnds) == 0);
        fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    }

    void teardown() override
    {
        close(pipeEnds[0]);
        close(pipeEnds[1]);
    }

    /// The lines that the log has written.
    std::string readAll(DecisionLog & log)
    {
        CHECK(log.flush(HangLimit));
        std::string text;
        char chunk[4096];
        for (ssize_t bytes = 0; (bytes = read(pipeEnds[0], chunk, sizeof chunk)) > 0;) {
            text.append(chunk, static_cast<std::size_t>(bytes));
        }
        return text;
    }
};

TEST(DecisionLog, writesFieldsAndQuotesValuesWhereNeeded)
{
    DecisionLog log(clock, "n1", pipeEnds[1]);
    log.record("egress.rejected", {{"id", "a1"}, {"reason", "two words"}, {"workspace", ""}});
    STRCMP_CONTAINS(" node=n1 decision=egress.rejected id=a1 reason=\"two words\" workspace=\"\"\n",
                    readAll(log).c_str());
}

TEST(DecisionLog, limitsTheLinesOfOneKindAndCountsTheRest)
{
    DecisionLog log(clock, "n1", pipeEnds[1]);
    for (int i = 0; i < 1000; ++i) {
        log.record("ingress.refused", {{"id", "a" + std::to_string(i)}});
    }
    log.record("egress.gave-up", {{"id", "b1"}});
    log.logOmittedCounts();
    const std::string text = readAll(log);
    STRCMP_CONTAINS("id=a19\n", text.c_str());
    CHECK(text.find("id=a20\n") == std::string::npos);
    STRCMP_CONTAINS("id=b1\n", text.c_str());
    STRCMP_CONTAINS("decision=log.left-out kind=ingress.refused count=980\n", text.c_str());
    clock.advance(1s);
    log.record("ingress.refused", {{"id", "c1"}});
    STRCMP_CONTAINS("id=c1\n", readAll(log).c_str());
}

TEST(DecisionLog, dropsLinesInsteadOfBlockingOnAStalledReader)
{
    DecisionLog log(clock, "n1", pipeEnds[1]);
    for (int i = 0; i < 4000; ++i) {
        log.record("kind" + std::to_string(i), {{"id", std::string(200, 'x')}});
    }
    CHECK(!log.flush(0ms));
    CHECK(log.droppedLines() > 0);
    // The reader goes on.
    while (!log.flush(1ms)) {
        char chunk[4096];
        (void)!read(pipeEnds[0], chunk, sizeof chunk);
    }
    log.logOmittedCounts();
    STRCMP_CONTAINS(("decision=log.not-taken count=" + std::to_string(log.droppedLines())).c_str(),
                    readAll(log).c_str());
}
