#include "routing/routingsetup.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <queue>

using namespace vanillatack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName Service("archive");

Member member(const std::string &node, const std::string &zone = "zone-a", MemberState state = MemberState::Alive)
{
    Member result;
    result.node = NodeName(node);
    result.zone = ZoneName(zone);
    result.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + std::hash<std::string>{}(node) % 50000)};
    result.service = Service;
    result.slots = 40;
    result.incarnation = 100;
    result.state = state;
    return result;
}

std::vector<Member> instances(int count, const std::string &zone = "zone-a")
{
    std::vector<Member> result;
    for (int index = 0; index < count; ++index) {
        result.push_back(member(zone + "-" + std::to_string(index), zone));
    }
    return result;
}

/// Chooses all instances in turn, regardless of outcomes.
class RoundRobin final : public IRouter
{
public:
    void setInstances(const ServiceName & /*service*/, const std::vector<Member> &members) override
    {
        m_members = members;
    }
    Result<RoutingChoice> choose(const ServiceName & /*service*/, const std::set<NodeName> & /*excluded*/) override
    {
        const Member &next = m_members[m_next++ % m_members.size()];
        return RoutingChoice{next.node, next.endpoint, next.zone};
    }
    void finish(const ServiceName &, const NodeName &, AttemptOutcome, Duration) override
    {
    }
    void recordLevels(const RouteName &, const std::vector<ServiceLevel> &) override
    {
    }
    bool refusesEarly(const RouteName &, PriorityClass) override
    {
        return false;
    }
    [[nodiscard]] std::vector<InstanceStatus> instances(const ServiceName &) const override
    {
        return {};
    }

private:
    std::vector<Member> m_members;
    std::size_t m_next = 0;
};

enum class GrayFailure {
    None,
    FailsFast,
    Slow,
    Unresponsive,
};

/// Simulates requests at a constant rate to several instances, one of which may be faulty.
struct Model {
    ManualClock clock;
    SeededRandom random;
    int good = 0;
    int total = 0;
    int atGray = 0;
    Duration slowest{0};

    explicit Model(std::uint64_t seed)
        : random(seed)
    {
    }

    void run(IRouter &router, GrayFailure gray, const NodeName &grayNode, Duration duration, int requestsPerMs)
    {
        struct Running {
            TimePoint end;
            TimePoint start;
            NodeName node;
            AttemptOutcome outcome;
        };
        const auto later = [](const Running &left, const Running &right) {
            return left.end > right.end;
        };
        std::priority_queue<Running, std::vector<Running>, decltype(later)> running(later);
        for (const TimePoint end = clock.now() + duration; clock.now() < end; clock.advance(milliseconds(1))) {
            for (; !running.empty() && running.top().end <= clock.now(); running.pop()) {
                const Running &done = running.top();
                router.finish(Service, done.node, done.outcome, done.end - done.start);
                good += done.outcome == AttemptOutcome::Answered ? 1 : 0;
                slowest = std::max(slowest, done.end - done.start);
            }
            for (int request = 0; request < requestsPerMs; ++request) {
                const auto choice = router.choose(Service, {});
                ++total;
                Running started{clock.now() + milliseconds(5 + random.below(10)),
                                clock.now(),
                                choice.value().node,
                                AttemptOutcome::Answered};
                if (started.node == grayNode && gray != GrayFailure::None) {
                    ++atGray;
                    applyFault(started.end, started.outcome, gray);
                }
                running.push(started);
            }
        }
        for (; !running.empty(); running.pop()) {
            router.finish(Service, running.top().node, running.top().outcome, milliseconds(10));
        }
    }

    void applyFault(TimePoint &end, AttemptOutcome &outcome, GrayFailure gray)
    {
        if (gray == GrayFailure::FailsFast) {
            end = clock.now() + milliseconds(1);
            outcome = AttemptOutcome::UpstreamError;
        } else if (gray == GrayFailure::Slow) {
            end = clock.now() + milliseconds(200);
        } else {
            end = clock.now() + seconds(2);
            outcome = AttemptOutcome::Broken;
        }
    }
};

} // namespace

TEST_GROUP(Routing)
{
    ManualClock clock;
    SeededRandom random{3};
    RoutingSettings settings{NodeName("caller"), ZoneName("zone-a")};
    std::unique_ptr<IRouter> router = makeRouter(clock, random, settings);

    std::map<std::string, int> chooseMany(int count, AttemptOutcome outcome = AttemptOutcome::Answered)
    {
        std::map<std::string, int> chosen;
        for (int index = 0; index < count; ++index) {
            const NodeName node = router->choose(Service, {}).value().node;
            ++chosen[node.value];
            clock.advance(milliseconds(1));
            router->finish(Service, node, outcome, milliseconds(5));
        }
        return chosen;
    }
};

// Guards against gray failures that attract traffic: an instance that fails fast, is slow, or is unresponsive until the
// timeout. Round robin sends a quarter of all requests there.
TEST(Routing, grayInstanceGetsFarLessThanByRoundRobin)
{
    for (const GrayFailure gray : {GrayFailure::FailsFast, GrayFailure::Slow, GrayFailure::Unresponsive}) {
        for (const int requestsPerMs : {1, 5}) {
            Model tested(11);
            Model baseline(11);
            SeededRandom routerRandom(5);
            const auto weighted = makeRouter(tested.clock, routerRandom, settings);
            RoundRobin roundRobin;
            weighted->setInstances(Service, instances(4));
            roundRobin.setInstances(Service, instances(4));
            tested.run(*weighted, gray, NodeName("zone-a-2"), seconds(20), requestsPerMs);
            baseline.run(roundRobin, gray, NodeName("zone-a-2"), seconds(20), requestsPerMs);
            CHECK_TRUE(baseline.atGray * 100 >= baseline.total * 24);
            CHECK_TRUE(tested.atGray * 100 <= tested.total * 3);
            CHECK_TRUE(gray == GrayFailure::Slow || tested.good > baseline.good);
        }
    }
}

// Guards against an instance that is still avoided after it has recovered.
TEST(Routing, recoveredInstanceGetsItsShareAgain)
{
    for (const GrayFailure gray : {GrayFailure::FailsFast, GrayFailure::Slow, GrayFailure::Unresponsive}) {
        Model model(12);
        SeededRandom routerRandom(6);
        const auto weighted = makeRouter(model.clock, routerRandom, settings);
        weighted->setInstances(Service, instances(4));
        model.run(*weighted, gray, NodeName("zone-a-2"), seconds(10), 2);
        model.run(*weighted, GrayFailure::None, {}, seconds(60), 2);
        model.total = 0;
        model.atGray = 0;
        // Counts the requests sent to the instance, which now has the same outcomes as the others.
        for (int index = 0; index < 4000; ++index) {
            const NodeName node = weighted->choose(Service, {}).value().node;
            model.atGray += node.value == "zone-a-2" ? 1 : 0;
            weighted->finish(Service, node, AttemptOutcome::Answered, milliseconds(10));
            model.clock.advance(milliseconds(1));
        }
        CHECK_TRUE(model.atGray > 700 && model.atGray < 1300);
    }
}

// Guards against a number of connections that grows with the fleet, and against the replacement of many peers when one
// instance is removed.
TEST(Routing, peersAreLimitedEvenlySpreadAndStable)
{
    std::map<std::string, int> users;
    for (int caller = 0; caller < 200; ++caller) {
        settings.node = NodeName("caller-" + std::to_string(caller));
        router = makeRouter(clock, random, settings);
        router->setInstances(Service, instances(60));
        const auto before = chooseMany(300);
        CHECK_TRUE(before.size() <= 12);
        auto fewer = instances(60);
        fewer.erase(fewer.begin() + 7);
        router->setInstances(Service, fewer);
        int replaced = 0;
        for (const auto &[node, count] : chooseMany(300)) {
            replaced += before.contains(node) ? 0 : 1;
            ++users[node];
        }
        CHECK_TRUE(replaced <= 1);
    }
    for (const auto &[node, count] : users) {
        CHECK_TRUE(count > 15 && count < 75); // 40 on average.
    }
}

// Guards against new requests to an instance that is draining, known from membership or from its own refusal, and
// against an instance that never gets requests again after it was draining. See docs/design.md, R10.
TEST(Routing, drainingInstanceGetsNoNewRequests)
{
    auto members = instances(3);
    router->setInstances(Service, members);
    clock.advance(seconds(10));
    const NodeName node = router->choose(Service, {}).value().node;
    router->finish(Service, node, AttemptOutcome::RefusedDraining, milliseconds(1));
    CHECK_FALSE(chooseMany(500).contains(node.value));
    router->setInstances(Service, members);
    CHECK_FALSE(chooseMany(500).contains(node.value));
    for (Member &each : members) {
        each.state = each.node == node ? MemberState::Draining : MemberState::Alive;
        each.incarnation += each.node == node ? 1 : 0;
    }
    router->setInstances(Service, members);
    CHECK_FALSE(chooseMany(500).contains(node.value));
    for (Member &each : members) {
        each.state = MemberState::Alive;
        each.incarnation += 1;
    }
    router->setInstances(Service, members);
    CHECK_TRUE(chooseMany(500).contains(node.value));
}

// Guards against requests that leave the own zone while it has capacity, and against a zone without enough capacity
// that keeps them.
TEST(Routing, spillsOverInProportionToTheMissingCapacityOfTheOwnZone)
{
    auto members = instances(2);
    for (const Member &other : instances(3, "zone-b")) {
        members.push_back(other);
    }
    router->setInstances(Service, members);
    clock.advance(seconds(10));
    const auto outside = [&](AttemptOutcome own, AttemptOutcome other) {
        int count = 0;
        for (int index = 0; index < 2000; ++index) {
            const RoutingChoice choice = router->choose(Service, {}).value();
            const bool spilled = choice.zone.value == "zone-b";
            count += spilled ? 1 : 0;
            clock.advance(milliseconds(1));
            router->finish(Service, choice.node, spilled ? other : own, milliseconds(5));
        }
        return count;
    };
    using enum AttemptOutcome;
    LONGS_EQUAL(0, outside(Answered, Answered));
    CHECK_TRUE(outside(Refused, Answered) > 1000);
    CHECK_TRUE(outside(Refused, Refused) < 1000); // Both zones lack capacity: most requests stay.
    clock.advance(seconds(5));
    CHECK_TRUE(outside(Answered, Answered) < 20);
    CHECK_TRUE(outside(ConnectFailed, Answered) > 1900);
    router->setInstances(Service, instances(3, "zone-b"));
    LONGS_EQUAL(2000, outside(Answered, Answered));
}

// Guards against the ejection of all instances when all fail, and against an error while an instance is available.
TEST(Routing, atMostHalfIsEjectedAndExclusionsAreHonoured)
{
    router->setInstances(Service, instances(4));
    for (const AttemptOutcome outcome : {AttemptOutcome::Broken, AttemptOutcome::ConnectFailed}) {
        chooseMany(400, outcome);
        int ejected = 0;
        for (const InstanceStatus &status : router->instances(Service)) {
            ejected += status.ejected ? 1 : 0;
            LONGS_EQUAL(0, status.inFlight);
        }
        CHECK_TRUE(ejected <= 2);
    }
    std::set<NodeName> excluded;
    for (int attempt = 0; attempt < 4; ++attempt) {
        CHECK_TRUE(excluded.insert(router->choose(Service, excluded).value().node).second);
    }
    const auto none = router->choose(Service, excluded);
    CHECK_TRUE(none.has_error() && none.error().kind == ErrorKind::NotFound);
}

// Guards against a cold instance that gets a full share of the requests at once.
TEST(Routing, newInstanceStartsSlowly)
{
    router->setInstances(Service, instances(3));
    clock.advance(seconds(10));
    router->setInstances(Service, instances(4));
    std::map<std::string, int> early;
    std::vector<NodeName> running;
    for (int index = 0; index < 400; ++index) {
        running.push_back(router->choose(Service, {}).value().node);
        ++early[running.back().value];
    }
    CHECK_TRUE(early["zone-a-3"] < 40);
    for (const NodeName &node : running) {
        router->finish(Service, node, AttemptOutcome::Answered, milliseconds(5));
    }
    clock.advance(seconds(5));
    CHECK_TRUE(chooseMany(1000)["zone-a-3"] > 180);
}

// Guards against wrong in-flight counts when instances are added, removed and added again during requests. The router
// also checks its own invariants.
TEST(Routing, inFlightCountsStayCorrectUnderRandomChurn)
{
    std::map<NodeName, int> inFlight;
    std::vector<NodeName> running;
    for (int step = 0; step < 50000; ++step) {
        clock.advance(milliseconds(random.below(20)));
        if (random.below(50) == 0) {
            std::vector<Member> members;
            for (int index = 0; index < 20; ++index) {
                if (random.below(3) != 0) {
                    members.push_back(member("node-" + std::to_string(index), index < 8 ? "zone-a" : "zone-b"));
                    members.back().state = static_cast<MemberState>(random.below(5));
                    members.back().incarnation += random.below(5);
                    members.back().cold = random.below(4) == 0;
                }
            }
            router->setInstances(Service, members);
        }
        if (random.below(2) == 0) {
            if (const auto choice = router->choose(Service, {}); choice.has_value()) {
                running.push_back(choice.value().node);
                ++inFlight[running.back()];
            }
        } else if (!running.empty()) {
            std::swap(running[random.below(running.size())], running.back());
            router->finish(Service, running.back(), static_cast<AttemptOutcome>(random.below(7)), milliseconds(5));
            --inFlight[running.back()];
            running.pop_back();
        }
        for (const InstanceStatus &status : router->instances(Service)) {
            LONGS_EQUAL(inFlight[status.member.node], status.inFlight);
        }
    }
}

TEST_GROUP(EarlyRefusal)
{
    ManualClock clock;
    SeededRandom random{4};
    std::unique_ptr<IRouter> router = makeRouter(clock, random, {NodeName("caller"), ZoneName("zone-a")});
    const RouteName route{"history"};

    void reply(PriorityClass lowest, int permille, bool withArchive = true)
    {
        std::vector<ServiceLevel> levels{{ServiceName("certdesk"), PriorityClass::Background, 1000}};
        if (withArchive) {
            levels.push_back({Service, lowest, permille});
        }
        router->recordLevels(route, levels);
    }

    int refused(PriorityClass priority, int count = 1000)
    {
        int refusals = 0;
        for (int index = 0; index < count; ++index) {
            refusals += router->refusesEarly(route, priority) ? 1 : 0;
        }
        return refusals;
    }
};

// Guards against processing requests that the bottleneck refuses later, and against refusing more important ones.
TEST(EarlyRefusal, refusesBelowTheLowestAdmittedClass)
{
    reply(PriorityClass::Deferrable, 300);
    LONGS_EQUAL(0, refused(PriorityClass::Critical));
    LONGS_EQUAL(0, refused(PriorityClass::Interactive));
    const int deferrable = refused(PriorityClass::Deferrable);
    CHECK_TRUE(deferrable > 600 && deferrable < 800);
    const int background = refused(PriorityClass::Background);
    CHECK_TRUE(background > 970 && background < 1000); // Some are let through as probes.
    CHECK_FALSE(router->refusesEarly(RouteName("other"), PriorityClass::Background));
}

// Guards against refusals after the overload has ended: levels expire, and a probe is let through before that.
TEST(EarlyRefusal, recoveryIsNoticedWithinAFractionOfASecond)
{
    reply(PriorityClass::Critical, 500);
    CHECK_TRUE(refused(PriorityClass::Interactive, 100) > 90);
    int steps = 0;
    for (; steps < 100 && refused(PriorityClass::Interactive, 1) > 0; ++steps) {
        clock.advance(milliseconds(10));
    }
    CHECK_TRUE(steps <= 15);
    for (int probe = 0; probe < 5; ++probe) {
        reply(PriorityClass::Background, 1000);
        clock.advance(milliseconds(60));
    }
    CHECK_TRUE(refused(PriorityClass::Interactive) < 100);
    reply(PriorityClass::Critical, 0);
    clock.advance(milliseconds(1001));
    LONGS_EQUAL(0, refused(PriorityClass::Background));
}

// Guards against refusing all requests of a route because of a service that few of them reach.
TEST(EarlyRefusal, servicesOffTheUsualPathAreIgnored)
{
    for (int index = 0; index < 200; ++index) {
        reply(PriorityClass::Critical, 0, index % 4 == 0);
        clock.advance(milliseconds(5));
    }
    LONGS_EQUAL(0, refused(PriorityClass::Interactive));
}
