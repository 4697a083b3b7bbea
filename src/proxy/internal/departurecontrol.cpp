#include "proxy/internal/departurecontrol.h"

#include "base/durations.h"

#include <algorithm>
#include <limits>

namespace vanillatack {

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(25);
/// Nodes that remember the departures of this one. Some may be restarted at the same time.
constexpr std::size_t MaxKeepers = 5;
/// Nodes that are asked after a start; more, since other nodes may have been unresponsive when the keepers were chosen.
constexpr std::size_t MaxFormerKeepers = 8;
/// Keepers in the own zone below which nodes of other zones are chosen too.
constexpr std::size_t MinOwnZoneKeepers = 2;

} // namespace

DepartureControl::DepartureControl(const NodeDependencies &dependencies,
                                   const FailureDetector &detector,
                                   IDepartureControlListener &listener)
    : m_dependencies(dependencies)
    , m_detector(detector)
    , m_listener(listener)
    // The upper bits differ between processes, so that a late reply to an earlier process confirms nothing.
    , m_ledger(dependencies.settings.node, dependencies.random.next() >> 1, *this)
{
}

void DepartureControl::start(IPeerLink &link)
{
    m_link = &link;
    m_dependencies.ingress.startRecovery();
    m_ledger.startRecovery(m_dependencies.clock.now());
    scheduleCheck();
}

void DepartureControl::add(const Departure &departure, std::function<void(bool kept)> acknowledge)
{
    const TimePoint now = m_dependencies.clock.now();
    const bool isNew = m_ledger.add(departure, now);
    m_listener.onDeparturesChanged();
    m_ledger.await(departure.instance,
                   departure.startedAtMs,
                   now,
                   [this, instance = departure.instance, isNew, now, acknowledge = std::move(acknowledge)](bool kept) {
                       if (isNew || !kept) {
                           const Duration waited = m_dependencies.clock.now() - now;
                           m_dependencies.decisions.record(
                               kept ? "instance.departure-kept" : "instance.departure-not-kept",
                               {{"instance", instance}, {"waited_ms", millisecondsText(waited)}});
                       }
                       acknowledge(kept);
                   });
    scheduleCheck();
}

void DepartureControl::onOwnNode(const NodeEntry &entry)
{
    m_ledger.onStored(entry.departures, m_dependencies.clock.now());
}

void DepartureControl::onNodeRemoved(const NodeEntry &entry)
{
    m_archive.add(entry.node, entry.departures);
}

void DepartureControl::onRegistryRead()
{
    m_ledger.onRegistryRead(m_dependencies.clock.now());
}

void DepartureControl::onReportFrom(const Endpoint &sender)
{
    m_ledger.onReportFrom(sender, m_dependencies.clock.now());
}

void DepartureControl::onNote(const DepartureNote &note, const Endpoint &sender, std::uint64_t configVersion)
{
    DepartureNote reply = note;
    reply.sender = m_dependencies.settings.node;
    switch (note.kind) {
    case DepartureNoteKind::Keep:
        m_archive.add(note.node, note.departures);
        reply.kind = DepartureNoteKind::Kept;
        reply.departures.clear();
        m_link->send({sender}, reply);
        return;
    case DepartureNoteKind::Ask:
        if (const NodeEntry *entry = m_dependencies.directory.find(note.node)) {
            m_archive.add(note.node, entry->departures);
        }
        reply.kind = DepartureNoteKind::Told;
        reply.departures = m_archive.find(note.node);
        reply.configVersion = configVersion;
        m_link->send({sender}, reply);
        m_ledger.onAskFrom(sender, m_dependencies.clock.now());
        return;
    case DepartureNoteKind::Kept:
    case DepartureNoteKind::Told:
        m_toldConfigVersion = std::max(m_toldConfigVersion, note.configVersion); // 0 in Kept.
        m_ledger.onReply(note, sender, m_dependencies.clock.now());
        return;
    }
}

std::vector<DepartureKeeper> DepartureControl::keepers() const
{
    std::vector<DepartureKeeper> nodes = nodesAfterSelf(std::numeric_limits<std::size_t>::max());
    const std::set<NodeName> unresponsive = m_detector.unresponsive(m_dependencies.clock.now());
    std::erase_if(nodes, [&unresponsive](const DepartureKeeper &keeper) {
        return unresponsive.contains(keeper.node);
    });
    nodes.resize(std::min(nodes.size(), MaxKeepers));
    return nodes;
}

std::vector<DepartureKeeper> DepartureControl::formerKeepers() const
{
    return nodesAfterSelf(MaxFormerKeepers);
}

/// The nodes of the zone that follow this one by name, then those before it: in this order, each node keeps the
/// departures of equally many others. If the zone has too few, the relays of other zones follow, which send their
/// reports to this zone, and then the other nodes there.
std::vector<DepartureKeeper> DepartureControl::nodesAfterSelf(std::size_t limit) const
{
    const NodeName &self = m_dependencies.settings.node;
    std::vector<DepartureKeeper> result;
    const auto append = [&](std::vector<NodeName> names) {
        std::sort(names.begin(), names.end());
        std::rotate(names.begin(), std::upper_bound(names.begin(), names.end(), self), names.end());
        for (const NodeName &name : names) {
            const NodeEntry *entry = m_dependencies.directory.find(name);
            const bool ends = entry == nullptr || entry->leaving; // It soon remembers nothing.
            if (!ends && result.size() < limit) {
                result.push_back({name, entry->peerEndpoint});
            }
        }
    };
    append(m_detector.nodesOf(m_dependencies.settings.zone));
    if (result.size() < MinOwnZoneKeepers) {
        std::vector<NodeName> relays;
        std::vector<NodeName> others;
        for (const ZoneName &zone : m_detector.otherZones()) {
            const auto relay = m_detector.relay(zone, m_dependencies.clock.now());
            for (NodeName &node : m_detector.nodesOf(zone)) {
                (node == relay ? relays : others).push_back(std::move(node));
            }
        }
        append(std::move(relays));
        append(std::move(others));
    }
    return result;
}

void DepartureControl::sendNote(const Endpoint &node, const DepartureNote &note)
{
    m_link->send({node}, note);
}

void DepartureControl::onDeparturesRestored(const std::vector<Departure> &departures)
{
    for (const Departure &departure : departures) {
        m_dependencies.decisions.record(
            "instance.departure-restored",
            {{"instance", departure.instance}, {"started_ms", std::to_string(departure.startedAtMs)}});
    }
    m_dependencies.ingress.restore(departures);
    m_listener.onDeparturesChanged();
}

void DepartureControl::onRecovered(const std::string &reason)
{
    m_dependencies.decisions.record("instance.recovered",
                                    {{"reason", reason}, {"config", std::to_string(m_toldConfigVersion)}});
    m_dependencies.ingress.finishRecovery();
    m_listener.onRecovered(m_toldConfigVersion);
    m_listener.onDeparturesChanged();
}

/// Repeats while the ledger has pending work.
void DepartureControl::scheduleCheck()
{
    if (m_checkScheduled || !m_ledger.hasPendingWork()) {
        return;
    }
    m_checkScheduled = true;
    m_dependencies.loop.callAfter(CheckInterval, [this] {
        m_checkScheduled = false;
        m_ledger.check(m_dependencies.clock.now());
        scheduleCheck();
    });
}

} // namespace vanillatack
