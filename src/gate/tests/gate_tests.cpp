#include "gate/localinstance.h"
#include "gate/workgate.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);
const Endpoint Address{"10.0.0.1", 80};

InstanceAnnouncement announcement(const std::string &id, std::uint64_t startedAtMs, std::int64_t sequence)
{
    InstanceAnnouncement result;
    result.id = id;
    result.startedAtMs = startedAtMs;
    result.sequence = sequence;
    result.service = ServiceName("osat");
    result.address = Address;
    result.slots = 10;
    return result;
}

GateRequest request(std::uint64_t ticket, int rank, bool inProgress, TimePoint now)
{
    GateRequest result;
    result.ticket = TicketId{ticket};
    result.route = RouteName("r");
    result.rank = rank;
    result.inProgress = inProgress;
    result.deadline = now + 10s;
    result.maxWait = 10s;
    return result;
}

} // namespace

TEST_GROUP(LocalInstance)
{
    LocalInstance instance{ServiceName("osat"), Address, 6s};
};

TEST(LocalInstance, acceptsOnceAnnounced)
{
    CHECK(!instance.accepts(Start));
    CHECK(instance.announce(announcement("i-1", 5, 1), Start) == AnnouncementVerdict::Accepted);
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, silenceEndsIt)
{
    instance.announce(announcement("i-1", 5, 1), Start);
    CHECK(instance.accepts(Start + 6s));
    CHECK(!instance.accepts(Start + 6001ms));
}

TEST(LocalInstance, reportsOfEarlierStartsAndSequencesChangeNothing)
{
    instance.announce(announcement("i-2", 9, 4), Start);
    InstanceAnnouncement late = announcement("i-1", 5, 80);
    late.draining = true;
    CHECK(instance.announce(late, Start) == AnnouncementVerdict::Outdated);
    CHECK(instance.announce(announcement("i-2", 9, 4), Start) == AnnouncementVerdict::Outdated);
    CHECK(instance.withdraw("i-1", 5) == AnnouncementVerdict::Foreign);
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, drainingIsFinalForOneStart)
{
    InstanceAnnouncement leaving = announcement("i-1", 5, 2);
    leaving.draining = true;
    instance.announce(leaving, Start);
    CHECK(!instance.accepts(Start));
    instance.announce(announcement("i-1", 5, 3), Start);
    CHECK(!instance.accepts(Start));
    // The same id, started anew, counts its reports from one again.
    instance.announce(announcement("i-1", 6, 1), Start);
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, withdrawnUntilALaterStart)
{
    instance.announce(announcement("i-1", 5, 2), Start);
    CHECK(instance.withdraw("i-1", 0) == AnnouncementVerdict::Accepted);
    instance.announce(announcement("i-1", 5, 3), Start);
    CHECK(!instance.accepts(Start));
    instance.announce(announcement("i-2", 7, 1), Start);
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, otherServicesAndAddressesAreForeign)
{
    InstanceAnnouncement other = announcement("i-1", 5, 1);
    other.service = ServiceName("kassa");
    CHECK(instance.announce(other, Start) == AnnouncementVerdict::Foreign);
    other = announcement("i-1", 5, 1);
    other.address.port = 81;
    CHECK(instance.announce(other, Start) == AnnouncementVerdict::Foreign);
    CHECK(!instance.accepts(Start));
}

TEST_GROUP(WorkGate)
{
    WorkGate gate;

    void setup() override
    {
        gate.setSlots(2);
    }

    /// Fills the slots with two requests and teaches the gate a work time of 100 ms.
    void fill()
    {
        CHECK(gate.offer(request(1, 0, false, Start - 100ms), Start - 100ms).outcome == GateOutcome::Start);
        gate.finish(TicketId{1}, true, Start);
        while (gate.running() < gate.limit(Start)) {
            gate.offer(request(100 + gate.running(), 0, false, Start), Start);
        }
    }
};

TEST(WorkGate, neverPassesOnMoreThanTheSlots)
{
    int started = 0;
    gate.setSlots(50);
    for (std::uint64_t ticket = 1; ticket < 200; ++ticket) {
        started += gate.offer(request(ticket, 0, false, Start), Start).outcome == GateOutcome::Start ? 1 : 0;
    }
    LONGS_EQUAL(47, started);
    LONGS_EQUAL(47, gate.running());
}

TEST(WorkGate, withoutSlotsNothingStarts)
{
    gate.setSlots(0);
    CHECK(gate.offer(request(1, 0, false, Start), Start).outcome != GateOutcome::Start);
}

TEST(WorkGate, workInProgressThenRankThenArrival)
{
    fill();
    CHECK(gate.offer(request(10, 2, false, Start), Start).outcome == GateOutcome::Queued);
    CHECK(gate.offer(request(11, 0, false, Start), Start).outcome == GateOutcome::Queued);
    CHECK(gate.offer(request(12, 0, false, Start), Start).outcome == GateOutcome::Queued);
    CHECK(gate.offer(request(13, 2, true, Start), Start).outcome == GateOutcome::Queued);
    std::vector<std::uint64_t> order;
    TicketId running{100};
    for (int i = 0; i < 4; ++i) {
        const auto next = gate.finish(running, false, Start);
        LONGS_EQUAL(1, next.size());
        running = next.front();
        order.push_back(running.value);
    }
    CHECK((order == std::vector<std::uint64_t>{13, 11, 12, 10}));
}

TEST(WorkGate, refusesWhatWouldNotGetItsTurnInTime)
{
    fill();
    GateRequest hurried = request(20, 0, false, Start);
    hurried.maxWait = 250ms;
    CHECK(gate.offer(hurried, Start).outcome == GateOutcome::Queued);
    hurried.ticket = TicketId{21};
    CHECK(gate.offer(hurried, Start).outcome == GateOutcome::Queued);
    hurried.ticket = TicketId{22};
    CHECK(gate.offer(hurried, Start).outcome == GateOutcome::Queued);
    hurried.ticket = TicketId{23};
    const GateDecision decision = gate.offer(hurried, Start);
    CHECK(decision.outcome == GateOutcome::Refused);
    CHECK(decision.expectedWait >= 250ms);
}

TEST(WorkGate, expiresWhatCanNoLongerFinish)
{
    fill();
    GateRequest brief = request(30, 0, false, Start);
    brief.deadline = Start + 300ms;
    CHECK(gate.offer(brief, Start).outcome == GateOutcome::Queued);
    LONGS_EQUAL(0, gate.expire(Start + 150ms).size());
    LONGS_EQUAL(1, gate.expire(Start + 250ms).size());
    LONGS_EQUAL(0, gate.queued());
}

TEST(WorkGate, passesOnLessAfterAnOverflow)
{
    gate.setSlots(100);
    LONGS_EQUAL(94, gate.limit(Start));
    gate.recordOverflow(Start);
    LONGS_EQUAL(70, gate.limit(Start));
    LONGS_EQUAL(94, gate.limit(Start + 2s));
}
