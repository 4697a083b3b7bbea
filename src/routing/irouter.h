#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "model/messages.h"

#include <set>
#include <vector>

namespace vanillatack {

/// How an attempt at an instance ended, as seen by the caller's node.
enum class AttemptOutcome {
    Answered, ///< A whole reply of the upstream with a status below 500.
    UpstreamError, ///< A whole reply with status 5xx.
    Refused, ///< The ingress refused for overload.
    RefusedDraining, ///< The ingress refused because it is draining.
    ConnectFailed, ///< No connection, nothing was sent.
    Broken, ///< The connection ended or timed out after sending.
    Cancelled, ///< The caller went away; says nothing about the instance.
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
    double weight = 1.0; ///< Below 1 during slow start.
};

/// Chooses the instance for each attempt from what this node sees itself.
class IRouter
{
public:
    virtual ~IRouter() = default;

    /// Replaces the known instances of a service, of the own zone and the contacts of other zones.
    virtual void setInstances(const ServiceName &service, const std::vector<Member> &instances) = 0;

    /// Chooses an instance that is not excluded, and counts a request in flight there until finish().
    /// Fails with ErrorKind::NotFound when no instance is left.
    virtual Result<RoutingChoice> choose(const ServiceName &service, const std::set<NodeName> &excluded) = 0;

    virtual void finish(const ServiceName &service, const NodeName &node, AttemptOutcome outcome, Duration latency) = 0;

    /// Levels that came back on a reply, for early refusal.
    virtual void recordLevels(const RouteName &rootRoute, const std::vector<ServiceLevel> &levels) = 0;

    /// Whether a service on the usual path of the route refuses the class now. Some requests pass all the same, so
    /// that recovery is noticed.
    virtual bool refusesEarly(const RouteName &rootRoute, PriorityClass priority) = 0;

    [[nodiscard]] virtual std::vector<InstanceStatus> instances(const ServiceName &service) const = 0;
};

} // namespace vanillatack
