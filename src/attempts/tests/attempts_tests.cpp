#include "attempts/attemptssetup.h"
#include "base/random.h"
#include "testing/testsettings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

/// A call tree in which every node has its own ledger. Runs it with the ledger, or with a fixed number of retries per
/// hop as the naive version does.
struct CallTree {
    IRandom &random;
    int depth;
    int fanOut; ///< Calls per node.
    int failurePercent;
    int naiveRetries = -1; ///< Per hop; -1 for the ledger.
    std::int64_t calls = 0;
    std::int64_t attempts = 0;
    std::vector<std::int64_t> attemptsAt = std::vector<std::int64_t>(33, 0);
    std::uint64_t nextId = 1;

    bool chance(int percent)
    {
        return random.below(100) < static_cast<std::uint64_t>(percent);
    }

    /// Returns whether the request succeeded and what its reply gives back.
    std::pair<bool, int> run(int level, int allowance)
    {
        const auto ledger = makeAttemptLedger();
        const RequestId request{nextId++};
        ledger->open(request, allowance);
        bool succeeded = level < depth || !chance(failurePercent);
        for (int i = 0; level < depth && i < fanOut && succeeded; ++i) {
            ++calls;
            succeeded = callWithRetries(*ledger, request, level);
        }
        return {succeeded, ledger->close(request)};
    }

    bool callWithRetries(IAttemptLedger &ledger, RequestId request, int level)
    {
        for (int tries = 0;; ++tries) {
            if (attempts > 2'000'000) {
                return false; // The naive version does not end otherwise.
            }
            if (attempt(ledger, request, level)) {
                return true;
            }
            if (naiveRetries >= 0 ? tries >= naiveRetries : !ledger.tryAcquireRetry(request)) {
                return false;
            }
        }
    }

    bool attempt(IAttemptLedger &ledger, RequestId request, int level)
    {
        ++attempts;
        ++attemptsAt[static_cast<std::size_t>(level) + 1];
        const CallId call{nextId++};
        const int part = ledger.beginCall(request, call);
        if (chance(failurePercent)) { // Refused before it ran.
            ledger.finishCall(request, call, part);
            return false;
        }
        const auto [succeeded, unused] = run(level + 1, part);
        const bool lost = chance(failurePercent);
        if (lost) {
            ledger.markCallLost(request, call);
        }
        ledger.finishCall(request, call, chance(20) ? unused + 5 : unused); // Late when lost.
        if (chance(20)) {
            ledger.finishCall(request, call, unused); // Twice.
        }
        return succeeded && !lost;
    }
};

} // namespace

TEST_GROUP(AttemptLedger)
{
    SeededRandom random{testSeed()};
};

// Guards against retries that multiply at each hop, and against allowance that lost, late, repeated or wrong replies
// create.
TEST(AttemptLedger, attemptsStayWithinCallsPlusAllowance)
{
    const std::uint64_t rounds = settingOr("VT_ROUNDS", 2000);
    std::int64_t naiveBroken = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const int depth = 1 + static_cast<int>(random.below(24));
        const int fanOut = depth > 8 ? 1 : 1 + static_cast<int>(random.below(3));
        const int allowance = static_cast<int>(random.below(8));
        const int failurePercent = static_cast<int>(random.below(70));
        CallTree tree{random, depth, fanOut, failurePercent};
        const int unused = tree.run(0, allowance).second;
        CHECK(tree.attempts <= tree.calls + allowance);
        CHECK(unused >= 0 && unused <= allowance);
        if (fanOut == 1) {
            // Even the deepest service sees each request at most once per retry, and once more.
            CHECK(*std::max_element(tree.attemptsAt.begin(), tree.attemptsAt.end()) <= 1 + allowance);
            CallTree naive{random, std::min(depth, 12), 1, failurePercent, 2};
            naive.run(0, 0);
            const auto most = *std::max_element(naive.attemptsAt.begin(), naive.attemptsAt.end());
            naiveBroken += most > 1 + 2 ? 1 : 0;
        }
    }
    CHECK(naiveBroken > static_cast<std::int64_t>(rounds / 4));
}

// Guards against a retry that finds nothing left although the refused call returned its whole part.
TEST(AttemptLedger, refusedCallLeavesTheAllowanceForARetry)
{
    const auto ledger = makeAttemptLedger();
    ledger->open(RequestId{1}, 1);
    LONGS_EQUAL(1, ledger->beginCall(RequestId{1}, CallId{1}));
    CHECK_FALSE(ledger->tryAcquireRetry(RequestId{1}));
    ledger->finishCall(RequestId{1}, CallId{1}, 1);
    CHECK_TRUE(ledger->tryAcquireRetry(RequestId{1}));
    CHECK_FALSE(ledger->tryAcquireRetry(RequestId{1}));
    LONGS_EQUAL(0, ledger->close(RequestId{1}));
    LONGS_EQUAL(0, ledger->beginCall(RequestId{1}, CallId{2}));
}

TEST_GROUP(RetryBudget)
{
    ManualClock clock;
    SeededRandom random{testSeed()};
};

// Guards against windows in which a burst on both sides of a bucket boundary exceeds the ratio: compares with a log of
// all attempts.
TEST(RetryBudget, everyWindowKeepsTheRatio)
{
    const auto budget = makeRetryBudget(clock);
    const ServiceName service("archive");
    std::deque<TimePoint> firsts;
    std::deque<TimePoint> retries;
    std::int64_t granted = 0;
    for (std::uint64_t step = 0; step < settingOr("VT_ROUNDS", 2000) * 50; ++step) {
        clock.advance(Duration(random.below(20'000'000)));
        const bool busy = (step / 5000) % 2 == 0;
        if (random.below(100) < (busy ? 90U : 5U)) {
            budget->recordFirstAttempt(service);
            firsts.push_back(clock.now());
        }
        if (random.below(100) < 60 && budget->tryAcquireRetry(service)) {
            retries.push_back(clock.now());
            ++granted;
        }
        for (auto *log : {&firsts, &retries}) {
            while (!log->empty() && log->front() <= clock.now() - 10s) {
                log->pop_front();
            }
        }
        CHECK(retries.size() * 100 <= firsts.size() * 10 + 1000 || retries.empty() || retries.back() != clock.now());
    }
    CHECK(granted > 100);
}

// Guards against a ratio of 0 that still lets retries through.
TEST(RetryBudget, ratioZeroStopsRetries)
{
    const auto budget = makeRetryBudget(clock);
    CHECK_TRUE(budget->tryAcquireRetry(ServiceName("a")));
    budget->setRatioPercent(0);
    CHECK_FALSE(budget->tryAcquireRetry(ServiceName("a")));
}
