#include "fleet/failuredetector.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);
const ZoneName Near("near");
const ZoneName Far("far");
const NodeName A("a");
const NodeName B("b");
const NodeName C("c");

} // namespace

TEST_GROUP(FailureDetector)
{
    FailureDetector detector{B, Near};

    void setup() override
    {
        detector.setReportInterval(250ms);
        detector.add(A, Near, Start);
        detector.add(B, Near, Start);
        detector.add(C, Far, Start);
    }
};

TEST(FailureDetector, nodesThatStopReportingAreSilentThoseOfOtherZonesLater)
{
    CHECK(detector.unresponsive(Start + 900ms).empty());
    CHECK(detector.unresponsive(Start + 1100ms) == std::set<NodeName>{A});
    CHECK(detector.unresponsive(Start + 2300ms) == (std::set<NodeName>{A, C}));
    detector.recordReceived(A, Start + 2300ms);
    CHECK(detector.unresponsive(Start + 2400ms) == std::set<NodeName>{C});
}

TEST(FailureDetector, aNodeIsInTouchForLessTimeThanItTakesToNoticeACut)
{
    CHECK(detector.wasSeenRecently(A, Start + 700ms));
    CHECK(!detector.wasSeenRecently(A, Start + 800ms));
    CHECK(detector.unresponsive(Start + 800ms).empty());
    CHECK(detector.wasSeenRecently(B, Start + 10s)); // The node itself.
    CHECK(!detector.wasSeenRecently(NodeName("unknown"), Start));
}

TEST(FailureDetector, theFirstHeardNodeOfAZoneIsItsRelay)
{
    CHECK(detector.relay(Near, Start) == A);
    CHECK(detector.relay(Near, Start + 2s) == B);
    CHECK(detector.relay(Far, Start) == C);
    CHECK(!detector.relay(Far, Start + 3s).has_value());
}

TEST(FailureDetector, removedNodesAreForgotten)
{
    detector.remove(A);
    CHECK(detector.unresponsive(Start + 1500ms).empty());
    CHECK(detector.nodesOf(Near).empty());
    CHECK(detector.otherZones() == std::set<ZoneName>{Far});
    CHECK(detector.timeSinceLastSeen(A, Start + 5s) == 0s);
    CHECK(detector.timeSinceLastSeen(C, Start + 5s) == 5s);
}
