#include "base/random.h"
#include "burn/burnreport.h"

#include <nlohmann/json.hpp>

// Last, since it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace vanillatack;

namespace {

constexpr std::int64_t Now = 29'000'000;

BurnBucket bucketAt(std::int64_t minute, std::uint64_t good, std::uint64_t bad, const std::string &workspace = "north")
{
    BurnBucket bucket{minute, RouteName("certs"), WorkspaceName(workspace), good, bad, {}};
    if (bad > 0) {
        bucket.refusals[RefusalKind::Overloaded] = bad;
    }
    return bucket;
}

RouteBurn reportOf(std::vector<BurnBucket> totals)
{
    BurnReportInput input;
    input.totals = std::move(totals);
    input.objectives = {{RouteName("certs"), 99.0, Duration::zero()}};
    input.nowMinute = Now;
    return makeBurnReport(input).routes.at(0);
}

BurnCollection randomCollection(SeededRandom &random)
{
    BurnCollection collection;
    for (std::uint64_t i = 0; i < 1 + random.below(20); ++i) {
        const BurnSource source{ZoneName("a"), NodeName("n" + std::to_string(random.below(3))), 1 + random.below(2)};
        const auto age = static_cast<std::int64_t>(random.below(4));
        BurnBucket bucket = bucketAt(Now - age, random.below(9), random.below(9));
        if (random.below(3) == 0) {
            bucket = sumHours({bucket}, Now).at(0);
        }
        collection.add(source, bucket);
    }
    return collection;
}

BurnCollection merged(BurnCollection left, const BurnCollection &right)
{
    left.merge(right);
    return left;
}

} // namespace

TEST_GROUP(BurnCollection){};

// Guards against double counting of a node that was collected twice, and against sums that depend on the merge order.
TEST(BurnCollection, mergeIsAssociativeCommutativeAndIdempotent)
{
    SeededRandom random(5);
    for (int round = 0; round < 300; ++round) {
        const BurnCollection a = randomCollection(random);
        const BurnCollection b = randomCollection(random);
        const BurnCollection c = randomCollection(random);
        CHECK(merged(merged(a, b), c) == merged(a, merged(b, c)));
        CHECK(merged(a, b) == merged(b, a));
        CHECK(merged(a, a) == a);
        const auto copy = parseBurnCollection(formatBurnCollection(a));
        CHECK(copy.has_value());
        CHECK(copy.value() == a);
    }
}

// Guards against losing the counts of an earlier run of a node, and against adding up two readings of the same minute.
TEST(BurnCollection, runsAddUpAndMinutesGrow)
{
    BurnCollection collection;
    const BurnSource first{ZoneName("a"), NodeName("n"), 1};
    collection.add(first, bucketAt(Now, 5, 1));
    collection.add(first, bucketAt(Now, 7, 2));
    collection.add({ZoneName("a"), NodeName("n"), 2}, bucketAt(Now, 10, 0));
    const auto totals = collection.totals();
    LONGS_EQUAL(1, totals.size());
    LONGS_EQUAL(17, totals[0].good);
    LONGS_EQUAL(2, totals[0].bad);
    LONGS_EQUAL(2, totals[0].refusals.at(RefusalKind::Overloaded));
    collection.removeBefore(Now + 1);
    CHECK(collection.sources().empty());
}

// Guards against counting both the minutes of a node and the hours they are part of. Collects from a running node at
// random times, both directly and through the table.
TEST(BurnCollection, hoursAndMinutesOfANodeCountOnce)
{
    SeededRandom random(13);
    std::vector<BurnBucket> buckets;
    std::uint64_t expected = 0;
    BurnCollection collection;
    const BurnSource source{ZoneName("a"), NodeName("n"), 1};
    for (std::int64_t minute = Now; minute < Now + 1500; ++minute) {
        buckets.push_back(bucketAt(minute, random.below(5), random.below(3)));
        expected += buckets.back().good + buckets.back().bad;
        if (random.below(7) == 0 || minute == Now + 1499) {
            collection.add(source, sumHours(buckets, minuteResolutionStart(minute)));
        }
        if (random.below(5) == 0) {
            collection.merge(parseBurnCollection(formatBurnCollection(collection)).value());
            collection.add(source, sumHours(buckets, minute + 1));
        }
    }
    std::uint64_t counted = 0;
    for (const BurnBucket &bucket : collection.totals()) {
        counted += bucket.good + bucket.bad;
        CHECK(bucket.spanMinutes == 1 || bucket.minute < minuteResolutionStart(Now + 1499));
    }
    LONGS_EQUAL(expected, counted);
    STRCMP_EQUAL("burn/a/00483333", burnRowKey(ZoneName("a"), Now).c_str());
}

// Guards against a malformed row or reply that crashes the tool or is accepted as counts.
TEST(BurnCollection, malformedTextIsAnError)
{
    const std::string text =
        R"({"format":1,"routes":["r"],"workspaces":["w"],"sources":[{"zone":"a","node":"n","start":1,"hours":[],"minutes":[[1,0,0,)";
    CHECK(parseBurnCollection(text + "3,4,{\"new-kind\":4}]]}]}").has_value());
    CHECK(!parseBurnCollection(text + "-3,4]]}]}").has_value());
    CHECK(!parseBurnCollection(text + "3]]}]}").has_value());
    CHECK(!parseBurnCollection("{\"format\":2,\"sources\":[]}").has_value());
    CHECK(!parseBurnCollection("").has_value());
}

TEST_GROUP(BurnReport){};

// Guards against alerts based on a single window, which start too late or do not end.
TEST(BurnReport, alertsNeedBothWindows)
{
    const RouteBurn fast = reportOf({bucketAt(Now - 50, 500, 500), bucketAt(Now, 80, 20)});
    CHECK(fast.fastAlert);
    DOUBLES_EQUAL(20, fast.windows[0].burnRate, 1e-6);
    CHECK(!reportOf({bucketAt(Now - 50, 500, 500), bucketAt(Now, 100, 0)}).fastAlert);
    CHECK(!reportOf({bucketAt(Now - 50, 100'000, 0), bucketAt(Now, 80, 20)}).fastAlert);
    const RouteBurn slow = reportOf({bucketAt(Now - 4000, 970, 30), bucketAt(Now - 300, 970, 30)});
    CHECK(slow.slowAlert && !slow.fastAlert);
    CHECK(!reportOf({bucketAt(Now - 4000, 970, 30)}).slowAlert);
}

// Guards against off-by-one errors at the bounds of the windows and the period.
TEST(BurnReport, windowsMatchANaiveSum)
{
    SeededRandom random(9);
    std::vector<BurnBucket> totals;
    for (int i = 0; i < 3000; ++i) {
        const auto age = static_cast<std::int64_t>(random.below(random.below(2) ? 70 : 45'000));
        totals.push_back(bucketAt(Now + 2 - age, random.below(50), random.below(5)));
    }
    const RouteBurn route = reportOf(totals);
    std::uint64_t bad = 0;
    std::uint64_t all = 0;
    for (const BurnWindow &window : route.windows) {
        std::uint64_t expected = 0;
        for (const BurnBucket &bucket : totals) {
            const std::int64_t age = Now - bucket.minute;
            expected += age >= 0 && age < window.minutes ? bucket.bad : 0;
        }
        LONGS_EQUAL(expected, window.bad);
    }
    for (const BurnBucket &bucket : totals) {
        const std::int64_t age = Now - bucket.minute;
        bad += age >= 0 && age < BudgetMinutes ? bucket.bad : 0;
        all += age >= 0 && age < BudgetMinutes ? bucket.bad + bucket.good : 0;
    }
    DOUBLES_EQUAL(static_cast<double>(bad) / (0.01 * static_cast<double>(all)), route.budgetUsed, 1e-9);
    DOUBLES_EQUAL(route.budgetUsed, route.history.back().budgetUsed, 1e-9);
    CHECK(route.history.size() <= 200);
}

// Guards against reports that omit missing availability zones or the worst workspace.
TEST(BurnReport, renderingsNameMissingZonesAndTheWorstWorkspace)
{
    BurnReportInput input;
    input.totals = {bucketAt(Now - 10, 990, 10), bucketAt(Now - 9, 5, 5, "south")};
    input.objectives = {{RouteName("certs"), 99.5, std::chrono::milliseconds(500)}, {RouteName("idle"), 99, {}}};
    input.nowMinute = Now;
    input.missingZones = {ZoneName("north-c")};
    const BurnReport report = makeBurnReport(input);
    for (const std::string &text : {renderBurnText(report), renderBurnHtml(report), renderBurnJson(report)}) {
        STRCMP_CONTAINS("north-c", text.c_str());
        STRCMP_CONTAINS("south", text.c_str());
        STRCMP_CONTAINS("overloaded", text.c_str());
    }
    const auto document = nlohmann::json::parse(renderBurnJson(report));
    CHECK(!document.at("complete").get<bool>());
    LONGS_EQUAL(15, document.at("routes").at(0).at("bad").get<int>());
    const std::string page = renderBurnHtml(report);
    CHECK(page.find("src=") == std::string::npos && page.find("href=") == std::string::npos);
    CHECK(page.find("nan") == std::string::npos && page.find("inf") == std::string::npos);
    CHECK(!renderBurnHtml(makeBurnReport({})).empty());
}
