#include "fleet/nodedirectory.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Load above which requests also go to other zones. Below it, work stays where bytes are cheap and links short.
constexpr double LocalLoadLimit = 0.85;
/// How much less loaded an instance of another zone must be.
constexpr double RemoteAdvantage = 0.1;
/// A report older than this says nothing about the load any more; reports come several times a second.
constexpr Duration ReportLifetime = std::chrono::seconds(2);
/// A node of another zone whose reports have been missing for so long gets no calls while others can take them: the
/// zones may be cut off from each other, and a call that gets lost there cannot always be repeated.
constexpr Duration RemoteReportLifetime = std::chrono::milliseconds(900);
/// Weight of the newest outcome in the share of failures; about the last 10 calls count.
constexpr double FailureWeight = 0.1;
/// Load that a share of failures of 1 counts as. An instance that fails half its requests is used only when the
/// others are full.
constexpr double FailureLoad = 2.0;
/// How long a node is avoided after its connection failed; its registry entry or instance may have changed by then.
constexpr Duration UnreachablePause = std::chrono::milliseconds(700);

} // namespace

NodeDirectory::NodeDirectory(ZoneName ownZone)
    : m_ownZone(std::move(ownZone))
{
}

void NodeDirectory::update(const NodeEntry &entry)
{
    Known &known = m_nodes[entry.node];
    if (entry.nodeStartedAtMs < known.entry.nodeStartedAtMs) {
        return;
    }
    if (known.entry.instance != entry.instance || known.entry.peer != entry.peer
        || (entry.accepting && !known.entry.accepting)) {
        known.failures = 0;
        known.avoidUntil = {};
    }
    known.entry = entry;
}

void NodeDirectory::remove(const NodeName &node)
{
    m_nodes.erase(node);
}

bool NodeDirectory::recordReport(const NodeReport &report, TimePoint now)
{
    const auto entry = m_nodes.find(report.node);
    if (entry == m_nodes.end()) {
        return false;
    }
    Known &known = entry->second;
    const auto order = [](const NodeReport &item) {
        return std::pair(item.startedAtMs, item.sequence);
    };
    if (order(report) <= order(known.report)) {
        return false;
    }
    known.report = report;
    known.reportedAt = now;
    known.sentSinceReport = 0;
    return true;
}

double NodeDirectory::load(const Known &known, TimePoint now) const
{
    const int slots = std::max(known.entry.slots, 1);
    const bool reported = known.reportedAt != TimePoint{} && now - known.reportedAt < ReportLifetime;
    const int busy = reported ? known.report.running + known.report.queued + known.sentSinceReport : known.inFlight;
    return static_cast<double>(std::max(busy, known.inFlight)) / slots + FailureLoad * known.failures;
}

/// Many nodes that choose by the same reports do not all choose the same instance.
NodeDirectory::Known *
NodeDirectory::betterOfTwo(const std::vector<Known *> &candidates, IRandom &random, TimePoint now) const
{
    if (candidates.empty()) {
        return nullptr;
    }
    Known *first = candidates[random.below(candidates.size())];
    Known *second = candidates[random.below(candidates.size())];
    return load(*second, now) < load(*first, now) ? second : first;
}

std::optional<NodeEntry>
NodeDirectory::choose(const ServiceName &service, const std::set<NodeName> &excluded, IRandom &random, TimePoint now)
{
    std::vector<Known *> local;
    std::vector<Known *> remote;
    std::vector<Known *> avoided;
    for (auto &[name, known] : m_nodes) {
        if (known.entry.service != service || !known.entry.accepting || excluded.contains(name)) {
            continue;
        }
        const bool ownZone = known.entry.zone == m_ownZone;
        const bool unheard =
            !ownZone && known.reportedAt != TimePoint{} && now - known.reportedAt > RemoteReportLifetime;
        std::vector<Known *> &group = known.avoidUntil > now || unheard ? avoided : ownZone ? local : remote;
        group.push_back(&known);
    }
    Known *best = betterOfTwo(local, random, now);
    Known *other = betterOfTwo(remote, random, now);
    if (best == nullptr
        || (other != nullptr && load(*best, now) > LocalLoadLimit
            && load(*other, now) + RemoteAdvantage < load(*best, now))) {
        best = other;
    }
    if (best == nullptr) {
        best = betterOfTwo(avoided, random, now);
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
    Known &known = entry->second;
    known.inFlight = std::max(known.inFlight - 1, 0);
    const double failed = outcome == CallOutcome::Served ? 0 : 1;
    known.failures += FailureWeight * (failed - known.failures);
    if (outcome == CallOutcome::Unreachable) {
        known.avoidUntil = now + UnreachablePause;
    }
}

std::vector<NodeEntry> NodeDirectory::nodes() const
{
    std::vector<NodeEntry> entries;
    for (const auto &[name, known] : m_nodes) {
        entries.push_back(known.entry);
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
    for (const auto &[name, known] : m_nodes) {
        if (known.entry.accepting) {
            sums[known.entry.service] += known.entry.slots;
        }
    }
    return sums;
}

std::vector<NodeReport> NodeDirectory::reports(Duration maxAge, TimePoint now) const
{
    std::vector<NodeReport> recent;
    for (const auto &[name, known] : m_nodes) {
        if (known.reportedAt != TimePoint{} && now - known.reportedAt <= maxAge) {
            recent.push_back(known.report);
        }
    }
    return recent;
}

} // namespace vanillatack
