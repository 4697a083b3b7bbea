#include "proxy/internal/shutdownplan.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

TEST_GROUP(ShutdownPlan)
{
    const ShutdownPlan plan{6s};
};

TEST(ShutdownPlan, leavesHalfOfTheGracePeriodToSlowRequests)
{
    // The slowest requests take seconds: one accepted 3.5 s after the stop signal was cut off at 5.65 s.
    CHECK(plan.acceptsRequests(2700ms));
    CHECK(!plan.acceptsRequests(3s));
}

// Guards against requests that are taken late in a long grace period and cut off without an answer at its end (LOST).
TEST(ShutdownPlan, aLongGracePeriodDoesNotExtendTheTimeInWhichRequestsAreTaken)
{
    const ShutdownPlan longPlan{10s};
    CHECK(longPlan.acceptsRequests(2700ms));
    CHECK(!longPlan.acceptsRequests(3s));
    CHECK(longPlan.requestTimeLimit() > 9s);
    CHECK(!longPlan.shouldExit(longPlan.requestTimeLimit(), false));
    CHECK(ShutdownPlan{100ms}.requestTimeLimit() == 0s);
}

TEST(ShutdownPlan, acceptsRequestsUntilCallersUseOtherNodes)
{
    CHECK(plan.acceptsRequests(2600ms)); // Callers stop after two failed readiness checks.
    CHECK(!plan.shouldExit(2500ms, true));
    CHECK(plan.shouldExit(2700ms, true));
    CHECK(!plan.shouldExit(2700ms, false));
}

TEST(ShutdownPlan, refusesCallsEarlyAndExitsBeforeTheKill)
{
    CHECK(plan.acceptsCalls(500ms));
    CHECK(!plan.acceptsCalls(1s));
    CHECK(!plan.shouldExit(5s, false));
    CHECK(plan.shouldExit(5900ms, false));
}
