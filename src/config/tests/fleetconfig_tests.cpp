#include "base/random.h"
#include "config/fleetconfig.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace vanillatack;

namespace {

const std::string Base = "[zone a]\nregion = r\n[service desk]\n"
                         "[route certs]\nmethod = GET\npath = /certs\nservice = desk\nclass = critical\n"
                         "[workspace north]\nrate = 10\nburst = 20\n";

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(EXAMPLES_DIR "/") + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

FleetConfig parseValid(const std::string &text)
{
    const ConfigParseResult parse = parseFleetConfig(text, "fleet.ini");
    for (const TextProblem &problem : parse.problems) {
        FAIL(problem.text().c_str());
    }
    return *parse.config;
}

// Returns the text of the only problem.
std::string problemOf(const std::string &text)
{
    const ConfigParseResult parse = parseFleetConfig(text, "fleet.ini");
    LONGS_EQUAL(1, parse.problems.size());
    CHECK(!parse.config);
    return parse.problems[0].text();
}

std::string exceptionFor(const std::string &target, const std::string &setting, const std::string &value)
{
    return "[exception e1]\ntarget = " + target + "\nsetting = " + setting + "\nvalue = " + value + "\nreason = why\n";
}

} // namespace

TEST_GROUP(FleetConfig){};

// Guards against example configurations that fail to load.
TEST(FleetConfig, examplesAreValid)
{
    const FleetConfig cascadia = parseValid(readExample("cascadia.ini"));
    LONGS_EQUAL(3, cascadia.zones.size());
    LONGS_EQUAL(8, cascadia.workspaces.size());
    LONGS_EQUAL(160, cascadia.workspaces.at(WorkspaceName("mill-district")).ratePerSecond);
    CHECK(!cascadia.findRoute("POST", "/filings/7")->idempotent);
    const FleetConfig virtanen = parseValid(readExample("virtanen.ini"));
    LONGS_EQUAL(8, virtanen.workspaces.size());
    CHECK(virtanen.findRoute("POST", "/sales")->priority == PriorityClass::Critical);
}

// Guards against reading that stops at the first error, so that operators fix one error per attempt.
TEST(FleetConfig, allProblemsAreReportedTogether)
{
    const ConfigParseResult parse =
        parseFleetConfig("[defaults]\ndeadline = soon\n"
                         "[zone A_1]\nregion = r\ntypo = 1\n"
                         "[route x]\nmethod = get\npath = certs\nservice = nowhere\nclass = vip\n"
                         "[workspace w]\nrate = 0\n"
                         "[exception e]\ntarget = route none\nsetting = class\nvalue = critical\n"
                         "[nonsense]\n",
                         "fleet.ini");
    std::vector<int> lines;
    for (const TextProblem &problem : parse.problems) {
        lines.push_back(problem.line);
        CHECK(!problem.remedy.empty());
    }
    const std::vector<int> expected = {2, 3, 5, 7, 8, 9, 10, 11, 12, 13, 17};
    CHECK(lines == expected);
}

// Guards against a second section silently replacing the first, and against routing that depends on the order in the
// file.
TEST(FleetConfig, duplicatesAndAmbiguousRoutesAreErrors)
{
    STRCMP_EQUAL(
        "fleet.ini:12: [zone a] is a duplicate of the section at line 1. Remove or rename one of the sections.",
        problemOf(Base + "[zone a]\nregion = r\n").c_str());
    STRCMP_CONTAINS(
        "same method and path",
        problemOf(Base + "[route more]\nmethod = GET\npath = /certs\nservice = desk\nclass = critical\n").c_str());
    STRCMP_CONTAINS("No availability zone is configured", problemOf("[defaults]\n").c_str());
}

// Guards against exceptions without a reason and against exceptions that have no effect.
TEST(FleetConfig, exceptionsReplaceOneSettingAndNeedAReason)
{
    const FleetConfig config = parseValid(Base + exceptionFor("workspace north", "rate", "30"));
    LONGS_EQUAL(30, config.workspaces.at(WorkspaceName("north")).ratePerSecond);
    LONGS_EQUAL(1, config.exceptions.size());
    STRCMP_CONTAINS("fleet.ini:15: \"0\" is not a valid number for rate",
                    problemOf(Base + exceptionFor("workspace north", "rate", "0")).c_str());
    STRCMP_CONTAINS("no entry reason",
                    problemOf(Base + "[exception e]\ntarget = zone a\nsetting = quota_weight\nvalue = 2\n").c_str());
    STRCMP_CONTAINS("Section [route x] does not exist",
                    problemOf(Base + exceptionFor("route x", "class", "critical")).c_str());
    STRCMP_CONTAINS("cannot set \"path\"", problemOf(Base + exceptionFor("route certs", "path", "/c")).c_str());
    STRCMP_CONTAINS("Another exception sets rate",
                    problemOf(Base + exceptionFor("workspace north", "rate", "30")
                              + "[exception e2]\ntarget = workspace north\nsetting = rate\nvalue = 3\nreason = y\n")
                        .c_str());
}

// Guards against moving a zone's quota shares to the other zones without a recorded reason, and against a fleet whose
// zones are all stopped and that has no quota.
TEST(FleetConfig, zonesAreStoppedByExceptionOnly)
{
    const std::string second = Base + "[zone b]\nregion = r\n";
    CHECK(parseValid(second + exceptionFor("zone b", "stopped", "yes")).zones.at(ZoneName("b")).stopped);
    STRCMP_CONTAINS("only be set by an exception", problemOf(second + "stopped = yes\n").c_str());
    STRCMP_CONTAINS("All availability zones are stopped",
                    problemOf(Base + exceptionFor("zone a", "stopped", "yes")).c_str());
}

// Guards against requests reaching a service through the prefix of another route (docs/design.md, R3).
TEST(FleetConfig, pathsThatUpstreamsMayNormalizeMatchNoRoute)
{
    const FleetConfig config =
        parseValid(Base + "[route rest]\nmethod = *\npath = /\nservice = desk\nclass = background\nopen = yes\n");
    STRCMP_EQUAL("certs", config.findRoute("GET", "/certs/7?full=1")->name.value.c_str());
    STRCMP_EQUAL("certs", config.findRoute("GET", "/%63erts")->name.value.c_str());
    STRCMP_EQUAL("rest", config.findRoute("GET", "/certs-old")->name.value.c_str());
    STRCMP_EQUAL("rest", config.findRoute("POST", "/certs")->name.value.c_str());
    for (const char *path :
         {"/x/../certs", "/x/%2e%2E/certs", "//certs", "/x%2f..%2fcerts", "/x\\certs", "/%", "", "x"}) {
        POINTERS_EQUAL(nullptr, config.findRoute("GET", path));
    }
}

// Guards against wrong prefix matching. Of the routes whose prefix matches whole segments at the start of the path, the
// longest applies, and a specific method takes precedence over "*".
TEST(FleetConfig, findRouteAgreesWithNaiveSearch)
{
    SeededRandom random(7);
    const std::vector<std::string> paths = {"/", "/a", "/a/b", "/a/b/", "/ab", "/a/bc", "/b", "/a/b/c", "/b/"};
    const std::vector<std::string> methods = {"*", "GET", "POST"};
    for (int round = 0; round < 500; ++round) {
        FleetConfig config;
        for (int i = 0; i < 6; ++i) {
            RouteConfig route;
            route.method = methods[random.below(3)];
            route.pathPrefix = paths[random.below(paths.size())];
            route.name = RouteName(route.method + route.pathPrefix);
            config.routes[route.name] = route;
        }
        const std::string &path = paths[random.below(paths.size())];
        std::string expected;
        for (std::string prefix = path; expected.empty() && !prefix.empty(); prefix.pop_back()) {
            const bool whole = prefix == path || prefix.back() == '/' || path[prefix.size()] == '/';
            for (const char *method : {"GET", "*"}) {
                if (whole && expected.empty() && config.routes.contains(RouteName(method + prefix))) {
                    expected = method + prefix;
                }
            }
        }
        const RouteConfig *found = config.findRoute("GET", path);
        STRCMP_EQUAL(expected.c_str(), found ? found->name.value.c_str() : "");
    }
}

// Guards against a change that is missing from the difference that an operator confirms.
TEST(FleetConfig, differenceListsAllChanges)
{
    const FleetConfig before = parseValid(Base);
    const FleetConfig after = parseValid("[defaults]\ndeadline = 2s\n[zone a]\nregion = r\n[service desk]\n"
                                         "[route certs]\nmethod = GET\npath = /certs\nservice = desk\nclass = "
                                         "critical\ndeadline = 1500ms\n[workspace south]\nrate = 1\nburst = 1\n");
    const std::vector<std::string> expected = {
        "defaults: deadline 5s -> 2s",
        "route certs: deadline (default) -> 1500ms",
        "workspace north: removed (rate 10, burst 20, weight 1)",
        "workspace south: added (rate 1, burst 1, weight 1)",
    };
    CHECK(describeDifference(before, after) == expected);
    CHECK(describeDifference(after, after).empty());
    LONGS_EQUAL(1500, after.deadlineOf(*after.findRoute("GET", "/certs")) / std::chrono::milliseconds(1));
}
