#include "fleet/failuredetector.h"

namespace vanillatack {

namespace {

/// Number of consecutive missing reports that makes a node unresponsive; single datagrams get lost.
constexpr int MissedReportLimit = 4;
/// Added for nodes of other zones: their reports are delayed at two relays and are missing while a new relay takes
/// over.
constexpr Duration OtherZoneAllowance = std::chrono::milliseconds(700);
/// Part of the receive timeout for which a report counts as recent. Below 1, so that the other node cannot have noticed
/// a network partition yet.
constexpr double RecentReportFraction = 0.75;

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

void FailureDetector::recordReport(const NodeName &node, TimePoint now)
{
    const auto entry = m_nodes.find(node);
    if (entry != m_nodes.end()) {
        entry->second.lastReportAt = now;
    }
}

void FailureDetector::setReportInterval(Duration interval)
{
    m_reportInterval = interval;
}

Duration FailureDetector::receiveTimeout(const NodeState &state) const
{
    return m_reportInterval * MissedReportLimit + (state.zone == m_ownZone ? Duration{0} : OtherZoneAllowance);
}

std::set<NodeName> FailureDetector::unresponsive(TimePoint now) const
{
    std::set<NodeName> nodes;
    for (const auto &[node, state] : m_nodes) {
        if (now - state.lastReportAt > receiveTimeout(state)) {
            nodes.insert(node);
        }
    }
    return nodes;
}

bool FailureDetector::reportedRecently(const NodeName &node, TimePoint now) const
{
    const auto entry = m_nodes.find(node);
    return node == m_self
        || (entry != m_nodes.end()
            && now - entry->second.lastReportAt <= receiveTimeout(entry->second) * RecentReportFraction);
}

std::optional<NodeName> FailureDetector::relay(const ZoneName &zone, TimePoint now) const
{
    std::optional<NodeName> first;
    if (zone == m_ownZone) {
        first = m_self;
    }
    for (const auto &[node, state] : m_nodes) {
        if (state.zone == zone && now - state.lastReportAt <= receiveTimeout(state)) {
            return first ? std::min(*first, node) : node;
        }
    }
    return first;
}

std::vector<NodeName> FailureDetector::responsiveNodes(const ZoneName &zone, TimePoint now) const
{
    std::vector<NodeName> nodes;
    for (const auto &[node, state] : m_nodes) {
        if (state.zone == zone && now - state.lastReportAt <= receiveTimeout(state)) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

Duration FailureDetector::timeSinceLastReport(const NodeName &node, TimePoint now) const
{
    const auto entry = m_nodes.find(node);
    return entry == m_nodes.end() ? Duration{0} : now - entry->second.lastReportAt;
}

std::vector<NodeName> FailureDetector::nodesOf(const ZoneName &zone) const
{
    std::vector<NodeName> nodes;
    for (const auto &[node, state] : m_nodes) {
        if (state.zone == zone) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::set<ZoneName> FailureDetector::otherZones() const
{
    std::set<ZoneName> zones;
    for (const auto &[node, state] : m_nodes) {
        if (state.zone != m_ownZone) {
            zones.insert(state.zone);
        }
    }
    return zones;
}

} // namespace vanillatack
