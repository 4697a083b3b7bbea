#include "proxy/internal/fleetcontrol.h"

#include "base/durations.h"
#include "base/log.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillatack {

namespace {

/// Limit of the reports that a node sends per second to all nodes of its zone; larger zones report less often.
constexpr double MaxReportsPerSecond = 120;
constexpr Duration MinReportInterval = std::chrono::milliseconds(250);
/// Interval until the registry has been read. Requests of workspaces with a rate limit are refused until then.
constexpr Duration StartupTickInterval = std::chrono::milliseconds(50);
/// A bundle is one datagram and must stay far below the maximum datagram size.
constexpr std::size_t MaxReportsPerBundle = 8;
/// Reports are used for plans for this time, or for ReportLifetimeIntervals report intervals if that is longer.
constexpr Duration MinReportLifetime = std::chrono::seconds(2);
constexpr int ReportLifetimeIntervals = 4;
/// Time constant of the average of offered requests.
constexpr double OfferedAveragingSeconds = 0.8;
/// Mean requests per second below which a route is no longer reported.
constexpr double MinOfferedRate = 0.01;
/// Time without reports after which a node's row is removed. Longer than a restart, so that restarts cost no extra
/// writes.
constexpr Duration NodeRemovalTimeout = std::chrono::seconds(12);
/// Time without reports after which the row of a node of another zone is removed; the relay of that zone removes it
/// earlier unless the whole zone has failed. Longer than a usual network partition, during which the nodes of the other
/// zone are alive.
constexpr Duration OtherZoneRemovalTimeout = std::chrono::seconds(40);
/// Nodes of the own zone that are asked for the changes of a table when neither the relay nor the store serves it.
/// Limited, so that an outage of the store does not make all nodes of a large zone ask each other.
constexpr std::size_t MaxOwnZoneSources = 3;
/// Smallest change of an admitted share, or of a pledged share of a rate, that is logged.
constexpr double MinLoggedChange = 0.1;

/// Returns the routes that the reports name. The configuration may have many more, which nobody uses.
std::set<RouteName> reportedRoutes(const std::vector<NodeReport> &reports)
{
    std::set<RouteName> names;
    for (const NodeReport &report : reports) {
        for (const RouteLoad &load : report.loads) {
            names.insert(load.route);
        }
        for (const CallEdge &edge : report.edges) {
            names.insert(edge.caller);
            names.insert(edge.callee);
        }
    }
    return names;
}

} // namespace

FleetControl::FleetControl(const NodeDependencies &dependencies, EgressProxy &egress, ITableStore &store)
    : m_dependencies(dependencies)
    , m_egress(egress)
    , m_registry(
          store,
          dependencies.clock,
          dependencies.random,
          [&loop = dependencies.loop](Duration delay, std::function<void()> call) {
              loop.callAfter(delay, std::move(call));
          },
          *this,
          dependencies.settings.node)
    , m_detector(dependencies.settings.node, dependencies.settings.zone)
    , m_departures(dependencies, m_detector, *this)
{
}

void FleetControl::start(IPeerLink &link, std::uint64_t startedAtMs)
{
    m_link = &link;
    m_startedAtMs = startedAtMs;
    m_lastTickAt = m_dependencies.clock.now();
    m_departures.start(link);
    m_egress.requireConfigVersion(std::numeric_limits<std::uint64_t>::max());
    publishLocalState();
    m_registry.start();
    tick();
}

void FleetControl::publishLocalState()
{
    NodeEntry entry;
    entry.node = m_dependencies.settings.node;
    entry.zone = m_dependencies.settings.zone;
    entry.peerEndpoint = m_dependencies.settings.peerEndpoint;
    entry.service = m_dependencies.settings.service;
    entry.nodeStartedAtMs = m_startedAtMs;
    const auto &instance = m_dependencies.ingress.instance().current();
    if (instance) {
        entry.instance = instance->id;
        entry.slots = instance->slots;
    }
    entry.accepting = !m_leaving && m_dependencies.ingress.accepts();
    entry.leaving = m_leaving;
    entry.departures = m_departures.departures();
    const NodeEntry *previous = m_dependencies.directory.find(entry.node);
    if (previous != nullptr && *previous == entry) {
        return;
    }
    m_dependencies.directory.update(entry);
    m_registry.publish(entry);
}

void FleetControl::leave()
{
    m_leaving = true;
    publishLocalState();
}

void FleetControl::onNode(const NodeEntry &entry)
{
    const NodeEntry *previous = m_dependencies.directory.find(entry.node);
    if (previous == nullptr || previous->accepting != entry.accepting || previous->instance != entry.instance) {
        m_dependencies.decisions.record("fleet.node",
                                        {{"peer", entry.node.value},
                                         {"service", entry.service.value},
                                         {"instance", entry.instance},
                                         {"accepts", entry.accepting ? "yes" : "no"}});
    }
    m_dependencies.directory.update(entry);
    m_detector.add(entry.node, entry.zone, m_dependencies.clock.now());
}

void FleetControl::onNodeRemoved(const NodeName &node)
{
    m_dependencies.decisions.record("fleet.node-gone", {{"peer", node.value}});
    m_removalAttemptedAt.erase(node);
    if (const NodeEntry *entry = m_dependencies.directory.find(node)) {
        m_departures.onNodeRemoved(*entry);
    }
    m_dependencies.directory.remove(node);
    m_detector.remove(node);
}

void FleetControl::onOwnNode(const NodeEntry &entry)
{
    m_departures.onOwnNode(entry);
}

void FleetControl::onRegistryConfirmed()
{
    m_departures.onRegistryRead();
}

void FleetControl::onReport(const NodeReport &report, const Endpoint &sender)
{
    recordReport(report);
    m_departures.onReportFrom(sender);
}

void FleetControl::onDepartureNote(const DepartureNote &note, const Endpoint &sender)
{
    m_departures.onNote(note, sender, m_egress.routeTable().config().version);
}

void FleetControl::onDeparturesChanged()
{
    publishLocalState();
}

void FleetControl::onRecovered(std::uint64_t configVersion)
{
    m_egress.requireConfigVersion(configVersion);
}

void FleetControl::addDeparture(const Departure &departure, std::function<void(bool kept)> acknowledge)
{
    m_departures.add(departure, std::move(acknowledge));
}

void FleetControl::recordReport(const NodeReport &report)
{
    const TimePoint now = m_dependencies.clock.now();
    if (m_dependencies.directory.recordReport(report, now)) {
        m_detector.recordReport(report.node, now);
    }
}

void FleetControl::onBundle(const ReportBundle &bundle, const Endpoint &sender)
{
    m_departures.onReportFrom(sender);
    for (const NodeReport &report : bundle.reports) {
        recordReport(report);
    }
    if (bundle.spread) {
        m_link->send(endpoints(m_detector.nodesOf(m_dependencies.settings.zone)),
                     ReportBundle{.spread = false, .reports = bundle.reports});
    }
}

void FleetControl::tick()
{
    const absl::Cleanup scheduleNext = [this] {
        m_dependencies.loop.callAfter(m_registry.loaded() ? reportInterval() : StartupTickInterval, [this] {
            tick();
        });
    };
    publishLocalState();
    m_detector.setReportInterval(reportInterval());
    const NodeReport report = makeReport();
    m_dependencies.directory.recordReport(report, m_dependencies.clock.now());
    m_link->send(endpoints(m_detector.nodesOf(m_dependencies.settings.zone)), report);
    ++m_tickCount;
    sendBundles();
    updateAdmittedShares();
    updateRateLimiter();
    removeUnresponsiveNodes();
    m_dependencies.decisions.logOmittedCounts();
    setGauges(report);
}

/// Time between two reports of this node. Grows with the zone, since each report goes to every node of the zone.
Duration FleetControl::reportInterval() const
{
    const auto nodes = static_cast<double>(m_detector.nodesOf(m_dependencies.settings.zone).size());
    const std::chrono::duration<double> needed(nodes / MaxReportsPerSecond);
    return std::max(std::chrono::duration_cast<Duration>(needed), MinReportInterval);
}

Duration FleetControl::reportLifetime() const
{
    return std::max(reportInterval() * ReportLifetimeIntervals, MinReportLifetime);
}

NodeReport FleetControl::makeReport()
{
    const TimePoint now = m_dependencies.clock.now();
    const double elapsed = std::max(toSeconds(now - m_lastTickAt), 1e-3);
    m_lastTickAt = now;
    const std::map<RouteName, int> offered = m_egress.popOfferedCounts();
    for (const auto &[route, count] : offered) {
        m_offeredRates.try_emplace(route, 0.0);
    }
    const double weight = 1 - std::exp(-elapsed / OfferedAveragingSeconds);
    for (auto &[route, rate] : m_offeredRates) {
        const auto count = offered.find(route);
        rate += weight * ((count == offered.end() ? 0 : count->second) / elapsed - rate);
    }
    std::erase_if(m_offeredRates, [](const auto &entry) {
        return entry.second < MinOfferedRate;
    });

    NodeReport report;
    report.node = m_dependencies.settings.node;
    report.startedAtMs = m_startedAtMs;
    report.sequence = ++m_sequence;
    report.service = m_dependencies.settings.service;
    report.slots = m_dependencies.ingress.accepts() ? m_dependencies.ingress.slotQueue().sustainableLimit(now) : 0;
    report.running = m_dependencies.ingress.slotQueue().running();
    report.queued = m_dependencies.ingress.slotQueue().queued();
    report.loads = m_dependencies.ingress.workTimes();
    for (const auto &[route, rate] : m_offeredRates) {
        report.loads.push_back({route, rate, 0});
    }
    report.edges = m_dependencies.ingress.callGraph().edges();
    const std::set<NodeName> unresponsive = m_detector.unresponsive(now);
    report.silent.assign(unresponsive.begin(), unresponsive.end());
    for (const NodeEntry &node : m_dependencies.directory.nodes()) {
        if (node.leaving) {
            report.leaving.push_back(node.node);
        }
    }
    report.registeredDigest = digestOf(registeredNodes());
    return report;
}

void FleetControl::setGauges(const NodeReport &report)
{
    IMetrics &metrics = m_dependencies.metrics;
    metrics.setGauge("config_version", static_cast<double>(m_egress.routeTable().config().version));
    metrics.setGauge("concurrency_limit", report.slots);
    metrics.setGauge("running_requests", report.running);
    metrics.setGauge("queued_requests", report.queued);
    metrics.setGauge("draining", m_leaving ? 1 : 0);
    metrics.setGauge("dropped_log_lines",
                     static_cast<double>(m_dependencies.decisions.droppedLines() + droppedLogLines()));
    metrics.setGauge("ready", registryLoaded() && !m_leaving ? 1 : 0);
    const auto age = m_egress.freshness().age(m_dependencies.clock.elapsed());
    // -1: not confirmed yet.
    metrics.setGauge("platform_silence_seconds", age ? toSeconds(*age) : -1);
}

/// Sends the reports of the zone to the relays of the other zones, if this node is the zone relay.
void FleetControl::sendBundles()
{
    const TimePoint now = m_dependencies.clock.now();
    if (relayUnlessSelf()) {
        return;
    }
    std::vector<Endpoint> relays;
    for (const ZoneName &zone : m_detector.otherZones()) {
        const std::vector<NodeName> nodes = m_detector.nodesOf(zone);
        // If no relay of the zone is known, its nodes are tried in turn until one answers.
        const NodeName relay = m_detector.relay(zone, now).value_or(nodes[m_tickCount % nodes.size()]);
        const std::vector<Endpoint> found = endpoints({relay});
        relays.insert(relays.end(), found.begin(), found.end());
    }
    ReportBundle bundle{.spread = true, .reports = {}};
    for (NodeReport &report : m_dependencies.directory.reports(reportLifetime(), now)) {
        const NodeEntry *node = m_dependencies.directory.find(report.node);
        if (node->zone != m_dependencies.settings.zone) {
            continue;
        }
        bundle.reports.push_back(std::move(report));
        if (bundle.reports.size() == MaxReportsPerBundle) {
            m_link->send(relays, bundle);
            bundle.reports.clear();
        }
    }
    if (!bundle.reports.empty()) {
        m_link->send(relays, bundle);
    }
}

std::optional<NodeName> FleetControl::relayUnlessSelf() const
{
    const auto relay = m_detector.relay(m_dependencies.settings.zone, m_dependencies.clock.now());
    return relay == m_dependencies.settings.node ? std::nullopt : relay;
}

std::vector<NodeName> FleetControl::alternativeSources() const
{
    const TimePoint now = m_dependencies.clock.now();
    std::vector<NodeName> candidates = m_detector.responsiveNodes(m_dependencies.settings.zone, now);
    std::vector<NodeName> sources;
    while (!candidates.empty() && sources.size() < MaxOwnZoneSources) {
        const auto chosen =
            candidates.begin() + static_cast<std::ptrdiff_t>(m_dependencies.random.below(candidates.size()));
        sources.push_back(std::move(*chosen));
        candidates.erase(chosen);
    }
    for (const ZoneName &zone : m_detector.otherZones()) {
        if (auto relay = m_detector.relay(zone, now)) {
            sources.push_back(std::move(*relay));
        }
    }
    return sources;
}

std::vector<Endpoint> FleetControl::endpoints(const std::vector<NodeName> &nodes) const
{
    std::vector<Endpoint> result;
    for (const NodeName &node : nodes) {
        if (const NodeEntry *entry = m_dependencies.directory.find(node)) {
            result.push_back(entry->peerEndpoint);
        }
    }
    return result;
}

/// Computes and sets the admitted share of each route's root requests.
void FleetControl::updateAdmittedShares()
{
    const std::vector<NodeReport> reports =
        m_dependencies.directory.reports(reportLifetime(), m_dependencies.clock.now());
    RequestCost cost;
    std::map<RouteName, RootRoute> routes;
    for (const RouteName &name : reportedRoutes(reports)) {
        const TrafficRoute *route = m_egress.routeTable().findByName(name);
        if (route == nullptr) {
            continue;
        }
        double totalWeight = 0;
        for (const WeightedService &weighted : route->services) {
            totalWeight += weighted.weight;
        }
        std::map<ServiceName, double> shares;
        for (const WeightedService &weighted : route->services) {
            shares[weighted.service] += totalWeight > 0 ? weighted.weight / totalWeight : 0;
        }
        cost.setRoute(name, shares);
        routes[name].route = name;
        routes[name].rank = route->rank;
    }
    m_capacityCorrection.update(reports, m_saturatedServices);
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
    for (const auto &[service, count] : m_dependencies.directory.slots()) {
        slots[service] = count * m_capacityCorrection.factor(service);
    }
    RootAdmissionPlan plan = vanillatack::planRootAdmission(offered, slots, {});
    m_saturatedServices = std::move(plan.saturated);
    for (const auto &[route, share] : plan.shares) {
        if (std::abs(share - m_dependencies.shedder.share(route)) < MinLoggedChange) {
            continue;
        }
        const RootRoute &planned = routes.at(route);
        std::string needs; // Per service: slot seconds of one request / corrected slots.
        for (const auto &[service, need] : planned.slotSeconds) {
            needs += absl::StrFormat("%s:%.3f/%.0f,", service.value, need, slots[service]);
        }
        m_dependencies.decisions.record("entrance.share",
                                        {{"route", route.value},
                                         {"share", absl::StrFormat("%.2f", share)},
                                         {"offered_per_s", absl::StrFormat("%.1f", planned.offeredPerSecond)},
                                         {"slot_seconds", needs}});
    }
    m_dependencies.shedder.setShares(std::move(plan.shares));
}

std::set<NodeName> FleetControl::registeredNodes() const
{
    std::set<NodeName> names;
    for (const NodeEntry &node : m_dependencies.directory.nodes()) {
        names.insert(node.node);
    }
    return names;
}

/// Updates the rate limiter with the registered nodes and with what each node with a recent report states about the
/// owners that it chooses.
void FleetControl::updateRateLimiter()
{
    if (!m_registry.loaded()) {
        return; // The other nodes are not known yet.
    }
    const TimePoint now = m_dependencies.clock.now();
    std::vector<OwnerStatement> statements;
    for (const NodeReport &report : m_dependencies.directory.reports(reportLifetime(), now)) {
        if (m_detector.reportedRecently(report.node, now)) {
            OwnerStatement statement{
                report.node, {report.silent.begin(), report.silent.end()}, report.registeredDigest};
            statement.notOwners.insert(report.leaving.begin(), report.leaving.end());
            statements.push_back(std::move(statement));
        }
    }
    m_dependencies.rateLimiter.update(registeredNodes(), std::move(statements), now);
    logPledges();
}

void FleetControl::logPledges()
{
    std::map<WorkspaceName, double> pledged = m_dependencies.rateLimiter.pledgedShares();
    for (const auto &[workspace, share] : m_loggedPledges) {
        pledged.try_emplace(workspace, 0.0);
    }
    for (const auto &[workspace, share] : pledged) {
        double &logged = m_loggedPledges[workspace];
        if (std::abs(share - logged) < MinLoggedChange && (share == 0) == (logged == 0)) {
            continue;
        }
        m_dependencies.decisions.record(
            "rates.pledged",
            {{"workspace", workspace.value},
             {"part", absl::StrFormat("%.2f", share)},
             {"before", absl::StrFormat("%.2f", logged)},
             {"nodes", std::to_string(m_dependencies.directory.nodes().size())},
             {"silent", std::to_string(m_detector.unresponsive(m_dependencies.clock.now()).size())},
             {"differing_views", std::to_string(m_dependencies.rateLimiter.differingViews())}});
        logged = share;
    }
    std::erase_if(m_loggedPledges, [](const auto &entry) {
        return entry.second == 0;
    });
}

/// Removes the rows of unresponsive nodes. Only the zone relay does so, to avoid simultaneous writes of all nodes.
void FleetControl::removeUnresponsiveNodes()
{
    const TimePoint now = m_dependencies.clock.now();
    if (relayUnlessSelf()) {
        return;
    }
    for (const NodeEntry &node : m_dependencies.directory.nodes()) {
        const bool ownZone = node.zone == m_dependencies.settings.zone;
        const Duration limit = ownZone ? NodeRemovalTimeout : OtherZoneRemovalTimeout;
        if (m_detector.timeSinceLastReport(node.node, now) < limit) {
            continue;
        }
        TimePoint &attemptedAt = m_removalAttemptedAt[node.node];
        if (attemptedAt == TimePoint{} || now - attemptedAt > limit) {
            attemptedAt = now;
            m_registry.removeUnresponsive(node.node);
        }
    }
}

} // namespace vanillatack
