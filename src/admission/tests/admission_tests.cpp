#include "admission/internal/admissionqueue.h"
#include "admission/internal/levelestimator.h"
#include "admission/tests/simulation.h"
#include "testing/testsettings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

constexpr UpstreamSettings Upstream{.slots = 100, .thrashing = 1};

/// Smallest ratio, over all streams, of the good share to the share that max-min fairness gives the stream.
double worstFairShareRatio(const Simulation &simulation, double perWorkspaceShare)
{
    double worst = 1;
    for (std::size_t i = 0; i < simulation.streams.size(); ++i) {
        const double fair = std::min(1.0, perWorkspaceShare / simulation.streams[i].perSecond);
        worst = std::min(worst, simulation.tallies[i].goodShare() / fair);
    }
    return worst;
}

} // namespace

TEST_GROUP(Admission){Simulation makeSimulation(bool naive){return Simulation(Upstream, testSeed(), naive);
}
}
;

// Guards against the shedding of important requests while less important ones run.
TEST(Admission, importantClassesAreShedLast)
{
    std::vector<double> critical;
    for (const bool naive : {false, true}) {
        Simulation simulation(Upstream, testSeed(), naive);
        const double capacity = simulation.capacity();
        simulation.addStream({.workspace = "a", .priority = PriorityClass::Critical, .perSecond = 0.5 * capacity});
        simulation.addStream({.workspace = "a", .priority = PriorityClass::Interactive, .perSecond = capacity});
        simulation.addStream({.workspace = "a", .priority = PriorityClass::Deferrable, .perSecond = capacity});
        simulation.addStream({.workspace = "a", .priority = PriorityClass::Background, .perSecond = 0.5 * capacity});
        simulation.run(1s);
        simulation.resetTallies();
        simulation.run(30s);
        critical.push_back(simulation.tallies[0].goodShare());
        if (!naive) {
            CHECK(simulation.tallies[0].goodShare() >= 0.999);
            CHECK(simulation.tallies[1].goodShare() >= 0.4);
            LONGS_EQUAL(0, simulation.tallies[3].good);
            CHECK(simulation.admission->level().lowestAdmitted == PriorityClass::Interactive);
            // Early refusal at egress must end within the recovery target of 2 s.
            for (Stream &stream : simulation.streams) {
                stream.perSecond /= 10;
            }
            simulation.run(2s);
            CHECK(simulation.admission->level() == ServiceLevel());
        }
    }
    report("critical success at 3x", critical[0], critical[1]);
}

// Guards against a workspace that exceeds its fair share at the expense of the others.
TEST(Admission, workspaceAtFiveTimesItsRateLosesFirst)
{
    for (const double load : {0.1, 0.3}) {
        std::vector<double> worst;
        for (const bool naive : {false, true}) {
            Simulation simulation(Upstream, testSeed(), naive);
            const double rate = load * simulation.capacity();
            for (int i = 0; i < 8; ++i) {
                simulation.addStream({.workspace = std::to_string(i), .perSecond = i == 0 ? 5 * rate : rate});
            }
            simulation.run(5s);
            simulation.resetTallies();
            const double served = simulation.run(20s);
            worst.push_back(worstFairShareRatio(simulation, std::max(served / 8, served - 7 * rate)));
        }
        report("worst workspace over its max-min share", worst[0], worst[1]);
        CHECK(worst[0] >= 0.95);
    }
}

// Guards against starvation of deferrable requests, and against background requests that delay others.
TEST(Admission, deferrableCompletesAndBackgroundWaits)
{
    Simulation simulation = makeSimulation(false);
    const double capacity = simulation.capacity();
    simulation.addStream({.workspace = "a", .perSecond = 1.5 * capacity});
    simulation.addStream({.workspace = "b", .priority = PriorityClass::Deferrable, .perSecond = 8, .deadline = 40s});
    simulation.addStream({.workspace = "c", .priority = PriorityClass::Background, .perSecond = capacity});
    simulation.run(1s);
    simulation.resetTallies();
    simulation.run(60s);
    LONGS_EQUAL(0, simulation.tallies[1].refused);
    CHECK(simulation.tallies[1].longestTime < 12s);
    LONGS_EQUAL(0, simulation.tallies[2].good);
    simulation.streams[0].perSecond = 0.1 * capacity;
    simulation.run(5s);
    simulation.resetTallies();
    simulation.run(10s);
    CHECK(simulation.tallies[2].good > 3 * capacity);
    LONGS_EQUAL(0, simulation.tallies[0].refused);
}

// Guards against the admission of requests that can no longer meet their deadline, and against a queue that admits only
// those.
TEST(Admission, overloadedQueueServesTheNewest)
{
    Simulation simulation = makeSimulation(false);
    simulation.addStream({.workspace = "a", .perSecond = 3 * simulation.capacity(), .deadline = 100ms});
    simulation.run(5s);
    simulation.resetTallies();
    const double share = simulation.run(10s) / simulation.capacity();
    report("goodput at 3x, deadline of five service times", share);
    CHECK(share >= 0.95);
}

// Guards against new requests at a draining node, and against double counting of finished requests.
TEST(Admission, drainingRefusesOffersAndFinishesTheRest)
{
    Simulation simulation = makeSimulation(false);
    simulation.addStream({.workspace = "a", .perSecond = 2 * simulation.capacity()});
    simulation.run(1s);
    simulation.admission->setDraining(true);
    simulation.resetTallies();
    simulation.run(1s);
    LONGS_EQUAL(simulation.tallies[0].offered, simulation.tallies[0].refused);
    CHECK(simulation.tallies[0].good > 0);
    LONGS_EQUAL(0, simulation.admission->snapshot().running);
    simulation.admission->finish(TicketId{1}, WorkOutcome::Succeeded, 1ms);
    simulation.admission->cancel(TicketId{1});
    LONGS_EQUAL(0, simulation.admission->snapshot().running);
}

// Makes random calls, checked by the invariants of Admission. Guards against tickets that the listener is notified of
// twice or never, and against faults when settings change while requests are queued.
TEST(Admission, everyTicketEndsOnce)
{
    struct Listener : IAdmissionListener {
        std::vector<std::uint64_t> queued;
        std::vector<std::uint64_t> running;

        void removeQueued(TicketId ticket)
        {
            const auto position = std::find(queued.begin(), queued.end(), ticket.value);
            CHECK(position != queued.end());
            queued.erase(position);
        }
        void onAdmitted(TicketId ticket) override
        {
            removeQueued(ticket);
            running.push_back(ticket.value);
        }
        void onRefused(TicketId ticket, RefusalKind /*refusal*/, Duration /*retryAfter*/) override
        {
            removeQueued(ticket);
        }
    } listener;
    ManualClock clock;
    SeededRandom random{testSeed()};
    AdmissionSettings settings;
    settings.queueLimit = 30;
    const auto admission = makeAdmission(clock, listener, settings);
    for (std::uint64_t step = 0; step < settingOr("VT_ROUNDS", 100) * 1000; ++step) {
        clock.advance(Duration(random.below(4'000'000)));
        const std::uint64_t action = random.below(1000);
        if (action < 500) {
            const auto decision = admission->offer({WorkspaceName(std::to_string(random.below(5))),
                                                    static_cast<PriorityClass>(random.below(4)),
                                                    random.below(2) == 0,
                                                    clock.now() + Duration(random.below(2'000'000'000))});
            if (decision.outcome == AdmissionOutcome::Admitted) {
                listener.running.push_back(decision.ticket.value);
            } else if (decision.outcome == AdmissionOutcome::Queued) {
                listener.queued.push_back(decision.ticket.value);
            }
        } else if (action < 900 && !listener.running.empty()) {
            std::swap(listener.running[random.below(listener.running.size())], listener.running.back());
            const TicketId ticket{listener.running.back()};
            listener.running.pop_back();
            admission->finish(ticket, static_cast<WorkOutcome>(random.below(4)), Duration(random.below(90'000'000)));
        } else if (action < 940 && !listener.queued.empty()) {
            admission->cancel(TicketId{listener.queued.back()});
            listener.queued.pop_back();
        } else if (action < 990) {
            admission->tick();
        } else if (action < 994) {
            settings.queueLimit = static_cast<int>(random.below(40));
            admission->configure(settings);
        } else if (action < 998) {
            admission->setDraining(action % 2 == 0);
        } else {
            admission->setAnnouncedSlots(static_cast<int>(random.below(60)));
            admission->startCold();
        }
        LONGS_EQUAL(listener.queued.size(), admission->snapshot().queued);
        LONGS_EQUAL(listener.running.size(), admission->snapshot().running);
    }
}

TEST_GROUP(AdmissionQueue)
{
    using Reference = std::map<std::uint64_t, QueuedRequest>;

    AdmissionQueue queue;
    Reference reference;
    SeededRandom random{testSeed()};

    static int laneOf(const QueuedRequest &entry)
    {
        return 2 * (static_cast<int>(entry.request.priority) - (entry.promoted ? 1 : 0))
            + (entry.request.innerCall ? 0 : 1);
    }

    static int worstLane(const Reference &entries)
    {
        int worst = 0;
        for (const auto &[ticket, entry] : entries) {
            worst = std::max(worst, laneOf(entry));
        }
        return worst;
    }

    /// Number of queued requests of the workspace in the lane.
    static int countQueued(const Reference &entries, int lane, const WorkspaceName &workspace)
    {
        return static_cast<int>(std::count_if(entries.begin(), entries.end(), [&](const auto &entry) {
            return laneOf(entry.second) == lane && entry.second.request.workspace.value == workspace.value;
        }));
    }

    void checkPopped(const QueuedRequest &popped)
    {
        for (const auto &[ticket, entry] : reference) {
            CHECK(laneOf(popped) <= laneOf(entry));
            const bool sameFlow = laneOf(popped) == laneOf(entry) && popped.promoted == entry.promoted
                && popped.request.workspace.value == entry.request.workspace.value;
            CHECK(!sameFlow || popped.ticket.value <= entry.ticket.value);
        }
        reference.erase(popped.ticket.value);
    }

    void checkVictim(const AdmissionRequest &arrival, std::optional<TicketId> victim)
    {
        const int arrivalLane = 2 * static_cast<int>(arrival.priority) + (arrival.innerCall ? 0 : 1);
        const int lane = std::max(arrivalLane, worstLane(reference));
        const int own = lane == arrivalLane ? countQueued(reference, lane, arrival.workspace) + 1 : 0;
        int most = 0;
        for (const auto &[ticket, entry] : reference) {
            most = std::max(most, countQueued(reference, lane, entry.request.workspace));
        }
        LONGS_EQUAL(most > own, victim.has_value());
        if (victim) {
            const QueuedRequest &entry = reference.at(victim->value);
            LONGS_EQUAL(lane, laneOf(entry));
            LONGS_EQUAL(most, countQueued(reference, lane, entry.request.workspace));
        }
    }
};

// Compares random operations with a scan over all queued requests. Guards against inconsistent lanes, round-robin order
// or weighted sizes when requests are removed from the middle of the queue.
TEST(AdmissionQueue, agreesWithAFullScan)
{
    const AdmissionSettings settings;
    TimePoint now;
    std::uint64_t lastTicket = 0;
    std::vector<QueuedRequest> infeasible;
    for (std::uint64_t step = 0; step < settingOr("VT_ROUNDS", 100) * 200; ++step) {
        now += Duration(random.below(20'000'000));
        queue.promoteAged(now);
        for (auto &[ticket, entry] : reference) {
            entry.promoted = entry.request.priority == PriorityClass::Deferrable && entry.promoteAt <= now;
        }
        const std::uint64_t action = random.below(10);
        if (action < 5 && reference.size() < 60) {
            AdmissionRequest request{.workspace = WorkspaceName(std::to_string(random.below(4))),
                                     .priority = static_cast<PriorityClass>(random.below(4)),
                                     .innerCall = random.below(3) == 0,
                                     .deadline = now + 1000h};
            checkVictim(request, queue.findVictim(request, now));
            QueuedRequest entry{.ticket = TicketId{++lastTicket}, .request = request, .enqueued = now};
            entry.expires = now + (request.priority == PriorityClass::Deferrable ? Duration(2s) : Duration(1000h));
            if (request.priority == PriorityClass::Deferrable) {
                entry.promoteAt = now + 200ms;
            }
            reference[lastTicket] = entry;
            queue.add(entry);
        } else if (action < 8) {
            if (const auto popped = queue.popNext(now, 1ms, true, infeasible)) {
                checkPopped(*popped);
            } else {
                CHECK(reference.empty());
            }
        } else if (!reference.empty()) {
            const auto middle = std::next(reference.begin(), static_cast<long>(random.below(reference.size())));
            CHECK(queue.remove(middle->second.ticket).has_value());
            CHECK_FALSE(queue.remove(middle->second.ticket).has_value());
            reference.erase(middle);
        }
        // Only deferrable requests expire here: other expiries switch lanes to LIFO order, which the scan does not
        // model.
        for (const QueuedRequest &expired : queue.removeExpired(now)) {
            CHECK(expired.request.priority == PriorityClass::Deferrable && expired.expires <= now);
            reference.erase(expired.ticket.value);
        }
        LONGS_EQUAL(reference.size(), queue.size());
    }
    CHECK(infeasible.empty());
}

// Guards against a round-robin order that ignores the weights.
TEST(AdmissionQueue, backloggedWorkspacesAreServedByWeight)
{
    AdmissionSettings settings;
    settings.weights[WorkspaceName("heavy")] = 3;
    queue.configure(settings);
    std::vector<QueuedRequest> infeasible;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        const WorkspaceName workspace(i % 2 == 0 ? "heavy" : "light");
        queue.add({.ticket = TicketId{i}, .request = {.workspace = workspace, .deadline = TimePoint(1h)}});
    }
    int heavy = 0;
    for (int i = 0; i < 80; ++i) {
        heavy += queue.popNext(TimePoint(), 0s, true, infeasible)->request.workspace.value == "heavy" ? 1 : 0;
    }
    LONGS_EQUAL(60, heavy);
}
