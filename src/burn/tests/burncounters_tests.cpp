#include "base/random.h"
#include "burn/burnsetup.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

namespace {

BurnSample sampleOf(RefusalKind refusal, int status, int latencyMs = 1, bool withinRate = true)
{
    return {
        RouteName("certs"), WorkspaceName("north"), refusal, status, std::chrono::milliseconds(latencyMs), withinRate};
}

} // namespace

TEST_GROUP(BurnCounters)
{
    ManualClock clock;

    std::int64_t minute() const
    {
        return std::chrono::floor<std::chrono::minutes>(clock.wallNow().time_since_epoch()).count();
    }
};

// Guards against error budget used by callers that exceed their rate or send invalid requests, and against failures
// that are not counted.
TEST(BurnCounters, samplesAreClassifiedByTheObjective)
{
    const auto counters = createBurnCounters(clock);
    counters->setObjectives({{RouteName("certs"), 99.9, std::chrono::milliseconds(100)}});
    counters->record(sampleOf(RefusalKind::None, 200));
    counters->record(sampleOf(RefusalKind::None, 404));
    counters->record(sampleOf(RefusalKind::None, 200, 101)); // Late.
    counters->record(sampleOf(RefusalKind::None, 502));
    counters->record(sampleOf(RefusalKind::Overloaded, 503));
    counters->record(sampleOf(RefusalKind::RateExceeded, 429)); // Refused although within the rate.
    counters->record(sampleOf(RefusalKind::RateExceeded, 429, 1, false));
    counters->record(sampleOf(RefusalKind::Overloaded, 503, 1, false));
    counters->record(sampleOf(RefusalKind::UnknownKey, 401));
    counters->record(sampleOf(RefusalKind::Cancelled, 499));
    counters->record(sampleOf(RefusalKind::Cancelled, 499, 101));
    const auto buckets = counters->buckets(minute(), minute());
    LONGS_EQUAL(1, buckets.size());
    LONGS_EQUAL(2, buckets[0].good);
    LONGS_EQUAL(5, buckets[0].bad);
    LONGS_EQUAL(2, buckets[0].refusals.at(RefusalKind::None));
    LONGS_EQUAL(1, buckets[0].refusals.at(RefusalKind::RateExceeded));
}

// Guards against counters that differ from a plain sum or grow without bound. Uses random requests and pauses.
TEST(BurnCounters, matchANaiveCountAndStayBounded)
{
    BurnLimits limits;
    limits.retentionMinutes = 60;
    limits.maxSeries = 6;
    limits.maxCounters = 400;
    const auto counters = createBurnCounters(clock, limits);
    SeededRandom random(3);
    std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> naive;
    for (int step = 0; step < 20'000; ++step) {
        BurnSample sample = sampleOf(random.below(4) == 0 ? RefusalKind::Overloaded : RefusalKind::None, 200);
        sample.route = RouteName("r" + std::to_string(random.below(4)));
        sample.workspace = WorkspaceName("w" + std::to_string(random.below(3)));
        counters->record(sample);
        auto &[good, bad] = naive[minute()];
        ++(sample.refusal == RefusalKind::None ? good : bad);
        clock.advance(std::chrono::seconds(random.below(3)));
        if (random.below(2000) == 0) {
            clock.advance(std::chrono::minutes(random.below(50)));
        }
    }
    std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> kept;
    std::size_t counterCount = 0;
    for (const BurnBucket &bucket : counters->buckets(0, minute())) {
        kept[bucket.minute].first += bucket.good;
        kept[bucket.minute].second += bucket.bad;
        counterCount += (bucket.good > 0) + bucket.refusals.size();
        CHECK(bucket.route.value[0] == 'r' || bucket.route.value == OtherSeries);
    }
    CHECK(counterCount <= limits.maxCounters);
    CHECK(kept.size() > 10 && kept.size() <= 60);
    for (const auto &[at, counts] : kept) {
        CHECK(naive.at(at) == counts);
    }
}
