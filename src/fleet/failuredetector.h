#pragma once

#include "base/clock.h"
#include "model/ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillatack {

/// Detects unresponsive nodes from missing reports. Reports of nodes in the own zone arrive directly, those of other
/// zones in bundles forwarded by their relay, which take longer.
class FailureDetector
{
public:
    FailureDetector(NodeName self, ZoneName ownZone);

    /// Adds or updates a registered node. Counts as a report received at the given time, so that the node is not
    /// unresponsive before its next report is due.
    void add(const NodeName &node, const ZoneName &zone, TimePoint now);
    void remove(const NodeName &node);

    void recordReport(const NodeName &node, TimePoint now);

    /// Sets the time between two reports of a node.
    void setReportInterval(Duration interval);

    /// Registered nodes from which no report was received within the time limit; they have failed or are cut off.
    [[nodiscard]] std::set<NodeName> unresponsive(TimePoint now) const;

    /// Whether a report was received so recently that the node cannot yet consider this one unresponsive, assuming that
    /// messages are lost equally in both directions.
    [[nodiscard]] bool reportedRecently(const NodeName &node, TimePoint now) const;

    /// The node that forwards report bundles between the zone and the others: the first responsive node by name.
    [[nodiscard]] std::optional<NodeName> relay(const ZoneName &zone, TimePoint now) const;

    /// Nodes of the zone, except this node, from which reports are received.
    [[nodiscard]] std::vector<NodeName> responsiveNodes(const ZoneName &zone, TimePoint now) const;

    /// Time since the last report of the node; 0 for nodes that are not registered.
    [[nodiscard]] Duration timeSinceLastReport(const NodeName &node, TimePoint now) const;

    /// Registered nodes of the zone, except this node.
    [[nodiscard]] std::vector<NodeName> nodesOf(const ZoneName &zone) const;
    [[nodiscard]] std::set<ZoneName> otherZones() const;

private:
    struct NodeState {
        ZoneName zone;
        TimePoint lastReportAt;
    };

    [[nodiscard]] Duration receiveTimeout(const NodeState &state) const;

    NodeName m_self;
    ZoneName m_ownZone;
    Duration m_reportInterval{0};
    std::map<NodeName, NodeState> m_nodes; ///< All registered nodes except this one.
};

} // namespace vanillatack
