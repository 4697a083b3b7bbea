#include "proxy/internal/shutdownplan.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

TEST_GROUP(ShutdownPlan)
{
    const ShutdownPlan plan{6s};
};

TEST(ShutdownPlan, slowRequestsOfTheFirstHalfHaveTheSecondHalfToEnd)
{
    // Browsing takes seconds; a request taken 3.5 s after the signal was cut off at 5.65 s.
    CHECK(plan.takesRequests(2700ms));
    CHECK(!plan.takesRequests(3s));
}

TEST(ShutdownPlan, requestsAreTakenUntilCallersHaveLeft)
{
    CHECK(plan.takesRequests(2600ms)); // Two failed readiness checks.
    CHECK(!plan.ends(2500ms, true));
    CHECK(plan.ends(2700ms, true));
    CHECK(!plan.ends(2700ms, false));
}

TEST(ShutdownPlan, callsEndEarlyAndTheProcessBeforeItIsKilled)
{
    CHECK(plan.takesCalls(500ms));
    CHECK(!plan.takesCalls(1s));
    CHECK(!plan.ends(5s, false));
    CHECK(plan.ends(5900ms, false));
}
