#include "rootadmission/rootadmissionplan.h"

#include "model/request.h"

#include <algorithm>

namespace vanillatack {

void RequestCost::setRoute(const RouteName &route, const std::map<ServiceName, double> &shares)
{
    m_shares[route] = shares;
}

void RequestCost::addReport(const NodeReport &report)
{
    for (const RouteLoad &load : report.loads) {
        if (load.workSeconds > 0) {
            HarmonicMean &mean = m_work[{report.service, load.route}];
            mean.sumOfRates += 1 / load.workSeconds;
            ++mean.count;
        }
    }
    for (const CallEdge &edge : report.edges) {
        Mean &mean = m_calls[{report.service, edge.caller}][edge.callee];
        mean.sum += edge.callsPerRequest;
        ++mean.count;
    }
}

std::map<ServiceName, double> RequestCost::slotSeconds(const RouteName &route) const
{
    std::map<ServiceName, double> cost;
    add(route, 1.0, 0, cost);
    return cost;
}

void RequestCost::add(const RouteName &route, double requests, int depth, std::map<ServiceName, double> &cost) const
{
    const auto shares = m_shares.find(route);
    if (shares == m_shares.end() || depth > MaxCallDepth) {
        return;
    }
    for (const auto &[service, share] : shares->second) {
        const ServiceRoute key{service, route};
        const auto work = m_work.find(key);
        if (work != m_work.end()) {
            cost[service] += requests * share * work->second.workSeconds();
        }
        const auto calls = m_calls.find(key);
        if (calls == m_calls.end()) {
            continue;
        }
        for (const auto &[callee, mean] : calls->second) {
            add(callee, requests * share * mean.value(), depth + 1, cost);
        }
    }
}

namespace {

/// Weight of the newest round in the mean utilization; smooths the counts in the reports, which are snapshots
/// and change with every request.
constexpr double UtilizationWeight = 0.3;
/// Utilization below which a service has free capacity, and above which it is overloaded. In between, the queue is
/// short and few slots are idle.
constexpr double LowUtilization = 0.85;
constexpr double HighUtilization = 1.05;
/// Factors by which the correction changes per round (one report interval: 250 ms, longer in large zones).
constexpr double StepUp = 1.05;
constexpr double StepDown = 0.92;
constexpr double MinFactor = 0.4;
constexpr double MaxFactor = 2.5;

} // namespace

void CapacityCorrection::update(const std::vector<NodeReport> &reports, const std::vector<ServiceName> &saturated)
{
    struct Sums {
        int busy = 0;
        int slots = 0;
    };
    std::map<ServiceName, Sums> sums;
    for (const NodeReport &report : reports) {
        sums[report.service].busy += report.running + report.queued;
        sums[report.service].slots += report.slots;
    }
    for (const auto &[service, sum] : sums) {
        if (sum.slots == 0) {
            continue;
        }
        State &state = m_services[service];
        state.utilization += UtilizationWeight * (static_cast<double>(sum.busy) / sum.slots - state.utilization);
        const bool limiting = std::find(saturated.begin(), saturated.end(), service) != saturated.end();
        if (state.utilization > HighUtilization) {
            state.factor = std::max(state.factor * StepDown, MinFactor);
        } else if (limiting && state.utilization < LowUtilization) {
            state.factor = std::min(state.factor * StepUp, MaxFactor);
        } else if (!limiting && state.factor < 1) {
            state.factor = std::min(state.factor * StepUp, 1.0);
        }
    }
}

double CapacityCorrection::factor(const ServiceName &service) const
{
    const auto entry = m_services.find(service);
    return entry == m_services.end() ? 1 : entry->second.factor;
}

namespace {

/// Largest share of a service's usable capacity that may be left for the service to count as saturated.
constexpr double SaturatedLeftShare = 0.01;

/// Usable slots of each service that are not reserved yet.
class CapacityBudget
{
public:
    CapacityBudget(const std::map<ServiceName, double> &slots, double usableShare)
    {
        for (const auto &[service, count] : slots) {
            m_total[service] = count * usableShare;
            m_left[service] = count * usableShare;
        }
    }

    /// Reserves capacity for up to the wanted share of the route's requests and returns the share that fits.
    double reserve(const RootRoute &route, double wanted)
    {
        double share = wanted;
        for (const auto &[service, left] : m_left) {
            const double demand = demandOf(route, service);
            if (demand > 0) {
                share = std::min(share, std::max(left, 0.0) / demand);
            }
        }
        for (auto &[service, left] : m_left) {
            left -= share * demandOf(route, service);
        }
        return share;
    }

    [[nodiscard]] std::vector<ServiceName> saturated() const
    {
        std::vector<ServiceName> services;
        for (const auto &[service, left] : m_left) {
            if (left <= m_total.at(service) * SaturatedLeftShare) {
                services.push_back(service);
            }
        }
        return services;
    }

    /// Largest share of a service's usable slots that one request per second of the route needs.
    [[nodiscard]] double bottleneckShare(const RootRoute &route) const
    {
        double largest = 0;
        for (const auto &[service, cost] : route.slotSeconds) {
            const auto total = m_total.find(service);
            if (total != m_total.end() && total->second > 0) {
                largest = std::max(largest, cost / total->second);
            }
        }
        return largest;
    }

private:
    static double demandOf(const RootRoute &route, const ServiceName &service)
    {
        const auto cost = route.slotSeconds.find(service);
        return cost == route.slotSeconds.end() ? 0 : cost->second * route.offeredPerSecond;
    }

    std::map<ServiceName, double> m_total;
    std::map<ServiceName, double> m_left;
};

} // namespace

RootAdmissionPlan planRootAdmission(const std::vector<RootRoute> &routes,
                                    const std::map<ServiceName, double> &slots,
                                    const RootAdmissionPlanSettings &settings)
{
    CapacityBudget capacity(slots, settings.usableShare);
    std::vector<const RootRoute *> order;
    order.reserve(routes.size());
    for (const RootRoute &route : routes) {
        order.push_back(&route);
    }
    std::sort(order.begin(), order.end(), [&capacity](const RootRoute *a, const RootRoute *b) {
        return std::pair(a->rank, capacity.bottleneckShare(*a)) < std::pair(b->rank, capacity.bottleneckShare(*b));
    });
    RootAdmissionPlan plan;
    for (const double part : {settings.minShare, 1.0 - settings.minShare}) {
        for (const RootRoute *route : order) {
            plan.shares[route->route] += capacity.reserve(*route, part);
        }
    }
    plan.saturated = capacity.saturated();
    return plan;
}

} // namespace vanillatack
