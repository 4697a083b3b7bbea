#include "documents/keygrant.h"
#include "node/tests/nodefleet.h"
#include "testing/testsettings.h"

#include <map>
#include <set>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

// cutoff_key_grace is above the 30 s poll interval of nodes that are not readers of their zone: in a fleet of one zone,
// these polls are all that such nodes receive from outside the zone.
constexpr const char *Configuration = R"(
[defaults]
retry_ratio_percent = 100
retry_allowance = 3
cutoff_key_grace = 60s
shares_per_zone = 1
[zone z]
region = r
[service front]
[service middle]
[service back]
[route read]
method = GET
path = /front
service = front
class = interactive
[route order]
method = POST
path = /front
service = front
idempotent = no
class = interactive
[route urgent]
method = GET
path = /urgent
service = front
class = critical
[route open]
method = GET
path = /open
service = front
open = yes
class = interactive
[route middleread]
method = GET
path = /middle
service = middle
class = interactive
[route middleorder]
method = POST
path = /middle
service = middle
idempotent = no
class = interactive
[route backread]
method = GET
path = /back
service = back
class = interactive
[route backorder]
method = POST
path = /back
service = back
idempotent = no
class = interactive
[route check]
method = GET
path = /check
service = back
class = background
[workspace steady]
rate = 10000
burst = 10000
[workspace slow]
rate = 1
burst = 2
)";

constexpr int Allowance = 3; // retry_allowance in Configuration.

EgressRequest inner(const std::string &method, const std::string &target, const std::string &token)
{
    return {method, target, std::nullopt, token, std::nullopt};
}

void checkRefused(const RequestResult &outcome, RefusalKind kind, RunState runState)
{
    STRCMP_EQUAL(std::string(RefusalKindNames.name(kind)).c_str(),
                 std::string(RefusalKindNames.name(outcome.refusal.kind)).c_str());
    STRCMP_EQUAL(std::string(RunStateNames.name(runState)).c_str(),
                 std::string(RunStateNames.name(outcome.refusal.runState)).c_str());
}

void checkAnswered(const RequestResult &outcome)
{
    checkRefused(outcome, RefusalKind::None, RunState::NotRun);
    LONGS_EQUAL(200, outcome.answer.status);
}

} // namespace

TEST_GROUP(Node)
{
    NodeFleet fleet{{"front", "front", "back", "back", "middle", "middle"}, testSeed()};
    GrantedKey steady = grantKey(fleet.random, WorkspaceName("steady"), "");
    GrantedKey slow = grantKey(fleet.random, WorkspaceName("slow"), "");
    int runs = 0;

    void setup() override
    {
        fleet.upstream = [this](std::size_t, const CallRequest &, const UpstreamCall &) {
            return WorkResult{.body = "run " + std::to_string(++runs)};
        };
        fleet.run(2s);
        fleet.apply(DocumentKind::Configuration, Configuration);
        fleet.apply(DocumentKind::Keys, formatKeyDocument({steady.record, slow.record}));
        fleet.run(15s); // A raised quota takes effect 10 s after the configuration.
    }

    void teardown() override
    {
        for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
            LONGS_EQUAL(0, fleet.node(index).requestsInProgress());
        }
    }

    EgressRequest get(const std::string &target) const
    {
        return {"GET", target, steady.key, std::nullopt, std::nullopt};
    }

    EgressRequest post(const std::optional<std::string> &idempotencyKey = std::nullopt) const
    {
        return {"POST", "/front", steady.key, std::nullopt, idempotencyKey};
    }

    void withdraw(std::size_t node, const KeyId &key)
    {
        fleet.node(node).documents().withdraw(key, [](const Result<void> &) {});
    }
};

// Guards against requests that run without a valid key, and against open routes that require one.
TEST(Node, keyIsCheckedAtTheFirstNode)
{
    EgressRequest request = get("/front");
    checkAnswered(fleet.request(2, request));
    request.key.reset();
    checkRefused(fleet.request(2, request), RefusalKind::MissingKey, RunState::NotRun);
    request.key = "vt_unknown";
    checkRefused(fleet.request(2, request), RefusalKind::UnknownKey, RunState::NotRun);
    checkRefused(fleet.request(2, get("/nowhere")), RefusalKind::UnknownRoute, RunState::NotRun);
    LONGS_EQUAL(1, runs);
    request = get("/open");
    request.key.reset();
    checkAnswered(fleet.request(2, request));
}

// Guards against a withdrawn key that is still accepted, at this node or 5 s later at another, while the table is down.
TEST(Node, withdrawnKeyIsRefusedWhileTheTableIsDown)
{
    checkAnswered(fleet.request(5, get("/front")));
    fleet.table.down = true;
    withdraw(0, steady.record.id);
    checkRefused(fleet.request(0, get("/front")), RefusalKind::WithdrawnKey, RunState::NotRun);
    fleet.run(5s);
    checkRefused(fleet.request(5, get("/front")), RefusalKind::WithdrawnKey, RunState::NotRun);
    LONGS_EQUAL(1, runs);
}

// Guards against a workspace that exceeds its rate and burst by sending to several nodes.
TEST(Node, rateHoldsOverAllNodes)
{
    const TimePoint begin = fleet.clock.now();
    int refused = 0;
    for (std::size_t index = 0; index < 24; ++index) {
        EgressRequest request = get("/front");
        request.key = slow.key;
        const RequestResult outcome = fleet.request(index % 6, request);
        if (outcome.refusal.kind != RefusalKind::None) {
            checkRefused(outcome, RefusalKind::RateExceeded, RunState::NotRun);
            CHECK(outcome.refusal.retryAfter > Duration::zero());
            ++refused;
        }
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(fleet.clock.now() - begin).count();
    CHECK(runs > 0);
    CHECK(runs <= 2 + seconds);
    LONGS_EQUAL(24, runs + refused);
}

// Guards against inner calls with the token of a request that has ended or that runs at another node.
TEST(Node, requestTokenEndsWithItsRequest)
{
    std::string token;
    std::size_t server = 0;
    fleet.upstream = [&](std::size_t index, const CallRequest &call, const UpstreamCall &start) {
        ++runs;
        if (call.depth == 0) {
            token = start.token;
            server = index;
            checkAnswered(fleet.request(index, inner("GET", "/back", token)));
            checkRefused(
                fleet.request(5, inner("GET", "/back", token)), RefusalKind::InvalidRequestToken, RunState::NotRun);
        }
        return WorkResult{};
    };
    checkAnswered(fleet.request(4, get("/front")));
    checkRefused(
        fleet.request(server, inner("GET", "/back", token)), RefusalKind::InvalidRequestToken, RunState::NotRun);
    checkRefused(fleet.request(server, inner("GET", "/back", "")), RefusalKind::InvalidRequestToken, RunState::NotRun);
    LONGS_EQUAL(2, runs);
}

// Guards against inner calls that lose the workspace, the class or the deadline of their root request.
TEST(Node, innerCallsInheritFromTheRoot)
{
    std::map<std::string, CallRequest> seen;
    fleet.upstream = [&](std::size_t index, const CallRequest &call, const UpstreamCall &start) {
        seen[call.route.value] = call;
        CHECK(start.workspace == WorkspaceName("steady"));
        if (call.depth == 0) {
            checkAnswered(fleet.request(index, inner("GET", "/back", start.token)));
            checkAnswered(fleet.request(index, inner("GET", "/check", start.token)));
        }
        return WorkResult{};
    };
    checkAnswered(fleet.request(4, get("/urgent")));
    const CallRequest &root = seen.at("urgent");
    CHECK(root.priority == PriorityClass::Critical);
    CHECK(seen.at("backread").priority == PriorityClass::Critical);
    CHECK(seen.at("check").priority == PriorityClass::Background);
    for (const char *route : {"backread", "check"}) {
        const CallRequest &call = seen.at(route);
        CHECK(call.workspace == root.workspace && call.rootId == root.rootId && call.rootRoute == root.rootRoute);
        CHECK(call.deadlineLeft < root.deadlineLeft);
        LONGS_EQUAL(1, call.depth);
    }
}

// Guards against call loops that run until the deadline.
TEST(Node, depthIsLimited)
{
    int deepest = 0;
    RequestResult last;
    fleet.upstream = [&](std::size_t index, const CallRequest &call, const UpstreamCall &start) {
        deepest = std::max(deepest, call.depth);
        const RequestResult outcome = fleet.request(index, inner("GET", "/front", start.token));
        last = outcome.refusal.kind == RefusalKind::None ? last : outcome;
        return WorkResult{};
    };
    checkAnswered(fleet.request(4, get("/front")));
    LONGS_EQUAL(MaxCallDepth, deepest);
    checkRefused(last, RefusalKind::MalformedRequest, RunState::NotRun);
}

// Guards against a second run after a broken attempt, and against run state not-run for a request that may have run.
TEST(Node, nonIdempotentRequestIsNotSentAgainAfterABrokenAttempt)
{
    for (const LinkFault fault : {LinkFault::Broken, LinkFault::ReplyLost}) {
        fleet.link = [fault](const CallRequest &) {
            return fault;
        };
        fleet.attempts = 0;
        checkRefused(fleet.request(4, post()), RefusalKind::UpstreamFailed, RunState::Unknown);
        LONGS_EQUAL(1, fleet.attempts);
    }
    LONGS_EQUAL(1, runs);
    fleet.link = [](const CallRequest &) {
        return LinkFault::None;
    };
    fleet.upstream = [this](std::size_t, const CallRequest &, const UpstreamCall &) {
        ++runs;
        return WorkResult{{.complete = false, .sentAnything = true}, {}};
    };
    checkRefused(fleet.request(4, post()), RefusalKind::BadUpstreamReply, RunState::Unknown);
    LONGS_EQUAL(2, runs);
}

// Guards against requests that fail although a retry at another instance would have been safe.
TEST(Node, nonIdempotentRequestIsRetriedWhenItDidNotRun)
{
    fleet.link = [this](const CallRequest &) {
        return fleet.attempts == 1 ? LinkFault::NotSent : LinkFault::None;
    };
    fleet.upstream = [this](std::size_t, const CallRequest &, const UpstreamCall &) {
        runs += fleet.attempts == 3 ? 1 : 0;
        const bool reached = fleet.attempts == 3;
        return WorkResult{{.complete = reached, .sentAnything = reached, .status = 200}, {}};
    };
    checkAnswered(fleet.request(4, post()));
    LONGS_EQUAL(3, fleet.attempts);
    LONGS_EQUAL(1, runs);
}

// Guards against idempotent requests that are not retried, or more often than the allowance permits.
TEST(Node, idempotentRequestIsRetriedWithinTheAllowance)
{
    fleet.link = [this](const CallRequest &) {
        return fleet.attempts == 1 ? LinkFault::ReplyLost : LinkFault::None;
    };
    checkAnswered(fleet.request(4, get("/front")));
    LONGS_EQUAL(2, fleet.attempts);
    LONGS_EQUAL(2, runs);
    fleet.run(10s);
    fleet.attempts = 0;
    fleet.link = [](const CallRequest &) {
        return LinkFault::NotSent;
    };
    checkRefused(fleet.request(4, get("/front")), RefusalKind::NoInstance, RunState::NotRun);
    LONGS_EQUAL(1 + Allowance, fleet.attempts);
    LONGS_EQUAL(2, runs);
}

// Guards against retries at every hop above a failure, which multiply along the chain.
TEST(Node, failureOfADeeperServiceIsNotRetriedAbove)
{
    int frontRuns = 0;
    fleet.link = [](const CallRequest &call) {
        return call.service == ServiceName("back") ? LinkFault::Broken : LinkFault::None;
    };
    fleet.upstream = [&](std::size_t index, const CallRequest &, const UpstreamCall &start) {
        ++frontRuns;
        const RequestResult outcome = fleet.request(index, inner("GET", "/back", start.token));
        checkRefused(outcome, RefusalKind::UpstreamFailed, RunState::Unknown);
        return WorkResult{{.complete = true, .sentAnything = true, .status = 503}, {}};
    };
    LONGS_EQUAL(503, fleet.request(4, get("/front")).answer.status);
    LONGS_EQUAL(1, frontRuns);
    CHECK(fleet.attempts > 2);
    CHECK(fleet.attempts <= fleet.calls + Allowance);
}

// Guards against a draining node that accepts or loses work, and against nodes that keep sending to it.
TEST(Node, drainingNodeGetsNoNewWork)
{
    std::set<std::size_t> servers;
    fleet.upstream = [&](std::size_t index, const CallRequest &, const UpstreamCall &) {
        servers.insert(index);
        return WorkResult{};
    };
    fleet.node(0).setOperatorDrain(true);
    CallRequest call;
    call.service = ServiceName("front");
    call.deadlineLeft = 1s;
    const IngressDecision decision = fleet.node(0).offer(call);
    CHECK(decision.refusal.refusal == RefusalKind::Draining && decision.refusal.runState == RunState::NotRun);
    for (int round = 0; round < 20; ++round) {
        checkAnswered(fleet.request(4, post()));
    }
    CHECK(servers == std::set<std::size_t>{1});
    fleet.run(5s);
    fleet.attempts = 0;
    for (int round = 0; round < 20; ++round) {
        checkAnswered(fleet.request(5, post()));
    }
    LONGS_EQUAL(20, fleet.attempts);
}

// Guards against a retry that runs again or gets another answer, at the same node or another one.
TEST(Node, retryGetsTheStoredAnswerAtAnotherNode)
{
    STRCMP_EQUAL("run 1", fleet.request(0, post("k"), "a").answer.body.c_str());
    fleet.run(1s);
    STRCMP_EQUAL("run 1", fleet.request(5, post("k"), "a").answer.body.c_str());
    checkRefused(fleet.request(5, post("k"), "b"), RefusalKind::IdempotencyMismatch, RunState::NotRun);
    fleet.link = [](const CallRequest &) {
        return LinkFault::ReplyLost;
    };
    checkRefused(fleet.request(0, post("lost")), RefusalKind::UpstreamFailed, RunState::Unknown);
    fleet.run(1s);
    checkRefused(fleet.request(5, post("lost")), RefusalKind::DuplicateInProgress, RunState::Unknown);
    LONGS_EQUAL(2, runs);
}

// Guards against operations that run without a claim, and against claims that are kept for operations that were never
// sent.
TEST(Node, operationThatDidNotRunCanBeRetried)
{
    fleet.table.down = true;
    checkRefused(fleet.request(0, post("k")), RefusalKind::StoreUnavailable, RunState::NotRun);
    LONGS_EQUAL(0, runs);
    checkAnswered(fleet.request(0, post()));
    fleet.table.down = false;
    fleet.run(10s);
    checkAnswered(fleet.request(5, post("k")));
    fleet.link = [](const CallRequest &) {
        return LinkFault::NotSent;
    };
    checkRefused(fleet.request(0, post("unsent")), RefusalKind::NoInstance, RunState::NotRun);
    fleet.link = [](const CallRequest &) {
        return LinkFault::None;
    };
    fleet.run(1s);
    checkAnswered(fleet.request(5, post("unsent")));
    LONGS_EQUAL(3, runs);
}

// Guards against a node that accepts requests before it has received a configuration and keys.
TEST(Node, nodeWithoutDocumentsIsNotReady)
{
    NodeFleet empty{{"front", "front"}};
    empty.table.down = true;
    empty.run(10s);
    std::string reason;
    CHECK(!empty.node(0).isReady(reason));
    CHECK(!reason.empty());
    checkRefused(empty.request(0, get("/front")), RefusalKind::NotReady, RunState::NotRun);
    CHECK(fleet.node(0).isReady(reason));
}

// Guards against a cut-off node, which receives no withdrawals, that accepts keys indefinitely, and against one that
// refuses requests of open routes.
TEST(Node, nodeThatIsCutOffRefusesKeysAfterTheGraceTime)
{
    fleet.table.down = true;
    fleet.run(25s);
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        checkAnswered(fleet.request(index, get("/front")));
    }
    fleet.run(40s);
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        CHECK(fleet.node(index).areKeysStale());
        checkRefused(fleet.request(index, get("/front")), RefusalKind::ZoneCutOff, RunState::NotRun);
        EgressRequest open = get("/open");
        open.key.reset();
        checkAnswered(fleet.request(index, open));
    }
    fleet.table.down = false;
    fleet.run(35s);
    checkAnswered(fleet.request(0, get("/front")));
}
