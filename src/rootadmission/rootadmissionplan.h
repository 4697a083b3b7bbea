#pragma once

#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// A route by which requests of callers enter.
struct RootRoute {
    RouteName route;
    int rank = 0; ///< 0 is shed last.
    double offeredPerSecond = 0; ///< Over the whole fleet.
    std::map<ServiceName, double> slotSeconds; ///< What one request needs at each service, with all that it calls.
};

/// What a request of each route needs of each service.
class RequestCost
{
public:
    /// Adds what nodes have reported. shares: the services of a route with their part of its requests.
    void setRoute(const RouteName &route, const std::map<ServiceName, double> &shares);
    void addReport(const NodeReport &report);

    /// Slot seconds of one request at each service, calls of calls included.
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
    /// Instances of one service differ in speed; together they finish the sum of their rates.
    struct MeanOfRates {
        double rates = 0;
        int count = 0;
        [[nodiscard]] double workSeconds() const
        {
            return rates == 0 ? 0 : count / rates;
        }
    };
    using ServiceRoute = std::pair<ServiceName, RouteName>;

    void add(const RouteName &route, double requests, int depth, std::map<ServiceName, double> &cost) const;

    std::map<RouteName, std::map<ServiceName, double>> m_shares;
    std::map<ServiceRoute, MeanOfRates> m_work;
    std::map<ServiceRoute, std::map<RouteName, Mean>> m_calls;
};

struct RootAdmissionPlanSettings {
    double usableShare = 0.9; ///< Of a service's slots; the rest absorbs bursts and uneven instances.
    double leastShare =
        0.2; ///< Of each route's requests, so that no kind of request starves behind more important ones.
};

/// Corrects the room that the plan counts with by what the services show: a service whose slots are idle while requests
/// are refused for its sake has more room than thought, one with a queue has less.
class CapacityCorrection
{
public:
    /// Takes the reports of one round. scarce: the services for whose sake requests are refused.
    void update(const std::vector<NodeReport> &reports, const std::vector<ServiceName> &scarce);

    /// Factor of the service's slots, 1 when nothing is known.
    [[nodiscard]] double factor(const ServiceName &service) const;

private:
    struct State {
        double factor = 1;
        double pressure = 0; ///< Requests running and queued over slots, exponentially weighted.
    };

    std::map<ServiceName, State> m_services;
};

struct RootAdmissionPlan {
    std::map<RouteName, double> shares; ///< Of each route's requests, 0 to 1.
    std::vector<ServiceName> saturated; ///< Services without room for more.
};

/// The share of each route's requests to admit, so that what is admitted can be finished by the deepest service that
/// it needs. More important routes come first; among equals the one that needs least of the scarce service.
RootAdmissionPlan planRootAdmission(const std::vector<RootRoute> &routes,
                                    const std::map<ServiceName, double> &slots,
                                    const RootAdmissionPlanSettings &settings);

} // namespace vanillatack
