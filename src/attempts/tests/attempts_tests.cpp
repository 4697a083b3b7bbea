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

/// Simulates a call tree in which every node has its own ledger. The naive variant allows a fixed number of retries per
/// hop instead.
struct CallTree {
    IRandom &random;
    int depth;
    int fanOut; ///< Outgoing calls per node.
    int failurePercent;
    int naiveRetries = -1; ///< Retries per hop; -1 uses the ledger.
    std::int64_t calls = 0;
    std::int64_t attempts = 0;
    std::vector<std::int64_t> attemptsAt = std::vector<std::int64_t>(33, 0);
    std::uint64_t nextId = 1;

    bool chance(int percent)
    {
        return random.below(100) < static_cast<std::uint64_t>(percent);
    }

    /// Returns whether the request succeeded and the allowance that its reply refunds.
    std::pair<bool, int> run(int level, int allowance)
    {
        const auto ledger = makeRetryAllowanceLedger();
        const RequestId request{nextId++};
        ledger->open(request, allowance);
        bool succeeded = level < depth || !chance(failurePercent);
        for (int i = 0; level < depth && i < fanOut && succeeded; ++i) {
            ++calls;
            succeeded = callWithRetries(*ledger, request, level);
        }
        return {succeeded, ledger->close(request)};
    }

    bool callWithRetries(IRetryAllowanceLedger &ledger, RequestId request, int level)
    {
        for (int retry = 0;; ++retry) {
            if (attempts > 2'000'000) {
                return false; // Bounds the run time of the naive variant.
            }
            if (attempt(ledger, request, level)) {
                return true;
            }
            if (naiveRetries >= 0 ? retry >= naiveRetries : !ledger.tryAcquireRetry(request)) {
                return false;
            }
        }
    }

    bool attempt(IRetryAllowanceLedger &ledger, RequestId request, int level)
    {
        ++attempts;
        ++attemptsAt[static_cast<std::size_t>(level) + 1];
        const CallId call{nextId++};
        const int delegated = ledger.beginCall(request, call);
        if (chance(failurePercent)) { // Refused without running.
            ledger.finishCall(request, call, delegated);
            return false;
        }
        const auto [succeeded, unused] = run(level + 1, delegated);
        const bool lost = chance(failurePercent);
        if (lost) {
            ledger.markCallLost(request, call);
        }
        ledger.finishCall(request, call, chance(20) ? unused + 5 : unused); // A late reply if the call was lost.
        if (chance(20)) {
            ledger.finishCall(request, call, unused); // A duplicate reply.
        }
        return succeeded && !lost;
    }
};

} // namespace

TEST_GROUP(RetryAllowanceLedger)
{
    SeededRandom random{testSeed()};
};

// Guards against retries that multiply at each hop, and against allowance created by lost, late, duplicate or invalid
// replies.
TEST(RetryAllowanceLedger, attemptsStayWithinCallsPlusAllowance)
{
    const std::uint64_t rounds = settingOr("VT_ROUNDS", 2000);
    std::int64_t naiveViolations = 0;
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
            // No service receives more attempts than the first one plus the allowance.
            CHECK(*std::max_element(tree.attemptsAt.begin(), tree.attemptsAt.end()) <= 1 + allowance);
            CallTree naive{random, std::min(depth, 12), 1, failurePercent, 2};
            naive.run(0, 0);
            const auto maxAttempts = *std::max_element(naive.attemptsAt.begin(), naive.attemptsAt.end());
            naiveViolations += maxAttempts > 1 + 2 ? 1 : 0;
        }
    }
    CHECK(naiveViolations > static_cast<std::int64_t>(rounds / 4));
}

// Guards against a denied retry after a refused call has refunded its whole allowance.
TEST(RetryAllowanceLedger, refusedCallLeavesTheAllowanceForARetry)
{
    const auto ledger = makeRetryAllowanceLedger();
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

// Guards against bursts across a bucket boundary that exceed the ratio within a window of 10 s. The reference is a log
// of all attempts.
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

// Guards against retries that are still granted at a ratio of 0.
TEST(RetryBudget, ratioZeroStopsRetries)
{
    const auto budget = makeRetryBudget(clock);
    CHECK_TRUE(budget->tryAcquireRetry(ServiceName("a")));
    budget->setRatioPercent(0);
    CHECK_FALSE(budget->tryAcquireRetry(ServiceName("a")));
}
