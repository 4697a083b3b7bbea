#pragma once

#include "base/clock.h"
#include "model/ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillatack {

/// Tells from the reports that arrive which nodes are alive. Nodes of the own zone are heard directly, those of other
/// zones through bundles of their relay, which take longer.
class FailureDetector
{
public:
    FailureDetector(NodeName self, ZoneName ownZone);

    /// A registered node; it counts as heard, so that a node that has just started waits for the first report.
    void add(const NodeName &node, const ZoneName &zone, TimePoint now);
    void remove(const NodeName &node);

    void recordReceived(const NodeName &node, TimePoint now);

    /// Time between two reports of a node.
    void setReportInterval(Duration interval);

    /// Registered nodes that are taken for dead or cut off.
    [[nodiscard]] std::set<NodeName> unresponsive(TimePoint now) const;

    /// Whether the node was heard so lately that it cannot take this one for silent yet, if messages are lost in both
    /// directions alike.
    [[nodiscard]] bool wasSeenRecently(const NodeName &node, TimePoint now) const;

    /// The node that passes reports on between the zone and the others: the first one by name that is heard.
    [[nodiscard]] std::optional<NodeName> relay(const ZoneName &zone, TimePoint now) const;

    /// Time since the node was heard; 0 for nodes that are not registered.
    [[nodiscard]] Duration timeSinceLastSeen(const NodeName &node, TimePoint now) const;

    [[nodiscard]] std::vector<NodeName> nodesOf(const ZoneName &zone) const;
    [[nodiscard]] std::set<ZoneName> otherZones() const;

private:
    struct Known {
        ZoneName zone;
        TimePoint heardAt;
    };

    [[nodiscard]] Duration silenceLimit(const Known &known) const;

    NodeName m_self;
    ZoneName m_ownZone;
    Duration m_interval{0};
    std::map<NodeName, Known> m_nodes; ///< Without this node.
};

} // namespace vanillatack
