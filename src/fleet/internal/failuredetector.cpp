#include "fleet/failuredetector.h"

namespace vanillatack {

namespace {

/// Reports in a row that must be missing; single datagrams get lost.
constexpr int MissedReports = 4;
/// Added for nodes of other zones, whose reports wait at two relays, and are missing while a new relay takes over.
constexpr Duration BundleDelay = std::chrono::milliseconds(700);
/// A node counts as in touch for less time than it may take itself to notice a cut.
constexpr double InTouchShare = 0.75;

} // namespace

FailureDetector::FailureDetector(NodeName self, ZoneName ownZone)
    : m_self(std::move(self))
    , m_ownZone(std::move(ownZone))
{
}

void FailureDetector::add(const NodeName &node, const ZoneName &zone, TimePoint now)
{
    if (node != m_self) {
        m_nodes[node] = {zone, now};
    }
}

void FailureDetector::remove(const NodeName &node)
{
    m_nodes.erase(node);
}

void FailureDetector::recordReceived(const NodeName &node, TimePoint now)
{
    const auto entry = m_nodes.find(node);
    if (entry != m_nodes.end()) {
        entry->second.heardAt = now;
    }
}

void FailureDetector::setReportInterval(Duration interval)
{
    m_interval = interval;
}

Duration FailureDetector::silenceLimit(const Known &known) const
{
    return m_interval * MissedReports + (known.zone == m_ownZone ? Duration{0} : BundleDelay);
}

std::set<NodeName> FailureDetector::unresponsive(TimePoint now) const
{
    std::set<NodeName> nodes;
    for (const auto &[node, known] : m_nodes) {
        if (now - known.heardAt > silenceLimit(known)) {
            nodes.insert(node);
        }
    }
    return nodes;
}

bool FailureDetector::wasSeenRecently(const NodeName &node, TimePoint now) const
{
    const auto entry = m_nodes.find(node);
    return node == m_self
        || (entry != m_nodes.end() && now - entry->second.heardAt <= silenceLimit(entry->second) * InTouchShare);
}

std::optional<NodeName> FailureDetector::relay(const ZoneName &zone, TimePoint now) const
{
    std::optional<NodeName> first;
    if (zone == m_ownZone) {
        first = m_self;
    }
    for (const auto &[node, known] : m_nodes) {
        if (known.zone == zone && now - known.heardAt <= silenceLimit(known)) {
            return first ? std::min(*first, node) : node;
        }
    }
    return first;
}

Duration FailureDetector::timeSinceLastSeen(const NodeName &node, TimePoint now) const
{
    const auto entry = m_nodes.find(node);
    return entry == m_nodes.end() ? Duration{0} : now - entry->second.heardAt;
}

std::vector<NodeName> FailureDetector::nodesOf(const ZoneName &zone) const
{
    std::vector<NodeName> nodes;
    for (const auto &[node, known] : m_nodes) {
        if (known.zone == zone) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::set<ZoneName> FailureDetector::otherZones() const
{
    std::set<ZoneName> zones;
    for (const auto &[node, known] : m_nodes) {
        if (known.zone != m_ownZone) {
            zones.insert(known.zone);
        }
    }
    return zones;
}

} // namespace vanillatack
