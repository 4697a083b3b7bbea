#include "proxy/internal/fleetcontrol.h"

#include "base/durations.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

/// Reports that a node sends in one second, at most; with more nodes each is told less often.
constexpr double ReportsPerSecond = 120;
constexpr Duration ShortestTick = std::chrono::milliseconds(250);
/// Reports older than this, or than some rounds, no longer count for rates and plans.
constexpr Duration ShortestReportLifetime = std::chrono::milliseconds(1500);
constexpr int ReportLifetimeRounds = 4;
/// Time over which offered requests are averaged.
constexpr double OfferedSeconds = 0.8;
/// Silence after which the row of a node is removed. Longer than a restart, so that restarts cost no extra writes.
constexpr Duration SilenceOfGoneNodes = std::chrono::seconds(12);
/// Change of an admitted share that is logged.
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
    entry.peer = m_parts.settings.peers;
    entry.service = m_parts.settings.service;
    entry.nodeStartedAtMs = m_startedAtMs;
    const auto &instance = m_parts.ingress.instance().current();
    if (instance) {
        entry.instance = instance->id;
        entry.slots = instance->slots;
    }
    entry.accepting = !m_leaving && m_parts.ingress.accepts();
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
    m_heardAt[entry.node] = m_parts.clock.now();
}

void FleetControl::onNodeGone(const NodeName &node)
{
    m_parts.decisions.record("fleet.node-gone", {{"peer", node.value}});
    m_parts.directory.remove(node);
    m_heardAt.erase(node);
}

void FleetControl::onReport(const NodeReport &report)
{
    m_heardAt[report.node] = m_parts.clock.now();
    m_parts.directory.recordReport(report, m_parts.clock.now());
}

void FleetControl::tick()
{
    publishOwn();
    const NodeReport report = makeReport();
    m_parts.directory.recordReport(report, m_parts.clock.now());
    sendReports(report);
    planEntrance();
    dealRates();
    removeSilentNodes();
    m_parts.decisions.flushCounts();
    setGauges(report);
    m_parts.loop.callAfter(round(), [this] {
        tick();
    });
}

/// Time between two reports. Grows with the fleet, since every node is told.
Duration FleetControl::round() const
{
    const double nodes = static_cast<double>(m_parts.directory.nodes().size());
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
    report.slots = m_parts.ingress.accepts() ? m_parts.ingress.gate().limit(now) : 0;
    report.running = m_parts.ingress.gate().running();
    report.queued = m_parts.ingress.gate().queued();
    report.loads = m_parts.ingress.loads();
    for (const auto &[route, rate] : m_offered) {
        report.loads.push_back({route, rate, 0});
    }
    report.edges = m_parts.ingress.callGraph().edges();
    report.demands = m_parts.rates.demands(now);
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

void FleetControl::sendReports(const NodeReport &report)
{
    for (const NodeEntry &node : m_parts.directory.nodes()) {
        if (node.node != m_parts.settings.node) {
            m_link->sendReport(node.peer, report);
        }
    }
}

void FleetControl::planEntrance()
{
    RequestCost cost;
    std::map<RouteName, EntranceRoute> routes;
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
    m_room.update(reports, m_scarce);
    for (const NodeReport &report : reports) {
        cost.addReport(report);
        for (const RouteLoad &load : report.loads) {
            const auto route = routes.find(load.route);
            if (route != routes.end()) {
                route->second.offeredPerSecond += load.offeredPerSecond;
            }
        }
    }
    std::vector<EntranceRoute> offered;
    for (auto &[name, route] : routes) {
        if (route.offeredPerSecond > 0) {
            route.slotSeconds = cost.slotSeconds(name);
            offered.push_back(route);
        }
    }
    std::map<ServiceName, double> slots;
    for (const auto &[service, count] : m_parts.directory.slots()) {
        slots[service] = count * m_room.factor(service);
    }
    EntrancePlan plan = vanillatack::planEntrance(offered, slots, {});
    m_scarce = std::move(plan.scarce);
    for (const auto &[route, share] : plan.shares) {
        if (std::abs(share - m_parts.shedder.share(route)) < NotableChange) {
            continue;
        }
        const EntranceRoute &planned = routes.at(route);
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

void FleetControl::dealRates()
{
    std::vector<NodeName> registered;
    for (const NodeEntry &node : m_parts.directory.nodes()) {
        registered.push_back(node.node);
    }
    const TimePoint now = m_parts.clock.now();
    m_parts.rates.rebalance(registered, m_parts.directory.reports(reportLifetime(), now), now);
}

/// The node with the first name among those heard removes the rows of silent ones, so that not all do it at once.
void FleetControl::removeSilentNodes()
{
    const TimePoint now = m_parts.clock.now();
    std::vector<NodeName> silent;
    for (auto &[node, heardAt] : m_heardAt) {
        if (now - heardAt < reportLifetime() && node < m_parts.settings.node) {
            return;
        }
        if (now - heardAt > SilenceOfGoneNodes) {
            silent.push_back(node);
            heardAt = now;
        }
    }
    for (const NodeName &node : silent) {
        m_registry.removeSilent(node);
    }
}

} // namespace vanillatack
