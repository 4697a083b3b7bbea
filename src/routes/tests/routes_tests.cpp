#include "routes/configfreshness.h"
#include "routes/routetable.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

TrafficRoute route(const std::string &name, const std::string &prefix, std::vector<WeightedService> services)
{
    TrafficRoute result;
    result.name = RouteName(name);
    result.prefix = prefix;
    result.services = std::move(services);
    return result;
}

RouteTable sampleTable()
{
    TrafficConfig config;
    config.version = 3;
    config.hosts.push_back({"shop.example",
                            {route("all", "/", {{ServiceName("web"), 1}}),
                             route("parts", "/parts/", {{ServiceName("osat"), 1}}),
                             route("split", "/split/", {{ServiceName("a"), 90}, {ServiceName("b"), 10}})}});
    config.workspaces.push_back({.name = WorkspaceName("acme"), .keys = {"k1", "k2"}, .rank = 1});
    return RouteTable(std::move(config));
}

} // namespace

TEST_GROUP(RouteTable){};

TEST(RouteTable, longestPrefixOfTheHostWins)
{
    const RouteTable table = sampleTable();
    STRCMP_EQUAL("parts", table.find("shop.example", "/parts/7?x=/split/")->name.value.c_str());
    STRCMP_EQUAL("all", table.find("SHOP.example:8080", "/part/7")->name.value.c_str());
    POINTERS_EQUAL(nullptr, table.find("other.example", "/parts/7"));
    POINTERS_EQUAL(nullptr, table.find("", "/parts/7"));
}

TEST(RouteTable, keysNameTheirWorkspace)
{
    const RouteTable table = sampleTable();
    STRCMP_EQUAL("acme", table.workspaceOf("k2")->name.value.c_str());
    POINTERS_EQUAL(nullptr, table.workspaceOf("k"));
    POINTERS_EQUAL(nullptr, table.workspaceOf(""));
}

TEST(RouteTable, splitFollowsItsWeightsInEveryHundredRequests)
{
    RouteTable table = sampleTable();
    const TrafficRoute &split = *table.find("shop.example", "/split/");
    for (int round = 0; round < 5; ++round) {
        int second = 0;
        for (int i = 0; i < 100; ++i) {
            second += table.nextService(split) == ServiceName("b") ? 1 : 0;
        }
        LONGS_EQUAL(10, second);
    }
}

TEST_GROUP(ConfigFreshness){};

TEST(ConfigFreshness, isUnknownBeforeTheFirstAnswer)
{
    CHECK(!ConfigFreshness().age(5s));
}

TEST(ConfigFreshness, anAnswerThatWaitedConfirmsWhenItWasMade)
{
    ConfigFreshness freshness;
    freshness.confirm(100s, 10s, 10s + 4ms); // Offset known to 4 ms.
    freshness.confirm(102s, 10s + 4ms, 12s + 500ms); // Made at 12 s, half a second under way.
    CHECK(*freshness.age(13s) >= 1s);
    CHECK(*freshness.age(13s) <= 1s + 5ms);
}

TEST(ConfigFreshness, aPauseCountsInFull)
{
    ConfigFreshness freshness;
    freshness.confirm(100s, 10s, 10s + 4ms);
    // The answer lay in the socket while the VM was suspended for 8 s.
    freshness.confirm(101s, 10s + 10ms, 19s);
    CHECK(*freshness.age(19s) >= 7900ms);
}

TEST(ConfigFreshness, aStoreWithANewClockStartsAnew)
{
    ConfigFreshness freshness;
    freshness.confirm(1000s, 10s, 10s + 4ms);
    freshness.confirm(3s, 20s, 20s + 4ms);
    CHECK(*freshness.age(20s + 4ms) <= 4ms);
    freshness.confirm(2000s, 30s, 30s + 4ms);
    CHECK(*freshness.age(30s + 4ms) <= 4ms);
}
