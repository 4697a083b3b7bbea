#include "admission/tests/simulation.h"
#include "testing/testsettings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

/// A thrashing upstream, which announces three times its actual slots.
constexpr UpstreamSettings Thrashing{.slots = 100, .thrashing = 1};
constexpr int AnnouncedSlots = 300;

struct SlowDownResult {
    double before = 0; ///< Ratio of goodput to capacity before the slow-down.
    double after = 0; ///< Ratio of goodput to capacity from 1.5 s to 2.5 s after the end of the slow-down.
};

SlowDownResult runSlowDown(UpstreamSettings settings, int announced, std::uint64_t seed, bool naive)
{
    Simulation simulation(settings, seed, naive, announced);
    const double capacity = simulation.capacity();
    simulation.addStream({.workspace = "a", .perSecond = 3 * capacity});
    simulation.run(3s);
    SlowDownResult result;
    result.before = simulation.run(12s) / capacity;
    simulation.upstream.serviceSeconds *= 5;
    simulation.run(8s);
    simulation.upstream.serviceSeconds = settings.serviceSeconds;
    simulation.run(1500ms);
    result.after = simulation.run(1s) / capacity;
    return result;
}

/// Ratio of goodput to capacity at an offered load of 3 times the capacity.
double goodputShare(const UpstreamSettings &settings, std::uint64_t seed)
{
    Simulation simulation(settings, seed);
    simulation.addStream({.workspace = "a", .perSecond = 3 * simulation.capacity(), .deadline = 3s});
    simulation.run(10s);
    const double share = simulation.run(30s) / simulation.capacity();
    report("goodput of other upstreams at 3x", share);
    return share;
}

} // namespace

TEST_GROUP(ConcurrencyLimit)
{
    std::uint64_t seed = testSeed();
    std::uint64_t rounds = settingOr("VT_ROUNDS", 4);
};

// Guards against a limit that relies on announced slots, drifts with the queueing that it causes, or stays low after a
// slow-down.
TEST(ConcurrencyLimit, goodputAtThreeTimesCapacityAndRecovery)
{
    SlowDownResult worst{1, 1};
    double naiveBest = 0;
    double naiveAfter = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const SlowDownResult adaptive = runSlowDown(Thrashing, AnnouncedSlots, seed + round, false);
        const SlowDownResult naive = runSlowDown(Thrashing, AnnouncedSlots, seed + round, true);
        worst.before = std::min(worst.before, adaptive.before);
        worst.after = std::min(worst.after, adaptive.after / adaptive.before);
        naiveBest = std::max(naiveBest, naive.before);
        naiveAfter = std::max(naiveAfter, naive.after);
        CHECK(adaptive.before >= 0.95);
        CHECK(adaptive.after >= 0.95 * adaptive.before);
        CHECK(naive.before < 0.5);
    }
    report("goodput at 3x over capacity, worst round", worst.before, naiveBest);
    report("goodput 2 s after slow-down over before", worst.after, naiveAfter);
}

// Guards against a limit that drops because of skewed latencies or of refusals by the upstream.
TEST(ConcurrencyLimit, goodputWithSkewedLatenciesOrRefusals)
{
    CHECK(goodputShare({.slots = 100, .serviceSeconds = 0.02, .variation = 1}, seed) >= 0.95);
    CHECK(goodputShare({.slots = 50, .serviceSeconds = 0.005, .thrashing = 0.5}, seed) >= 0.95);
    CHECK(goodputShare({.slots = 100, .shedAbove = 100}, seed) >= 0.95);
}

// Guards against a limit that follows the noise of an upstream with few slots.
TEST(ConcurrencyLimit, goodputOfAnUpstreamWithFewSlots)
{
    CHECK(goodputShare({.slots = 8, .serviceSeconds = 0.05, .variation = 1}, seed) >= 0.95);
}

// Guards against a limit that follows the noise of an upstream with long service times.
TEST(ConcurrencyLimit, goodputOfASlowUpstream)
{
    CHECK(goodputShare({.slots = 40, .serviceSeconds = 0.3, .variation = 0.7}, seed) >= 0.95);
}

// Guards against the use of an all-time minimum as the baseline, which would keep the limit low permanently.
TEST(ConcurrencyLimit, permanentSlowDownIsLearned)
{
    Simulation simulation({.slots = 100}, seed);
    simulation.addStream({.workspace = "a", .perSecond = 3 * simulation.capacity()});
    simulation.run(10s);
    simulation.upstream.serviceSeconds *= 3;
    simulation.run(5s);
    CHECK(simulation.run(10s) >= 0.95 * simulation.capacity());
    DOUBLES_EQUAL(0.06, std::chrono::duration<double>(simulation.admission->snapshot().baseline).count(), 0.009);
}

// Guards against a collapse of the limit when latency rises for a reason other than concurrency.
TEST(ConcurrencyLimit, slowUpstreamWithFreeSlotsKeepsServing)
{
    Simulation simulation({.slots = 1000}, seed);
    simulation.addStream({.workspace = "a", .perSecond = 3000});
    simulation.run(10s);
    simulation.upstream.serviceSeconds = 0.1;
    simulation.run(5s);
    simulation.resetTallies();
    simulation.run(10s);
    // Uses refusals instead of the good share, since the number of requests in flight differs randomly between both
    // ends of the interval.
    const double refused = static_cast<double>(simulation.tallies[0].refused) / simulation.tallies[0].offered;
    report("refused by a slow upstream with free slots", refused);
    CHECK(refused <= 0.001);
}

// Guards against a limit that rises while unused and then does not protect the upstream from a load increase.
TEST(ConcurrencyLimit, unusedLimitDoesNotRise)
{
    Simulation simulation({.slots = 100}, seed);
    simulation.addStream({.workspace = "a", .perSecond = 500});
    simulation.run(60s);
    CHECK(simulation.admission->snapshot().limit <= 100);
    LONGS_EQUAL(0, simulation.tallies[0].refused);
}

// Guards against sending the full load to a cold upstream immediately.
TEST(ConcurrencyLimit, coldStartDoublesAtMostOncePerSecond)
{
    Simulation simulation({.slots = 200}, seed);
    simulation.admission->startCold();
    LONGS_EQUAL(20, simulation.admission->snapshot().limit);
    simulation.addStream({.workspace = "a", .perSecond = 3 * simulation.capacity()});
    std::deque<int> lastSecond;
    int highest = 0;
    for (int step = 0; step < 600 && highest < 200; ++step) {
        lastSecond.push_back(simulation.admission->snapshot().limit);
        if (lastSecond.size() > 100) {
            lastSecond.pop_front();
        }
        simulation.run(10ms);
        const int limit = simulation.admission->snapshot().limit;
        CHECK(limit <= 2 * *std::min_element(lastSecond.begin(), lastSecond.end()));
        highest = std::max(highest, limit);
    }
    LONGS_EQUAL(200, highest);
}
