#include "claims/claimssetup.h"
#include "claims/tests/faketable.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

using namespace vanillatack;
using namespace std::chrono_literals;

TEST_GROUP(Claims)
{
    ManualClock clock;
    SeededRandom random{1};
    FakeTable table{clock, random};
    ClaimsSettings settings;
    std::unique_ptr<IClaims> a;
    std::unique_ptr<IClaims> b;

    void setup() override
    {
        a = makeClaims(clock, random, table, NodeName("a"), 1, settings);
        b = makeClaims(clock, random, table, NodeName("b"), 1, settings);
    }

    void run(Duration duration)
    {
        for (Duration passed{0}; passed < duration; passed += 5ms) {
            clock.advance(5ms);
            table.runDue();
            a->tick();
            b->tick();
        }
    }

    static ClaimKey key(const std::string &name, const std::string &digest = "d")
    {
        return {WorkspaceName("w"), RouteName("r"), name, digest};
    }

    ClaimResult claim(IClaims & claims, const ClaimKey &claimKey, Duration wait = 500ms)
    {
        auto result = std::make_shared<ClaimResult>();
        auto completions = std::make_shared<int>(0);
        claims.claim(claimKey, clock.now() + wait, [=](const ClaimResult &given) {
            *result = given;
            ++*completions;
        });
        run(wait + 50ms);
        LONGS_EQUAL(1, *completions);
        return *result;
    }

    ClaimOutcome outcome(IClaims & claims, const ClaimKey &claimKey)
    {
        return claim(claims, claimKey).outcome;
    }
};

// Guards against a retry that runs the operation again or gets a different answer from the first.
TEST(Claims, retryGetsTheStoredAnswer)
{
    const ClaimResult first = claim(*a, key("k"));
    CHECK(first.outcome == ClaimOutcome::Acquired);
    CHECK(outcome(*b, key("k")) == ClaimOutcome::InProgress);
    a->complete(first.claimId, {201, {{"X", std::string("\xff\0", 2)}}, std::string("\0body\xfe", 6)});
    run(100ms);
    const ClaimResult retry = claim(*b, key("k"));
    CHECK(retry.outcome == ClaimOutcome::Answered);
    LONGS_EQUAL(201, retry.answer.status);
    CHECK(retry.answer.body == std::string("\0body\xfe", 6));
    CHECK(retry.answer.headers[0].second == std::string("\xff\0", 2));
    CHECK(outcome(*b, key("k", "other request")) == ClaimOutcome::Mismatch);
    for (const auto &[rowKey, row] : table.rows) {
        LONGS_EQUAL(6 + 64, rowKey.size());
    }
}

// Guards against an operation that stays blocked although it did not run, and against one that runs twice.
TEST(Claims, onlyAReleasedOrExpiredClaimIsTakenOver)
{
    const ClaimResult first = claim(*a, key("released"));
    a->release(first.claimId);
    run(100ms);
    CHECK(outcome(*b, key("released")) == ClaimOutcome::Acquired);
    const ClaimResult large = claim(*a, key("large"));
    a->complete(large.claimId, {200, {}, std::string(70'000, 'x')});
    run(100ms);
    CHECK(outcome(*b, key("large")) == ClaimOutcome::InProgress);
    const ClaimResult second = claim(*a, key("abandoned"));
    a->keepUnresolved(second.claimId);
    CHECK(outcome(*b, key("abandoned")) == ClaimOutcome::InProgress);
    clock.advance(24h);
    CHECK(outcome(*b, key("abandoned")) == ClaimOutcome::InProgress);
    clock.advance(2min);
    CHECK(outcome(*b, key("abandoned")) == ClaimOutcome::Acquired);
    clock.advance(48h);
    run(1s);
    clock.advance(15min);
    run(1s);
    LONGS_EQUAL(0, table.rows.size());
}

// Guards against claims that are lost or stay for 24 h after a short outage of the table.
TEST(Claims, timedOutClaimIsReleasedAfterTheTableRecovers)
{
    table.down = true;
    CHECK(outcome(*a, key("k")) == ClaimOutcome::Unavailable);
    table.down = false;
    run(6s);
    CHECK(outcome(*b, key("k")) == ClaimOutcome::Acquired);
    table.maxDelay = 1500ms; // The claim is written after its deadline.
    CHECK(claim(*a, key("slow"), 20ms).outcome == ClaimOutcome::Unavailable);
    run(20s);
    table.maxDelay = 10ms;
    CHECK(outcome(*b, key("slow")) == ClaimOutcome::Acquired);
}

// Guards against one transaction per claim, which the table cannot serve at the design scale.
TEST(Claims, concurrentClaimsShareTransactions)
{
    int acquired = 0;
    for (int index = 0; index < 128; ++index) {
        a->claim(key(std::to_string(index)), clock.now() + 1s, [&](const ClaimResult &result) {
            acquired += result.outcome == ClaimOutcome::Acquired ? 1 : 0;
        });
    }
    run(200ms);
    LONGS_EQUAL(128, acquired);
    LONGS_EQUAL(2, table.commits);
}

namespace {

struct Operation {
    int runs = 0;
    bool answered = false;
};

/// Reads the row and runs the operation if it is absent, without a claim.
void runWithoutClaim(FakeTable &table, const std::string &key, Operation &operation)
{
    table.read(key, [&table, &operation, key](const Result<std::optional<TableRow>> &row) {
        if (row.has_value() && !row.value().has_value()) {
            ++operation.runs;
            table.commit({{key, "ran", std::nullopt}}, [](const Result<TableCommit> &) {});
        }
    });
}

} // namespace

// Guards against a second run of an operation that is claimed on several nodes while nodes are killed at any moment and
// the table loses answers, reports failure for writes that took effect, or applies writes late.
TEST(Claims, operationRunsAtMostOnceUnderFaults)
{
    std::uint64_t dispatched = 0;
    std::uint64_t answers = 0;
    std::uint64_t naiveDuplicates = 0;
    std::map<std::string, Operation> operations;
    std::map<std::string, Operation> naive;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        random = SeededRandom(seed);
        table.rows.clear();
        table.faultPermille = 150;
        std::vector<std::unique_ptr<IClaims>> nodes(6);
        std::vector<std::uint64_t> incarnations(6);
        const auto start = [&](std::size_t node) {
            nodes[node] = makeClaims(
                clock, random, table, NodeName(std::to_string(node)), seed * 1000 + ++incarnations[node], settings);
        };
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            start(node);
        }
        for (int step = 0; step < 6000; ++step) {
            clock.advance(5ms);
            table.down = step % 1000 > 950;
            table.maxDelay = step % 700 > 600 ? 800ms : 10ms;
            table.runDue();
            const std::size_t node = random.below(nodes.size());
            if (random.below(100) == 0) {
                start(node);
            }
            const std::string name =
                std::to_string(seed) + "/" + std::to_string(static_cast<std::uint64_t>(step) / 100 + random.below(5));
            runWithoutClaim(table, "naive/" + name, naive[name]);
            const TimePoint deadline = clock.now() + Duration(static_cast<std::int64_t>(random.below(2'000'000'000)));
            const std::uint64_t resolution = random.below(6);
            IClaims *claims = nodes[node].get();
            claims->claim(key(name), deadline, [&, claims, name, deadline, resolution](const ClaimResult &result) {
                Operation &state = operations[name];
                answers += result.outcome == ClaimOutcome::Answered ? 1 : 0;
                CHECK(result.outcome != ClaimOutcome::Mismatch);
                CHECK(result.outcome != ClaimOutcome::Answered || state.answered);
                if (result.outcome != ClaimOutcome::Acquired) {
                    return;
                }
                CHECK(clock.now() < deadline);
                if (resolution == 0) {
                    claims->release(result.claimId);
                    return;
                }
                LONGS_EQUAL(1, ++state.runs);
                ++dispatched;
                if (resolution == 1) {
                    claims->keepUnresolved(result.claimId);
                } else if (resolution > 2) { // Otherwise the claim is never completed, as after a crash of the node.
                    claims->complete(result.claimId, {200, {}, "done"});
                    state.answered = true;
                }
            });
            for (const auto &each : nodes) {
                each->tick();
            }
        }
        nodes.clear();
    }
    for (const auto &[name, state] : naive) {
        naiveDuplicates += state.runs > 1 ? 1 : 0;
    }
    CHECK(dispatched > 300);
    CHECK(answers > 1000);
    CHECK(naiveDuplicates > 10);
    if (std::getenv("VT_FIGURES") != nullptr) {
        std::printf("\ndispatched %llu, repeats answered %llu, operations that run twice without claims %llu\n",
                    static_cast<unsigned long long>(dispatched),
                    static_cast<unsigned long long>(answers),
                    static_cast<unsigned long long>(naiveDuplicates));
    }
}
