#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "model/messages.h"

#include <set>
#include <vector>

namespace vanillatack {

/// Outcome of an attempt at an instance, as observed by the caller's node.
enum class AttemptOutcome {
    Answered, ///< A complete reply of the upstream with a status below 500.
    UpstreamError, ///< A complete reply of the upstream with status 5xx.
    Refused, ///< The ingress refused the request because of overload.
    RefusedDraining, ///< The ingress refused the request because it is draining.
    ConnectFailed, ///< No connection could be opened; nothing was sent.
    Broken, ///< The connection ended or timed out after the request was sent.
    Cancelled, ///< The caller abandoned the request; implies nothing about the instance.
};

struct RoutingChoice {
    NodeName node;
    Endpoint endpoint;
    ZoneName zone;
};

struct InstanceStatus {
    Member member;
    int inFlight = 0;
    bool ejected = false;
    double weight = 1.0; ///< Relative share of requests; below 1 during slow start and after failures.
};

/// Chooses the instance for each attempt, based on the outcomes that this node has observed. Used by vanillatackd;
/// NodeDirectory is its counterpart in vanillatack-sidecar.
class IRouter
{
public:
    virtual ~IRouter() = default;

    /// Replaces the known instances of a service: those of the own zone and the contacts in other zones.
    virtual void setInstances(const ServiceName &service, const std::vector<Member> &instances) = 0;

    /// Chooses an instance that is not excluded and counts a request in flight there until finish().
    /// Errors: NotFound when no instance is available.
    virtual Result<RoutingChoice> choose(const ServiceName &service, const std::set<NodeName> &excluded) = 0;

    virtual void finish(const ServiceName &service, const NodeName &node, AttemptOutcome outcome, Duration latency) = 0;

    /// Records the service levels of a reply, for early refusal.
    virtual void recordLevels(const RouteName &rootRoute, const std::vector<ServiceLevel> &levels) = 0;

    /// Whether to refuse a request because a service on the usual path of the route currently refuses the class. Some
    /// requests are let through as probes, so that recovery is noticed.
    virtual bool refusesEarly(const RouteName &rootRoute, PriorityClass priority) = 0;

    [[nodiscard]] virtual std::vector<InstanceStatus> instances(const ServiceName &service) const = 0;
};

} // namespace vanillatack
