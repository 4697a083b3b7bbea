#pragma once

#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// Demand and cost of the root requests of one route.
struct RootRoute {
    RouteName route;
    int rank = 0; ///< Rank of importance; 0 is the most important and shed last.
    double offeredPerSecond = 0; ///< Offered root requests per second over the whole fleet.
    std::map<ServiceName, double> slotSeconds; ///< Slot seconds of one request at each service, inner calls included.
};

/// Estimates from the reports of the nodes how many slot seconds a request of each route needs at each service.
class RequestCost
{
public:
    /// shares: the services of the route with the share of its requests that each receives, 0 to 1.
    void setRoute(const RouteName &route, const std::map<ServiceName, double> &shares);
    void addReport(const NodeReport &report);

    /// Slot seconds of one request at each service, inner calls included.
    [[nodiscard]] std::map<ServiceName, double> slotSeconds(const RouteName &route) const;

private:
    struct Mean {
        double sum = 0;
        int count = 0;
        [[nodiscard]] double value() const
        {
            return count == 0 ? 0 : sum / count;
        }
    };
    /// Harmonic mean of the work times: instances of one service differ in speed, and their throughputs add up.
    struct HarmonicMean {
        double sumOfRates = 0; ///< Requests per second and slot.
        int count = 0;
        [[nodiscard]] double workSeconds() const
        {
            return sumOfRates == 0 ? 0 : count / sumOfRates;
        }
    };
    using ServiceRoute = std::pair<ServiceName, RouteName>;

    void add(const RouteName &route, double requests, int depth, std::map<ServiceName, double> &cost) const;

    std::map<RouteName, std::map<ServiceName, double>> m_shares;
    std::map<ServiceRoute, HarmonicMean> m_work;
    std::map<ServiceRoute, std::map<RouteName, Mean>> m_calls;
};

struct RootAdmissionPlanSettings {
    /// Share of a service's slots to plan with; the rest absorbs bursts and differences between instances.
    double usableShare = 0.9;
    /// Share of each route's requests that is planned first, so that no route starves behind more important ones.
    double minShare = 0.2;
};

/// Corrects the planned capacity of each service by its observed utilization: the factor rises when slots are idle
/// although requests are refused because of the service, and falls when requests queue.
class CapacityCorrection
{
public:
    /// Processes the reports of one round. saturated: the services without capacity left in the last plan.
    void update(const std::vector<NodeReport> &reports, const std::vector<ServiceName> &saturated);

    /// Factor to apply to the service's slots; 1 for an unknown service.
    [[nodiscard]] double factor(const ServiceName &service) const;

private:
    struct State {
        double factor = 1;
        double utilization = 0; ///< Running and queued requests per slot, exponentially weighted.
    };

    std::map<ServiceName, State> m_services;
};

struct RootAdmissionPlan {
    std::map<RouteName, double> shares; ///< Share of each route's requests to admit, 0 to 1.
    std::vector<ServiceName> saturated; ///< Services without capacity left.
};

/// Computes the share of each route's root requests to admit, so that no service on their call paths is overloaded.
/// Routes are served by rank; among equal ranks, those that need the smallest part of a service's capacity come first.
RootAdmissionPlan planRootAdmission(const std::vector<RootRoute> &routes,
                                    const std::map<ServiceName, double> &slots,
                                    const RootAdmissionPlanSettings &settings);

} // namespace vanillatack
