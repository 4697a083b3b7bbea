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
            MeanOfRates &mean = m_work[{report.service, load.route}];
            mean.rates += 1 / load.workSeconds;
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

/// Weight of the newest round in the mean pressure; reports are snapshots of numbers that change from one request to
/// the next.
constexpr double PressureWeight = 0.3;
/// Pressure below which a service has room, and above which it has too much. Between them the queue is short and few
/// slots are idle.
constexpr double RoomyPressure = 0.85;
constexpr double CrowdedPressure = 1.05;
/// Steps of the correction in one round, about a quarter of a second.
constexpr double StepUp = 1.05;
constexpr double StepDown = 0.92;
constexpr double LeastFactor = 0.4;
constexpr double GreatestFactor = 2.5;

} // namespace

void CapacityCorrection::update(const std::vector<NodeReport> &reports, const std::vector<ServiceName> &scarce)
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
        state.pressure += PressureWeight * (static_cast<double>(sum.busy) / sum.slots - state.pressure);
        const bool cut = std::find(scarce.begin(), scarce.end(), service) != scarce.end();
        if (state.pressure > CrowdedPressure) {
            state.factor = std::max(state.factor * StepDown, LeastFactor);
        } else if (cut && state.pressure < RoomyPressure) {
            state.factor = std::min(state.factor * StepUp, GreatestFactor);
        } else if (!cut && state.factor < 1) {
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

/// Part of a service's room that counts as none.
constexpr double UsedUpShare = 0.01;

/// Slots that are left of each service.
class Room
{
public:
    Room(const std::map<ServiceName, double> &slots, double usableShare)
    {
        for (const auto &[service, count] : slots) {
            m_total[service] = count * usableShare;
            m_left[service] = count * usableShare;
        }
    }

    /// The part of the wanted share of the route's requests that fits, and takes the room for it.
    double take(const RootRoute &route, double wanted)
    {
        double share = wanted;
        for (const auto &[service, left] : m_left) {
            const double need = needed(route, service);
            if (need > 0) {
                share = std::min(share, std::max(left, 0.0) / need);
            }
        }
        for (auto &[service, left] : m_left) {
            left -= share * needed(route, service);
        }
        return share;
    }

    /// Services without room for more.
    [[nodiscard]] std::vector<ServiceName> used() const
    {
        std::vector<ServiceName> services;
        for (const auto &[service, left] : m_left) {
            if (left <= m_total.at(service) * UsedUpShare) {
                services.push_back(service);
            }
        }
        return services;
    }

    /// What one request takes of the service of which it takes most.
    [[nodiscard]] double scarcity(const RootRoute &route) const
    {
        double most = 0;
        for (const auto &[service, cost] : route.slotSeconds) {
            const auto total = m_total.find(service);
            if (total != m_total.end() && total->second > 0) {
                most = std::max(most, cost / total->second);
            }
        }
        return most;
    }

private:
    static double needed(const RootRoute &route, const ServiceName &service)
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
    Room room(slots, settings.usableShare);
    std::vector<const RootRoute *> order;
    order.reserve(routes.size());
    for (const RootRoute &route : routes) {
        order.push_back(&route);
    }
    std::sort(order.begin(), order.end(), [&room](const RootRoute *a, const RootRoute *b) {
        return std::pair(a->rank, room.scarcity(*a)) < std::pair(b->rank, room.scarcity(*b));
    });
    RootAdmissionPlan plan;
    for (const double part : {settings.leastShare, 1.0 - settings.leastShare}) {
        for (const RootRoute *route : order) {
            plan.shares[route->route] += room.take(*route, part);
        }
    }
    plan.saturated = room.used();
    return plan;
}

} // namespace vanillatack
