#include "fleet/failuredetector.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);
const ZoneName OwnZone("near");
const ZoneName OtherZone("far");
const NodeName A("a");
const NodeName B("b");
const NodeName C("c");

} // namespace

TEST_GROUP(FailureDetector)
{
    FailureDetector detector{B, OwnZone};

    void setup() override
    {
        detector.setReportInterval(250ms);
        detector.add(A, OwnZone, Start);
        detector.add(B, OwnZone, Start);
        detector.add(C, OtherZone, Start);
    }
};

TEST(FailureDetector, nodesWithoutReportsBecomeUnresponsiveThoseOfOtherZonesLater)
{
    CHECK(detector.unresponsive(Start + 900ms).empty());
    CHECK(detector.unresponsive(Start + 1100ms) == std::set<NodeName>{A});
    CHECK(detector.unresponsive(Start + 2300ms) == (std::set<NodeName>{A, C}));
    detector.recordReport(A, Start + 2300ms);
    CHECK(detector.unresponsive(Start + 2400ms) == std::set<NodeName>{C});
}

TEST(FailureDetector, aReportCountsAsRecentForLessThanTheReceiveTimeout)
{
    CHECK(detector.reportedRecently(A, Start + 700ms));
    CHECK(!detector.reportedRecently(A, Start + 800ms));
    CHECK(detector.unresponsive(Start + 800ms).empty());
    CHECK(detector.reportedRecently(B, Start + 10s)); // The node itself.
    CHECK(!detector.reportedRecently(NodeName("unknown"), Start));
}

TEST(FailureDetector, theFirstResponsiveNodeOfAZoneIsItsRelay)
{
    CHECK(detector.relay(OwnZone, Start) == A);
    CHECK(detector.relay(OwnZone, Start + 2s) == B);
    CHECK(detector.relay(OtherZone, Start) == C);
    CHECK(!detector.relay(OtherZone, Start + 3s).has_value());
}

TEST(FailureDetector, onlyOtherNodesOfTheZoneWithReportsAreResponsive)
{
    const NodeName d("d");
    detector.add(d, OwnZone, Start);
    CHECK(detector.responsiveNodes(OwnZone, Start) == (std::vector<NodeName>{A, d}));
    detector.recordReport(d, Start + 500ms);
    CHECK(detector.responsiveNodes(OwnZone, Start + 1200ms) == std::vector<NodeName>{d});
    CHECK(detector.responsiveNodes(OtherZone, Start) == std::vector<NodeName>{C});
}

TEST(FailureDetector, removedNodesAreNoLongerTracked)
{
    detector.remove(A);
    CHECK(detector.unresponsive(Start + 1500ms).empty());
    CHECK(detector.nodesOf(OwnZone).empty());
    CHECK(detector.otherZones() == std::set<ZoneName>{OtherZone});
    CHECK(detector.timeSinceLastReport(A, Start + 5s) == 0s);
    CHECK(detector.timeSinceLastReport(C, Start + 5s) == 5s);
}
