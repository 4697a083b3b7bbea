#include "rootadmission/callgraph.h"
#include "rootadmission/loadshedder.h"
#include "rootadmission/rootadmissionplan.h"
#include "rootadmission/workspaceratelimiter.h"

#include <deque>
#include <functional>
#include <numeric>
#include <queue>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);
const RouteName Lookup("lookup");
const RouteName Issue("issue");
const RouteName File("file");
const RouteName Audit("audit");
const RouteName Check("check");
const ServiceName Archive("archive");

double callsPerRequest(const std::vector<CallEdge> &edges, const RouteName &caller, const RouteName &callee)
{
    for (const CallEdge &item : edges) {
        if (item.caller == caller && item.callee == callee) {
            return item.callsPerRequest;
        }
    }
    return 0;
}

RootRoute rootRoute(const RouteName &route, int rank, double perSecond, double archiveSeconds)
{
    RootRoute result{.route = route, .rank = rank, .offeredPerSecond = perSecond, .slotSeconds = {}};
    if (archiveSeconds > 0) {
        result.slotSeconds[Archive] = archiveSeconds;
    }
    return result;
}

NodeReport reportOf(const std::string &node, const ServiceName &service)
{
    NodeReport report;
    report.node = NodeName(node);
    report.service = service;
    return report;
}

double neededSlots(const std::vector<RootRoute> &routes, const std::map<RouteName, double> &shares)
{
    double sum = 0;
    for (const RootRoute &route : routes) {
        const auto cost = route.slotSeconds.find(Archive);
        sum += cost == route.slotSeconds.end() ? 0 : cost->second * route.offeredPerSecond * shares.at(route.route);
    }
    return sum;
}

} // namespace

TEST_GROUP(CallGraph){};

// The operator's list of routes may be long; each route that was used once must not be kept for ever.
TEST(CallGraph, forgetsRoutesThatAreNoLongerUsed)
{
    CallGraph graph;
    TimePoint now = Start;
    for (int index = 0; index < 2000; ++index) {
        const RouteName route("route-" + std::to_string(index));
        graph.begin(route, now);
        graph.end(route, now + 10ms);
        now += 100ms;
    }
    CHECK(graph.callers() < 600);
    graph.begin(RouteName("running"), now);
    now += 300s;
    graph.begin(Lookup, now);
    LONGS_EQUAL(2, graph.callers());
}

TEST(CallGraph, attributesCallsToTheRightOneOfTwoOverlappingRoutes)
{
    // Two routes share an instance and always overlap: each lookup makes two calls, file makes none.
    struct Event {
        Duration at;
        int kind; // 0 begin, 1 end, 2 call
        RouteName route;
        bool operator<(const Event &other) const
        {
            return at > other.at;
        }
    };
    SeededRandom random(7);
    std::priority_queue<Event> events;
    for (int i = 0; i < 3000; ++i) {
        const RouteName route = i % 2 == 0 ? Lookup : File;
        const Duration at = std::chrono::microseconds(random.below(20'000'000));
        const Duration work = std::chrono::microseconds(40'000 + random.below(80'000));
        events.push({at, 0, route});
        events.push({at + work, 1, route});
        for (int call = 0; call < (route == Lookup ? 2 : 0); ++call) {
            events.push({at + work / 3, 2, Check});
        }
    }
    CallGraph graph;
    while (!events.empty()) {
        const Event event = events.top();
        events.pop();
        const TimePoint now = Start + event.at;
        event.kind == 0       ? graph.begin(event.route, now)
            : event.kind == 1 ? graph.end(event.route, now)
                              : graph.recordCall(event.route, now);
    }
    CHECK(callsPerRequest(graph.edges(), Lookup, Check) > 1.6);
    CHECK(callsPerRequest(graph.edges(), Lookup, Check) < 2.4);
    CHECK(callsPerRequest(graph.edges(), File, Check) < 0.4);
}

TEST_GROUP(RequestCost){};

TEST(RequestCost, includesInnerCalls)
{
    RequestCost cost;
    cost.setRoute(Lookup, {{ServiceName("desk"), 1.0}});
    cost.setRoute(Check, {{ServiceName("house"), 1.0}});
    cost.setRoute(Audit, {{Archive, 1.0}});
    NodeReport desk = reportOf("d", ServiceName("desk"));
    desk.loads = {{Lookup, 0, 0.09}};
    desk.edges = {{Lookup, Check, 2}};
    NodeReport house = reportOf("h", ServiceName("house"));
    house.loads = {{Check, 0, 0.015}};
    house.edges = {{Check, Audit, 4}};
    NodeReport archive = reportOf("a", Archive);
    archive.loads = {{Audit, 0, 0.022}};
    for (const NodeReport &report : {desk, house, archive}) {
        cost.addReport(report);
    }
    const auto seconds = cost.slotSeconds(Lookup);
    DOUBLES_EQUAL(0.09, seconds.at(ServiceName("desk")), 1e-9);
    DOUBLES_EQUAL(0.03, seconds.at(ServiceName("house")), 1e-9);
    DOUBLES_EQUAL(0.176, seconds.at(Archive), 1e-9);
}

TEST(RequestCost, callCyclesTerminate)
{
    RequestCost cost;
    cost.setRoute(Lookup, {{Archive, 1.0}});
    NodeReport report = reportOf("a", Archive);
    report.loads = {{Lookup, 0, 0.01}};
    report.edges = {{Lookup, Lookup, 0.5}};
    cost.addReport(report);
    DOUBLES_EQUAL(0.02, cost.slotSeconds(Lookup).at(Archive), 1e-6);
}

/// A load surge on a service deep in the call tree: all routes except one need the archive, which has 204 slots.
TEST_GROUP(RootAdmissionPlan)
{
    std::map<ServiceName, double> slots{{Archive, 204}};
    RootAdmissionPlanSettings settings;

    static std::vector<RootRoute> surge(double times)
    {
        return {rootRoute(Lookup, 2, 406 * times, 0.176),
                rootRoute(Issue, 0, 151 * times, 0.176),
                rootRoute(File, 0, 141 * times, 0),
                rootRoute(Audit, 2, 113 * times, 0.36)};
    }
};

TEST(RootAdmissionPlan, admitsEverythingWithinCapacity)
{
    for (const auto &[route, share] : planRootAdmission(surge(1), slots, settings).shares) {
        DOUBLES_EQUAL(1.0, share, 1e-9);
    }
}

TEST(RootAdmissionPlan, surgeIsLimitedToTheCapacityOfTheDeepService)
{
    const auto routes = surge(2.3);
    const auto shares = planRootAdmission(routes, slots, settings).shares;
    CHECK(neededSlots(routes, shares) <= 204 * settings.usableShare + 1e-6);
    CHECK(neededSlots(routes, shares) >= 204 * settings.usableShare * 0.99);
    DOUBLES_EQUAL(1.0, shares.at(Issue), 1e-9);
    DOUBLES_EQUAL(1.0, shares.at(File), 1e-9);
    // At equal rank, the route that needs fewer slots of the archive comes first, so that more requests succeed.
    CHECK(shares.at(Lookup) > shares.at(Audit));
    CHECK(shares.at(Audit) >= settings.minShare);
}

TEST(RootAdmissionPlan, noRouteStarvesBehindMoreImportantOnes)
{
    const auto shares = planRootAdmission(surge(4.5), slots, settings).shares;
    CHECK(shares.at(Audit) > 0.1);
    CHECK(shares.at(Issue) > shares.at(Lookup));
}

TEST(RequestCost, throughputsOfUnequalInstancesAddUp)
{
    RequestCost cost;
    cost.setRoute(Audit, {{Archive, 1.0}});
    for (const double work : {0.72, 0.36, 0.36, 0.24}) { // Speeds 0.5, 1, 1 and 1.5.
        NodeReport report = reportOf("a", Archive);
        report.loads = {{Audit, 0, work}};
        cost.addReport(report);
    }
    DOUBLES_EQUAL(0.36, cost.slotSeconds(Audit).at(Archive), 1e-9);
}

/// The planned capacity is wrong: requests are refused although the archive has idle slots, or too many are admitted
/// and queue there.
TEST_GROUP(CapacityCorrection)
{
    CapacityCorrection correction;

    void rounds(int count, int running, int queued, const std::vector<ServiceName> &saturated)
    {
        NodeReport report = reportOf("a", Archive);
        report.slots = 48;
        report.running = running;
        report.queued = queued;
        for (int i = 0; i < count; ++i) {
            correction.update({report}, saturated);
        }
    }
};

TEST(CapacityCorrection, idleSlotsDuringRefusalsRaiseTheFactor)
{
    rounds(20, 30, 0, {Archive});
    CHECK(correction.factor(Archive) > 1.5);
    rounds(400, 30, 0, {Archive});
    CHECK(correction.factor(Archive) <= 2.5);
}

TEST(CapacityCorrection, aQueueLowersTheFactorUntilItIsGone)
{
    rounds(20, 48, 40, {});
    CHECK(correction.factor(Archive) < 0.6);
    rounds(40, 20, 0, {});
    DOUBLES_EQUAL(1.0, correction.factor(Archive), 1e-9);
}

TEST(CapacityCorrection, idleSlotsWithoutRefusalsKeepTheFactor)
{
    rounds(50, 10, 0, {});
    DOUBLES_EQUAL(1.0, correction.factor(Archive), 1e-9);
    DOUBLES_EQUAL(1.0, correction.factor(ServiceName("unknown")), 1e-9);
}

TEST_GROUP(LoadShedder){};

TEST(LoadShedder, admitsTheSameShareOfEachWorkspace)
{
    LoadShedder shedder;
    shedder.setShares({{Lookup, 0.3}});
    int small = 0;
    int large = 0;
    for (int i = 0; i < 1000; ++i) {
        large += shedder.admit(Lookup, WorkspaceName("large")) ? 1 : 0;
        small += i % 10 == 0 && shedder.admit(Lookup, WorkspaceName("small")) ? 1 : 0;
    }
    LONGS_EQUAL(300, large);
    LONGS_EQUAL(30, small);
    CHECK(shedder.admit(File, WorkspaceName("large")));
}

TEST(LoadShedder, retriesAreSpreadAndCanStillMeetTheTargetLatency)
{
    // In a lasting surge, a refused request should be answered within 1.2 s of its first attempt; its work takes 0.5 s.
    SeededRandom random(1);
    Duration least = 10s;
    Duration most{0};
    for (int i = 0; i < 200; ++i) {
        const Duration wait = retryAfter({.timeLeft = 5s, .targetLatency = 1200ms}, random);
        least = std::min(least, wait);
        most = std::max(most, wait);
    }
    CHECK(most <= 700ms);
    CHECK(most - least >= 300ms);
}

TEST(LoadShedder, retriesWaitForExpectedCapacityButStayWithinTheTimeLeft)
{
    SeededRandom random(1);
    for (int i = 0; i < 100; ++i) {
        const Duration late = retryAfter({.timeLeft = 5s, .targetLatency = 1200ms, .expectedWait = 1s}, random);
        CHECK(late >= 1s);
        CHECK(late <= 1500ms);
        CHECK(retryAfter({.timeLeft = 600ms, .targetLatency = 1200ms, .expectedWait = 1s}, random) <= 200ms);
        CHECK(retryAfter({.timeLeft = 900ms, .targetLatency = {}, .expectedWait = {}}, random) <= 300ms);
    }
}
