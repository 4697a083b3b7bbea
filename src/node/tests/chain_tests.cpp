#include "documents/keygrant.h"
#include "node/tests/nodefleet.h"
#include "testing/testsettings.h"

#include <map>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

constexpr int Allowance = 3;
constexpr const char *Defaults = "[defaults]\nretry_ratio_percent = 100\nretry_allowance = 3\nshares_per_zone = 1\n"
                                 "[zone z]\nregion = r\n[workspace w]\nrate = 10000\nburst = 10000\n";

/// Each service has an idempotent and a non-idempotent route, and calls the next one.
const std::vector<std::string> Chain = {"front", "middle", "back"};

std::string configuration()
{
    std::string text = Defaults;
    for (const std::string &service : Chain) {
        const std::string target = "\npath = /" + service + "\nclass = interactive\nservice = " + service;
        text += "[service " + service + "]\n[route read" + service + "]\nmethod = GET" + target + "\n[route order"
            + service + "]\nmethod = POST" + target + "\nidempotent = no\n";
    }
    return text;
}

/// Sends random requests, with retries after refusals, through nodes, connections and a table with random faults.
struct ChainRun {
    NodeFleet fleet{{"front", "front", "middle", "middle", "back", "back", "back"}, testSeed()};
    SeededRandom random{testSeed() + 1};
    GrantedKey key = grantKey(fleet.random, WorkspaceName("w"), "");
    /// By operation and service. The name of an operation with an idempotency key ends with "k".
    std::map<std::string, std::map<std::string, int>> operationRuns;
    std::map<RunState, int> refusals;
    int answers = 0;
    int storedAnswers = 0;

    bool chance(std::uint64_t percent)
    {
        return random.below(100) < percent;
    }

    int runsOf(const std::string &operation)
    {
        int sum = 0;
        for (const auto &[service, count] : operationRuns[operation]) {
            sum += count;
        }
        return sum;
    }

    LinkFault fault()
    {
        constexpr std::array<LinkFault, 3> Faults = {LinkFault::NotSent, LinkFault::Broken, LinkFault::ReplyLost};
        return chance(15) ? Faults.at(random.below(3)) : LinkFault::None;
    }

    WorkResult work(std::size_t index, const CallRequest &call, const UpstreamCall &start)
    {
        if (chance(3)) {
            return {{.complete = false, .sentAnything = false}, {}};
        }
        const int count = ++operationRuns[call.body][call.service.value];
        CHECK(call.method == "GET" || count == 1);
        if (chance(10)) {
            fleet.run(5ms);
        }
        if (call.service == ServiceName("front") && call.method == "POST" && call.body.bytes().ends_with("k")
            && chance(20)) {
            // The caller times out and retries the operation while it is still running.
            const RequestResult retry = send(random.below(fleet.nodes.size()), "POST", call.body);
            CHECK(retry.refusal.kind != RefusalKind::None);
        }
        int status = chance(3) ? 503 : 200;
        for (std::size_t next = call.service.value == "front" ? 1 : 2; call.service.value != "back" && next < 3;) {
            const EgressRequest request{call.method, "/" + Chain.at(next), std::nullopt, start.token, std::nullopt};
            const RequestResult outcome = fleet.request(index, request, call.body);
            status = outcome.answer.status == 200 ? status : 502;
            next = call.method == "GET" && chance(30) ? next : 3; // Reads call the next service several times.
        }
        const bool complete = !chance(3);
        return {{.complete = complete, .sentAnything = true, .status = status}, "answer to " + call.body.bytes()};
    }

    RequestResult send(std::size_t node, const std::string &method, const std::string &operation)
    {
        const bool hasKey = operation.ends_with("k");
        const std::optional<std::string> idempotencyKey = hasKey ? std::optional(operation) : std::nullopt;
        const int before = runsOf(operation);
        const int attemptsBefore = fleet.attempts;
        const int callsBefore = fleet.calls;
        RequestResult outcome =
            fleet.request(node, {method, "/front", key.key, std::nullopt, idempotencyKey}, operation);
        CHECK(fleet.attempts - attemptsBefore <= fleet.calls - callsBefore + Allowance);
        const bool refused = outcome.refusal.kind != RefusalKind::None;
        CHECK(refused || outcome.answer.body == "answer to " + operation);
        if (refused) {
            ++refusals[outcome.refusal.runState];
            CHECK(outcome.refusal.runState != RunState::NotRun || runsOf(operation) == before);
        } else {
            ++answers;
            storedAnswers += runsOf(operation) == before ? 1 : 0;
            CHECK(runsOf(operation) > 0);
        }
        return outcome;
    }

    /// Sends an operation up to 4 times. Retries after a refusal with run state not-run; with an idempotency key also
    /// after any other refusal and sometimes after an answer.
    void runOperation(int round)
    {
        const std::string method = chance(30) ? "GET" : "POST";
        const bool hasKey = method == "POST" && chance(60);
        const std::string operation = std::to_string(round) + (hasKey ? "k" : "");
        for (int tries = 0; tries < 4; ++tries) {
            const RequestResult outcome = send(random.below(fleet.nodes.size()), method, operation);
            const bool mayRetry = hasKey || outcome.refusal.runState == RunState::NotRun;
            if ((outcome.refusal.kind == RefusalKind::None && !chance(20)) || !mayRetry) {
                return;
            }
            if (outcome.refusal.kind == RefusalKind::None && !hasKey) {
                return;
            }
            fleet.run(Duration(static_cast<std::int64_t>(random.below(200'000'000))));
        }
    }

    void changeFaults(int round)
    {
        fleet.table.down = round % 50 > 44;
        fleet.table.losesAnswers = round % 30 > 26;
        if (round % 10 == 0) {
            for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
                fleet.node(index).setOperatorDrain(chance(20));
            }
        }
    }
};

} // namespace

TEST_GROUP(Chain){};

// Guards against non-idempotent operations that run twice, refusals with run state not-run although the operation ran,
// retries that multiply along the chain, and records of ended requests that are never removed.
TEST(Chain, nonIdempotentOperationsRunAtMostOnceUnderRandomFaults)
{
    ChainRun run;
    NodeFleet &fleet = run.fleet;
    fleet.run(2s);
    fleet.apply(DocumentKind::Configuration, configuration());
    fleet.apply(DocumentKind::Keys, formatKeyDocument({run.key.record}));
    fleet.run(15s); // A raised quota takes effect 10 s after the configuration.
    fleet.link = [&run](const CallRequest &) {
        return run.fault();
    };
    fleet.upstream = [&run](std::size_t index, const CallRequest &call, const UpstreamCall &start) {
        return run.work(index, call, start);
    };
    const int rounds = static_cast<int>(settingOr("VT_ROUNDS", 2000));
    for (int round = 0; round < rounds; ++round) {
        run.changeFaults(round);
        run.runOperation(round);
    }
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        LONGS_EQUAL(0, fleet.node(index).requestsInProgress());
    }
    report("chain: answers", run.answers);
    report("chain: stored answers", run.storedAnswers);
    report("chain: refusals not-run", run.refusals[RunState::NotRun]);
    report("chain: refusals unknown", run.refusals[RunState::Unknown]);
    report("chain: attempts per call", static_cast<double>(fleet.attempts) / fleet.calls);
    CHECK(run.answers > rounds / 4);
    CHECK(run.storedAnswers > rounds / 50);
    CHECK(run.refusals[RunState::NotRun] > rounds / 50);
    CHECK(run.refusals[RunState::Unknown] > rounds / 50);
}
