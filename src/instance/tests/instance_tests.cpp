#include "instance/localinstance.h"
#include "instance/requestpacer.h"
#include "instance/slotqueue.h"

#include <cmath>

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

SlotRequest request(std::uint64_t ticket, int rank, bool innerCall, TimePoint now)
{
    SlotRequest result;
    result.ticket = TicketId{ticket};
    result.route = RouteName("r");
    result.rank = rank;
    result.innerCall = innerCall;
    result.deadline = now + 10s;
    result.maxWait = 10s;
    return result;
}

} // namespace

TEST_GROUP(RequestPacer)
{
    RequestPacer pacer;

    /// Starts as many requests as the pacer allows in the time, with a new one waiting at every millisecond.
    int startMany(TimePoint from, Duration time)
    {
        int started = 0;
        for (TimePoint now = from; now < from + time; now += 1ms) {
            while (started < 100000 && pacer.waitTime(0, now) == Duration{0}) {
                pacer.recordStart(now);
                ++started;
            }
        }
        return started;
    }
};

// Guards against an instance that gets more than one and a half times the requests of its limit in four seconds
// (LIMIT).
TEST(RequestPacer, startsAtMostOneAndAHalfTimesTheRateInFourSeconds)
{
    for (const double rate : {0.0, 0.3, 1.0, 3.7, 50.0, 400.0}) {
        pacer = RequestPacer();
        pacer.setRate(rate);
        const double allowed = 1.5 * rate * 4 + 5;
        CHECK(startMany(Start, 4s) <= allowed); // Also after an idle time, when unused time is made up for.
        const int later = startMany(Start + 60s, 4s);
        CHECK(later <= allowed);
        CHECK(later >= std::floor(rate * 4));
    }
}

TEST(RequestPacer, withoutARateRequestsNeverWait)
{
    pacer.setRate(1.0);
    pacer.recordStart(Start);
    CHECK(pacer.waitTime(0, Start) == 1s);
    CHECK(pacer.waitTime(2, Start) == 3s);
    pacer.setRate(std::nullopt);
    CHECK(pacer.waitTime(9, Start) == 0s);
}

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

TEST(LocalInstance, acceptsNothingAfterTheAnnouncementTimeout)
{
    instance.announce(announcement("i-1", 5, 1), Start);
    CHECK(instance.accepts(Start + 6s));
    CHECK(!instance.accepts(Start + 6001ms));
}

TEST(LocalInstance, outdatedAnnouncementsAndWithdrawalsAreIgnored)
{
    instance.announce(announcement("i-2", 9, 4), Start);
    InstanceAnnouncement late = announcement("i-1", 5, 80);
    late.draining = true;
    CHECK(instance.announce(late, Start) == AnnouncementVerdict::Outdated);
    CHECK(instance.announce(announcement("i-2", 9, 4), Start) == AnnouncementVerdict::Outdated);
    CHECK(instance.withdraw("i-1", 5, Start) == AnnouncementVerdict::Foreign);
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, drainingIsFinalUntilTheNextStart)
{
    InstanceAnnouncement stopping = announcement("i-1", 5, 2);
    stopping.draining = true;
    instance.announce(stopping, Start);
    CHECK(!instance.accepts(Start));
    instance.announce(announcement("i-1", 5, 3), Start);
    CHECK(!instance.accepts(Start));
    // After a restart with the same id, the announcement sequence starts from 1 again.
    instance.announce(announcement("i-1", 6, 1), Start);
    CHECK(instance.accepts(Start));
}

// Guards against an instance that is used although it drains, since a later announcement arrived first.
TEST(LocalInstance, drainingThatArrivesLateIsFinalTooUntilTheNextStart)
{
    instance.announce(announcement("i-1", 5, 3), Start);
    InstanceAnnouncement late = announcement("i-1", 5, 2);
    late.draining = true;
    CHECK(instance.announce(late, Start) == AnnouncementVerdict::Outdated);
    CHECK(!instance.accepts(Start));
    instance.announce(announcement("i-1", 6, 1), Start);
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, acceptsNothingUntilItHasRecovered)
{
    instance.startRecovery();
    CHECK(instance.announce(announcement("i-1", 5, 1), Start) == AnnouncementVerdict::Accepted);
    CHECK(!instance.accepts(Start));
    instance.finishRecovery();
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, restoredDeparturesHoldForAnnouncementsBeforeAndAfterThemUntilTheNextStart)
{
    instance.announce(announcement("i-1", 5, 1), Start);
    instance.restore({{.instance = "i-0", .startedAtMs = 4}, {.instance = "i-1", .startedAtMs = 5}}, Start);
    CHECK(!instance.accepts(Start));
    CHECK(instance.announce(announcement("i-1", 5, 2), Start + 1h) == AnnouncementVerdict::Outdated);
    CHECK(!instance.accepts(Start + 1h));
    CHECK(instance.announce(announcement("i-1", 6, 1), Start + 1h) == AnnouncementVerdict::Accepted);
    CHECK(instance.accepts(Start + 1h));
}

TEST(LocalInstance, aWithdrawalWithoutAStartConcernsTheCurrentOne)
{
    CHECK((instance.departureOf("i-1", 0) == Departure{.instance = "i-1", .startedAtMs = 0}));
    instance.announce(announcement("i-1", 5, 1), Start);
    CHECK((instance.departureOf("i-1", 0) == Departure{.instance = "i-1", .startedAtMs = 5}));
    CHECK((instance.departureOf("i-1", 4) == Departure{.instance = "i-1", .startedAtMs = 4}));
    CHECK((instance.departureOf("i-2", 0) == Departure{.instance = "i-2", .startedAtMs = 0}));
}

TEST(LocalInstance, drainingThatIsSaidInAResponseIsFinalUntilTheNextStart)
{
    instance.markDraining();
    instance.announce(announcement("i-1", 5, 1), Start);
    CHECK(instance.accepts(Start));
    instance.markDraining();
    CHECK(!instance.accepts(Start));
    instance.announce(announcement("i-1", 5, 2), Start);
    CHECK(!instance.accepts(Start));
    instance.announce(announcement("i-1", 6, 1), Start);
    CHECK(instance.accepts(Start));
}

TEST(LocalInstance, withdrawalLastsUntilTheNextStart)
{
    instance.announce(announcement("i-1", 5, 2), Start);
    CHECK(instance.withdraw("i-1", 0, Start) == AnnouncementVerdict::Accepted);
    instance.announce(announcement("i-1", 5, 3), Start);
    CHECK(!instance.accepts(Start));
    instance.announce(announcement("i-2", 7, 1), Start);
    CHECK(instance.accepts(Start));
}

// Guards against an instance that has left and is used again because its node was restarted and knows it only from a
// late announcement (DRAIN).
TEST(LocalInstance, aLateAnnouncementDoesNotUndoAWithdrawalThatCameFirst)
{
    CHECK(instance.withdraw("i-1", 5, Start) == AnnouncementVerdict::Foreign);
    CHECK(instance.withdraw("i-2", 0, Start) == AnnouncementVerdict::Foreign);
    CHECK(instance.announce(announcement("i-1", 5, 9), Start + 4s) == AnnouncementVerdict::Outdated);
    CHECK(instance.announce(announcement("i-2", 5, 9), Start + 4s) == AnnouncementVerdict::Outdated);
    CHECK(!instance.accepts(Start + 4s));
    CHECK(instance.announce(announcement("i-1", 6, 1), Start + 5s) == AnnouncementVerdict::Accepted);
    CHECK(instance.accepts(Start + 5s));
}

TEST(LocalInstance, theMemoryOfWithdrawalsIsBounded)
{
    instance.withdraw("i-1", 5, Start);
    for (int index = 0; index < 1000; ++index) {
        instance.withdraw("other-" + std::to_string(index), 0, Start);
    }
    CHECK(instance.announce(announcement("i-1", 5, 9), Start) == AnnouncementVerdict::Accepted);
    CHECK(instance.announce(announcement("other-999", 9, 9), Start) == AnnouncementVerdict::Outdated);
    CHECK(instance.announce(announcement("other-999", 9, 9), Start + 60s) == AnnouncementVerdict::Accepted);
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

TEST_GROUP(SlotQueue)
{
    SlotQueue queue;

    void setup() override
    {
        queue.setSlots(2);
    }

    /// Records a work time of 100 ms, then fills all slots.
    void fill()
    {
        CHECK(queue.offer(request(1, 0, false, Start - 100ms), Start - 100ms).outcome == SlotOutcome::Start);
        queue.finish(TicketId{1}, true, Start);
        while (queue.running() < queue.limit(Start)) {
            queue.offer(request(100 + queue.running(), 0, false, Start), Start);
        }
    }
};

TEST(SlotQueue, neverRunsMoreRequestsThanTheLimit)
{
    int started = 0;
    queue.setSlots(50);
    for (std::uint64_t ticket = 1; ticket < 200; ++ticket) {
        started += queue.offer(request(ticket, 0, false, Start), Start).outcome == SlotOutcome::Start ? 1 : 0;
    }
    LONGS_EQUAL(47, started);
    LONGS_EQUAL(47, queue.running());
}

TEST(SlotQueue, withoutSlotsNothingStarts)
{
    queue.setSlots(0);
    CHECK(queue.offer(request(1, 0, false, Start), Start).outcome != SlotOutcome::Start);
}

TEST(SlotQueue, servesInnerCallsThenByRankThenByArrival)
{
    fill();
    CHECK(queue.offer(request(10, 2, false, Start), Start).outcome == SlotOutcome::Queued);
    CHECK(queue.offer(request(11, 0, false, Start), Start).outcome == SlotOutcome::Queued);
    CHECK(queue.offer(request(12, 0, false, Start), Start).outcome == SlotOutcome::Queued);
    CHECK(queue.offer(request(13, 2, true, Start), Start).outcome == SlotOutcome::Queued);
    std::vector<std::uint64_t> order;
    TicketId running{100};
    for (int i = 0; i < 4; ++i) {
        const auto next = queue.finish(running, false, Start);
        LONGS_EQUAL(1, next.size());
        running = next.front();
        order.push_back(running.value);
    }
    CHECK((order == std::vector<std::uint64_t>{13, 11, 12, 10}));
}

TEST(SlotQueue, refusesRequestsWhoseExpectedWaitIsTooLong)
{
    fill();
    SlotRequest shortMaxWait = request(20, 0, false, Start);
    shortMaxWait.maxWait = 250ms;
    CHECK(queue.offer(shortMaxWait, Start).outcome == SlotOutcome::Queued);
    shortMaxWait.ticket = TicketId{21};
    CHECK(queue.offer(shortMaxWait, Start).outcome == SlotOutcome::Queued);
    shortMaxWait.ticket = TicketId{22};
    CHECK(queue.offer(shortMaxWait, Start).outcome == SlotOutcome::Queued);
    shortMaxWait.ticket = TicketId{23};
    const SlotDecision decision = queue.offer(shortMaxWait, Start);
    CHECK(decision.outcome == SlotOutcome::Refused);
    CHECK(decision.expectedWait >= 250ms);
}

TEST(SlotQueue, expiresRequestsThatCannotMeetTheirDeadline)
{
    fill();
    SlotRequest shortDeadline = request(30, 0, false, Start);
    shortDeadline.deadline = Start + 300ms;
    CHECK(queue.offer(shortDeadline, Start).outcome == SlotOutcome::Queued);
    LONGS_EQUAL(0, queue.expire(Start + 150ms).size());
    LONGS_EQUAL(1, queue.expire(Start + 250ms).size());
    LONGS_EQUAL(0, queue.queued());
}

TEST(SlotQueue, lowersTheLimitAfterAnOverflow)
{
    queue.setSlots(100);
    LONGS_EQUAL(94, queue.limit(Start));
    queue.recordOverflow(Start);
    LONGS_EQUAL(70, queue.limit(Start));
    LONGS_EQUAL(94, queue.limit(Start + 2s));
}

TEST(SlotQueue, startsQueuedRequestsAtTheRateOfTheInstance)
{
    queue.setSlots(100);
    queue.setRequestRate(2.0);
    CHECK(queue.offer(request(1, 0, false, Start), Start).outcome == SlotOutcome::Start);
    CHECK(queue.offer(request(2, 2, false, Start), Start).outcome == SlotOutcome::Queued);
    CHECK(queue.offer(request(3, 0, false, Start), Start).outcome == SlotOutcome::Queued);
    LONGS_EQUAL(0, queue.startQueued(Start + 499ms).size());
    const auto started = queue.startQueued(Start + 500ms);
    LONGS_EQUAL(1, started.size());
    LONGS_EQUAL(3, started[0].value);
    queue.setRequestRate(std::nullopt);
    LONGS_EQUAL(1, queue.startQueued(Start + 500ms).size());
}

TEST(SlotQueue, refusesRequestsThatTheRateWouldKeepTooLong)
{
    queue.setSlots(100);
    queue.setRequestRate(2.0);
    queue.offer(request(1, 0, false, Start), Start);
    SlotRequest shortMaxWait = request(2, 0, false, Start);
    shortMaxWait.maxWait = 600ms;
    CHECK(queue.offer(shortMaxWait, Start).outcome == SlotOutcome::Queued);
    shortMaxWait.ticket = TicketId{3};
    const SlotDecision decision = queue.offer(shortMaxWait, Start);
    CHECK(decision.outcome == SlotOutcome::Refused);
    CHECK(decision.expectedWait == 1s);
}

TEST(SlotQueue, reportsTheRequestsThatTheRateKeepsRunning)
{
    queue.setSlots(100);
    LONGS_EQUAL(94, queue.sustainableLimit(Start));
    queue.offer(request(1, 0, false, Start - 100ms), Start - 100ms);
    queue.finish(TicketId{1}, true, Start);
    queue.setRequestRate(50.0);
    LONGS_EQUAL(5, queue.sustainableLimit(Start));
    queue.setRequestRate(10000.0);
    LONGS_EQUAL(94, queue.sustainableLimit(Start));
}
