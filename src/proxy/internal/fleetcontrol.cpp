#include "proxy/internal/fleetcontrol.h"

#include "base/durations.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

/// Reports that a node sends to its zone in one second, at most; in larger zones each node is told less often.
constexpr double ReportsPerSecond = 120;
constexpr Duration ShortestTick = std::chrono::milliseconds(250);
/// Reports in one datagram, so that a bundle stays far below the longest datagram.
constexpr std::size_t ReportsPerBundle = 8;
/// Reports older than this, or than some rounds, no longer count for plans.
constexpr Duration ShortestReportLifetime = std::chrono::seconds(2);
constexpr int ReportLifetimeRounds = 4;
/// Time over which offered requests are averaged.
constexpr double OfferedSeconds = 0.8;
/// Silence after which the row of a node is removed. Longer than a restart, so that restarts cost no extra writes.
constexpr Duration SilenceOfGoneNodes = std::chrono::seconds(12);
/// The same for nodes of other zones, which their own relay removes unless the whole zone is gone. Longer than the
/// usual cut of a zone, whose nodes are alive.
constexpr Duration SilenceOfGoneZones = std::chrono::seconds(40);
/// Change of an admitted share, or of a pledged part of a rate, that is logged.
constexpr double NotableChange = 0.1;

} // namespace

FleetControl::FleetControl(const NodeParts &parts, EgressProxy &egress, IVersionedTable &table)
    : m_parts(parts)
    , m_egress(egress)
    , m_registry(
          table,
          parts.clock,
          parts.random,
          [&loop = parts.loop](Duration delay, std::function<void()> call) {
              loop.callAfter(delay, std::move(call));
          },
          *this,
          parts.settings.node)
    , m_detector(parts.settings.node, parts.settings.zone)
{
}

void FleetControl::start(IPeerLink &link, std::uint64_t startedAtMs)
{
    m_link = &link;
    m_startedAtMs = startedAtMs;
    m_tickedAt = m_parts.clock.now();
    publishOwn();
    m_registry.start();
    tick();
}

void FleetControl::publishOwn()
{
    NodeEntry entry;
    entry.node = m_parts.settings.node;
    entry.zone = m_parts.settings.zone;
    entry.peer = m_parts.settings.peerEndpoint;
    entry.service = m_parts.settings.service;
    entry.nodeStartedAtMs = m_startedAtMs;
    const auto &instance = m_parts.ingress.instance().current();
    if (instance) {
        entry.instance = instance->id;
        entry.slots = instance->slots;
    }
    entry.accepting = !m_leaving && m_parts.ingress.accepts();
    entry.leaving = m_leaving;
    const NodeEntry *known = m_parts.directory.find(entry.node);
    if (known != nullptr && *known == entry) {
        return;
    }
    m_parts.directory.update(entry);
    m_registry.publish(entry);
}

void FleetControl::leave()
{
    m_leaving = true;
    publishOwn();
}

void FleetControl::onNode(const NodeEntry &entry)
{
    const NodeEntry *known = m_parts.directory.find(entry.node);
    if (known == nullptr || known->accepting != entry.accepting || known->instance != entry.instance) {
        m_parts.decisions.record("fleet.node",
                                 {{"peer", entry.node.value},
                                  {"service", entry.service.value},
                                  {"instance", entry.instance},
                                  {"accepts", entry.accepting ? "yes" : "no"}});
    }
    m_parts.directory.update(entry);
    m_detector.add(entry.node, entry.zone, m_parts.clock.now());
}

void FleetControl::onNodeRemoved(const NodeName &node)
{
    m_parts.decisions.record("fleet.node-gone", {{"peer", node.value}});
    m_removalTriedAt.erase(node);
    m_parts.directory.remove(node);
    m_detector.remove(node);
}

void FleetControl::onReport(const NodeReport &report)
{
    const TimePoint now = m_parts.clock.now();
    if (m_parts.directory.recordReport(report, now)) {
        m_detector.recordReceived(report.node, now);
    }
}

void FleetControl::onBundle(const ReportBundle &bundle)
{
    for (const NodeReport &report : bundle.reports) {
        onReport(report);
    }
    if (bundle.spread) {
        m_link->send(endpoints(m_detector.nodesOf(m_parts.settings.zone)),
                     ReportBundle{.spread = false, .reports = bundle.reports});
    }
}

void FleetControl::tick()
{
    publishOwn();
    m_detector.setReportInterval(round());
    const NodeReport report = makeReport();
    m_parts.directory.recordReport(report, m_parts.clock.now());
    m_link->send(endpoints(m_detector.nodesOf(m_parts.settings.zone)), report);
    ++m_rounds;
    sendBundles();
    planRootAdmission();
    assignRates();
    removeSilentNodes();
    m_parts.decisions.flushCounts();
    setGauges(report);
    m_parts.loop.callAfter(round(), [this] {
        tick();
    });
}

/// Time between two reports. Grows with the zone, since every node of it is told.
Duration FleetControl::round() const
{
    const auto nodes = static_cast<double>(m_detector.nodesOf(m_parts.settings.zone).size());
    const std::chrono::duration<double> needed(nodes / ReportsPerSecond);
    return std::max(std::chrono::duration_cast<Duration>(needed), ShortestTick);
}

Duration FleetControl::reportLifetime() const
{
    return std::max(round() * ReportLifetimeRounds, ShortestReportLifetime);
}

NodeReport FleetControl::makeReport()
{
    const TimePoint now = m_parts.clock.now();
    const double elapsed = std::max(toSeconds(now - m_tickedAt), 1e-3);
    m_tickedAt = now;
    const std::map<RouteName, int> offered = m_egress.takeOffered();
    for (const auto &[route, count] : offered) {
        m_offered.try_emplace(route, 0.0);
    }
    const double weight = 1 - std::exp(-elapsed / OfferedSeconds);
    for (auto &[route, rate] : m_offered) {
        const auto count = offered.find(route);
        rate += weight * ((count == offered.end() ? 0 : count->second) / elapsed - rate);
    }
    std::erase_if(m_offered, [](const auto &entry) {
        return entry.second < 0.01;
    });

    NodeReport report;
    report.node = m_parts.settings.node;
    report.startedAtMs = m_startedAtMs;
    report.sequence = ++m_sequence;
    report.service = m_parts.settings.service;
    report.slots = m_parts.ingress.accepts() ? m_parts.ingress.slotQueue().limit(now) : 0;
    report.running = m_parts.ingress.slotQueue().running();
    report.queued = m_parts.ingress.slotQueue().queued();
    report.loads = m_parts.ingress.loads();
    for (const auto &[route, rate] : m_offered) {
        report.loads.push_back({route, rate, 0});
    }
    report.edges = m_parts.ingress.callGraph().edges();
    const std::set<NodeName> silent = m_detector.unresponsive(now);
    report.silent.assign(silent.begin(), silent.end());
    return report;
}

void FleetControl::setGauges(const NodeReport &report)
{
    IMetrics &metrics = m_parts.metrics;
    metrics.setGauge("config_version", static_cast<double>(m_egress.table().config().version));
    metrics.setGauge("concurrency_limit", report.slots);
    metrics.setGauge("running_requests", report.running);
    metrics.setGauge("queued_requests", report.queued);
    metrics.setGauge("draining", m_leaving ? 1 : 0);
    metrics.setGauge("ready", joined() && !m_leaving ? 1 : 0);
    const auto age = m_egress.freshness().age(m_parts.clock.elapsed());
    metrics.setGauge("platform_silence_seconds", age ? toSeconds(*age) : -1);
}

/// As the relay of the zone: sends its reports to the relays of the other zones.
void FleetControl::sendBundles()
{
    const TimePoint now = m_parts.clock.now();
    if (otherRelay()) {
        return;
    }
    std::vector<Endpoint> relays;
    for (const ZoneName &zone : m_detector.otherZones()) {
        const std::vector<NodeName> nodes = m_detector.nodesOf(zone);
        // A zone that is silent is tried at another node each time, until one answers.
        const NodeName relay = m_detector.relay(zone, now).value_or(nodes[m_rounds % nodes.size()]);
        const std::vector<Endpoint> found = endpoints({relay});
        relays.insert(relays.end(), found.begin(), found.end());
    }
    ReportBundle bundle{.spread = true, .reports = {}};
    for (NodeReport &report : m_parts.directory.reports(reportLifetime(), now)) {
        const NodeEntry *node = m_parts.directory.find(report.node);
        if (node->zone != m_parts.settings.zone) {
            continue;
        }
        bundle.reports.push_back(std::move(report));
        if (bundle.reports.size() == ReportsPerBundle) {
            m_link->send(relays, bundle);
            bundle.reports.clear();
        }
    }
    if (!bundle.reports.empty()) {
        m_link->send(relays, bundle);
    }
}

std::optional<NodeName> FleetControl::otherRelay() const
{
    const auto relay = m_detector.relay(m_parts.settings.zone, m_parts.clock.now());
    return relay == m_parts.settings.node ? std::nullopt : relay;
}

std::vector<Endpoint> FleetControl::endpoints(const std::vector<NodeName> &nodes) const
{
    std::vector<Endpoint> result;
    for (const NodeName &node : nodes) {
        if (const NodeEntry *entry = m_parts.directory.find(node)) {
            result.push_back(entry->peer);
        }
    }
    return result;
}

void FleetControl::planRootAdmission()
{
    RequestCost cost;
    std::map<RouteName, RootRoute> routes;
    for (const HostRoutes &host : m_egress.table().config().hosts) {
        for (const TrafficRoute &route : host.routes) {
            double total = 0;
            for (const WeightedService &part : route.services) {
                total += part.weight;
            }
            std::map<ServiceName, double> shares;
            for (const WeightedService &part : route.services) {
                shares[part.service] += total > 0 ? part.weight / total : 0;
            }
            cost.setRoute(route.name, shares);
            routes[route.name].route = route.name;
            routes[route.name].rank = route.rank;
        }
    }
    const std::vector<NodeReport> reports = m_parts.directory.reports(reportLifetime(), m_parts.clock.now());
    m_capacityCorrection.update(reports, m_saturated);
    for (const NodeReport &report : reports) {
        cost.addReport(report);
        for (const RouteLoad &load : report.loads) {
            const auto route = routes.find(load.route);
            if (route != routes.end()) {
                route->second.offeredPerSecond += load.offeredPerSecond;
            }
        }
    }
    std::vector<RootRoute> offered;
    for (auto &[name, route] : routes) {
        if (route.offeredPerSecond > 0) {
            route.slotSeconds = cost.slotSeconds(name);
            offered.push_back(route);
        }
    }
    std::map<ServiceName, double> slots;
    for (const auto &[service, count] : m_parts.directory.slots()) {
        slots[service] = count * m_capacityCorrection.factor(service);
    }
    RootAdmissionPlan plan = vanillatack::planRootAdmission(offered, slots, {});
    m_saturated = std::move(plan.saturated);
    for (const auto &[route, share] : plan.shares) {
        if (std::abs(share - m_parts.shedder.share(route)) < NotableChange) {
            continue;
        }
        const RootRoute &planned = routes.at(route);
        std::string needs;
        for (const auto &[service, need] : planned.slotSeconds) {
            needs += absl::StrFormat("%s:%.3f/%.0f,", service.value, need, slots[service]);
        }
        m_parts.decisions.record("entrance.share",
                                 {{"route", route.value},
                                  {"share", absl::StrFormat("%.2f", share)},
                                  {"offered_per_s", absl::StrFormat("%.1f", planned.offeredPerSecond)},
                                  {"slot_seconds", needs}});
    }
    m_parts.shedder.setShares(std::move(plan.shares));
}

/// Tells the rates who is registered, who may own a rate, and what the nodes in touch hear.
void FleetControl::assignRates()
{
    const TimePoint now = m_parts.clock.now();
    std::set<NodeName> registered;
    std::set<NodeName> candidates;
    for (const NodeEntry &node : m_parts.directory.nodes()) {
        registered.insert(node.node);
        if (!node.leaving) {
            candidates.insert(node.node);
        }
    }
    std::vector<NodeView> views;
    for (const NodeReport &report : m_parts.directory.reports(reportLifetime(), now)) {
        if (m_detector.wasSeenRecently(report.node, now)) {
            views.push_back({report.node, {report.silent.begin(), report.silent.end()}});
        }
    }
    m_parts.rates.update(registered, candidates, std::move(views), now);
    logPledges();
}

void FleetControl::logPledges()
{
    std::map<WorkspaceName, double> pledged = m_parts.rates.pledgedShares();
    for (const auto &[workspace, part] : m_loggedPledges) {
        pledged.try_emplace(workspace, 0.0);
    }
    for (const auto &[workspace, part] : pledged) {
        double &logged = m_loggedPledges[workspace];
        if (std::abs(part - logged) < NotableChange && (part == 0) == (logged == 0)) {
            continue;
        }
        m_parts.decisions.record("rates.pledged",
                                 {{"workspace", workspace.value},
                                  {"part", absl::StrFormat("%.2f", part)},
                                  {"before", absl::StrFormat("%.2f", logged)},
                                  {"nodes", std::to_string(m_parts.directory.nodes().size())},
                                  {"silent", std::to_string(m_detector.unresponsive(m_parts.clock.now()).size())}});
        logged = part;
    }
    std::erase_if(m_loggedPledges, [](const auto &entry) {
        return entry.second == 0;
    });
}

/// The relay of the zone removes the rows of silent nodes, so that not all nodes do it at once.
void FleetControl::removeSilentNodes()
{
    const TimePoint now = m_parts.clock.now();
    if (otherRelay()) {
        return;
    }
    for (const NodeEntry &node : m_parts.directory.nodes()) {
        const bool ownZone = node.zone == m_parts.settings.zone;
        const Duration limit = ownZone ? SilenceOfGoneNodes : SilenceOfGoneZones;
        if (m_detector.timeSinceLastSeen(node.node, now) < limit) {
            continue;
        }
        TimePoint &triedAt = m_removalTriedAt[node.node];
        if (triedAt == TimePoint{} || now - triedAt > limit) {
            triedAt = now;
            m_registry.removeUnresponsive(node.node);
        }
    }
}

} // namespace vanillatack
