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

TEST(RouteTable, findsPrefixesOfAnyDepth)
{
    TrafficConfig config;
    config.hosts.push_back(
        {"h", {route("deep", "/a/b/c/", {}), route("middle", "/a/", {}), route("again", "/a/", {})}});
    config.hosts.push_back({"h", {route("further", "/b/", {})}});
    const RouteTable table(std::move(config));
    STRCMP_EQUAL("deep", table.find("h", "/a/b/c/")->name.value.c_str());
    STRCMP_EQUAL("deep", table.find("h", "/a/b/c/d/e")->name.value.c_str());
    STRCMP_EQUAL("middle", table.find("h", "/a/b/c")->name.value.c_str());
    STRCMP_EQUAL("middle", table.find("h", "/a//b/")->name.value.c_str());
    STRCMP_EQUAL("further", table.find("h", "/b/")->name.value.c_str());
    POINTERS_EQUAL(nullptr, table.find("h", "/a"));
    POINTERS_EQUAL(nullptr, table.find("h", "/"));
    POINTERS_EQUAL(nullptr, table.find("h", ""));
    POINTERS_EQUAL(nullptr, table.find("h", "*"));
}

TEST(RouteTable, keysIdentifyTheirWorkspace)
{
    const RouteTable table = sampleTable();
    STRCMP_EQUAL("acme", table.workspaceOf("k2")->name.value.c_str());
    POINTERS_EQUAL(nullptr, table.workspaceOf("k"));
    POINTERS_EQUAL(nullptr, table.workspaceOf(""));
}

TEST(RouteTable, splitMatchesTheWeightsInEveryHundredRequests)
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
