#include "fleet/nodedirectory.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Load of the own zone's candidate, in requests per slot plus the penalty for failures (see FailureLoad), above which
/// a node of another zone is considered. Below it, requests stay in the own zone, where traffic is cheap and latency
/// low.
constexpr double OwnZoneLoadLimit = 0.85;
/// Minimum difference by which an instance of another zone must be less loaded to be chosen.
constexpr double OtherZoneMinLoadDifference = 0.1;
/// Age up to which a report is used to estimate the load; reports arrive several times a second.
constexpr Duration ReportLifetime = std::chrono::seconds(2);
/// Time without reports after which a node of another zone is avoided while other nodes accept calls: the zones may be
/// partitioned, and a call that is lost cannot always be retried.
constexpr Duration OtherZoneReportLifetime = std::chrono::milliseconds(900);
/// Weight of the newest outcome in the failure ratio, which thus covers about the last 10 calls.
constexpr double FailureWeight = 0.1;
/// Load added for a failure ratio of 1. An instance that fails half its requests is used only when the others are full.
constexpr double FailureLoad = 2.0;
/// Time for which a node is avoided after its connection failed; its registry entry or instance may have changed by
/// then.
constexpr Duration UnreachableAvoidanceTime = std::chrono::milliseconds(700);

} // namespace

NodeDirectory::NodeDirectory(ZoneName ownZone)
    : m_ownZone(std::move(ownZone))
{
}

void NodeDirectory::update(const NodeEntry &entry)
{
    NodeState &state = m_nodes[entry.node];
    if (entry.nodeStartedAtMs < state.entry.nodeStartedAtMs) {
        return;
    }
    if (state.entry.instance != entry.instance || state.entry.peerEndpoint != entry.peerEndpoint
        || (entry.accepting && !state.entry.accepting)) {
        state.failureRatio = 0;
        state.avoidUntil = {};
    }
    updateServiceIndex(state, entry.service);
    state.entry = entry;
}

void NodeDirectory::remove(const NodeName &node)
{
    const auto entry = m_nodes.find(node);
    if (entry != m_nodes.end()) {
        updateServiceIndex(entry->second, ServiceName());
        m_nodes.erase(entry);
    }
}

/// Moves the node to the list of the service; an empty name removes it from the lists.
void NodeDirectory::updateServiceIndex(NodeState &state, const ServiceName &service)
{
    if (state.entry.service == service) {
        return;
    }
    const auto previous = m_nodesByService.find(state.entry.service);
    if (previous != m_nodesByService.end()) {
        std::erase(previous->second, &state);
        if (previous->second.empty()) {
            m_nodesByService.erase(previous);
        }
    }
    if (!service.empty()) {
        m_nodesByService[service].push_back(&state);
    }
}

bool NodeDirectory::recordReport(const NodeReport &report, TimePoint now)
{
    const auto entry = m_nodes.find(report.node);
    if (entry == m_nodes.end()) {
        return false;
    }
    NodeState &state = entry->second;
    const auto order = [](const NodeReport &item) {
        return std::pair(item.startedAtMs, item.sequence);
    };
    if (order(report) <= order(state.report)) {
        return false;
    }
    state.report = report;
    state.reportedAt = now;
    state.sentSinceReport = 0;
    return true;
}

double NodeDirectory::load(const NodeState &state, TimePoint now) const
{
    const bool reported = state.reportedAt != TimePoint{} && now - state.reportedAt < ReportLifetime;
    // The node may use fewer slots than its instance has announced, for instance because of the instance's request
    // rate.
    const bool limited = reported && state.report.slots > 0 && state.report.slots < state.entry.slots;
    const int slots = std::max(limited ? state.report.slots : state.entry.slots, 1);
    const int busy = reported ? state.report.running + state.report.queued + state.sentSinceReport : state.inFlight;
    return static_cast<double>(std::max(busy, state.inFlight)) / slots + FailureLoad * state.failureRatio;
}

/// Returns the less loaded of two random candidates, so that nodes with the same reports do not all choose the same
/// instance.
NodeDirectory::NodeState *
NodeDirectory::lessLoadedOfTwo(const std::vector<NodeState *> &candidates, IRandom &random, TimePoint now) const
{
    if (candidates.empty()) {
        return nullptr;
    }
    NodeState *first = candidates[random.below(candidates.size())];
    NodeState *second = candidates[random.below(candidates.size())];
    return load(*second, now) < load(*first, now) ? second : first;
}

std::optional<NodeEntry>
NodeDirectory::choose(const ServiceName &service, const std::set<NodeName> &excluded, IRandom &random, TimePoint now)
{
    std::vector<NodeState *> ownZoneNodes;
    std::vector<NodeState *> otherZoneNodes;
    std::vector<NodeState *> avoided;
    const auto nodes = m_nodesByService.find(service);
    if (nodes == m_nodesByService.end()) {
        return std::nullopt;
    }
    for (NodeState *node : nodes->second) {
        const NodeState &state = *node;
        if (!state.entry.accepting || excluded.contains(state.entry.node)) {
            continue;
        }
        const bool ownZone = state.entry.zone == m_ownZone;
        const bool reportsMissing =
            !ownZone && state.reportedAt != TimePoint{} && now - state.reportedAt > OtherZoneReportLifetime;
        std::vector<NodeState *> &group = state.avoidUntil > now || reportsMissing ? avoided
            : ownZone                                                              ? ownZoneNodes
                                                                                   : otherZoneNodes;
        group.push_back(node);
    }
    NodeState *best = lessLoadedOfTwo(ownZoneNodes, random, now);
    NodeState *other = lessLoadedOfTwo(otherZoneNodes, random, now);
    if (best == nullptr
        || (other != nullptr && load(*best, now) > OwnZoneLoadLimit
            && load(*other, now) + OtherZoneMinLoadDifference < load(*best, now))) {
        best = other;
    }
    if (best == nullptr) {
        best = lessLoadedOfTwo(avoided, random, now);
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->inFlight;
    ++best->sentSinceReport;
    return best->entry;
}

void NodeDirectory::finish(const NodeName &node, CallOutcome outcome, TimePoint now)
{
    const auto entry = m_nodes.find(node);
    if (entry == m_nodes.end()) {
        return;
    }
    NodeState &state = entry->second;
    state.inFlight = std::max(state.inFlight - 1, 0);
    const double failed = outcome == CallOutcome::Served ? 0 : 1;
    state.failureRatio += FailureWeight * (failed - state.failureRatio);
    if (outcome == CallOutcome::Unreachable) {
        state.avoidUntil = now + UnreachableAvoidanceTime;
    }
}

std::vector<NodeEntry> NodeDirectory::nodes() const
{
    std::vector<NodeEntry> entries;
    for (const auto &[name, state] : m_nodes) {
        entries.push_back(state.entry);
    }
    return entries;
}

const NodeEntry *NodeDirectory::find(const NodeName &node) const
{
    const auto entry = m_nodes.find(node);
    return entry == m_nodes.end() ? nullptr : &entry->second.entry;
}

std::map<ServiceName, int> NodeDirectory::slots() const
{
    std::map<ServiceName, int> sums;
    for (const auto &[name, state] : m_nodes) {
        if (state.entry.accepting) {
            sums[state.entry.service] += state.entry.slots;
        }
    }
    return sums;
}

std::vector<NodeReport> NodeDirectory::reports(Duration maxAge, TimePoint now) const
{
    std::vector<NodeReport> recent;
    for (const auto &[name, state] : m_nodes) {
        if (state.reportedAt != TimePoint{} && now - state.reportedAt <= maxAge) {
            recent.push_back(state.report);
        }
    }
    return recent;
}

} // namespace vanillatack
