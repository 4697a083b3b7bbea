#pragma once

#include "model/request.h"

#include <string>

namespace vanillatack {

/// Metrics of one node. Label sets are bounded by the configuration: routes, services, workspaces, kinds.
class IMetrics
{
public:
    virtual ~IMetrics() = default;

    /// A root request ended.
    virtual void countRequest(const RouteName &route, const WorkspaceName &workspace, int status, Duration latency) = 0;

    /// A request was refused at this node.
    virtual void countRefusal(RefusalKind kind, PriorityClass priority) = 0;

    /// An attempt was sent; retry is set for all but the first.
    virtual void countAttempt(const ServiceName &service, bool retry) = 0;

    /// Control traffic with other nodes and the platform.
    virtual void countControlBytes(const std::string &direction, std::size_t bytes) = 0;
    virtual void countPlatformOperation(const std::string &operation, bool succeeded) = 0;

    /// Sets a gauge from a fixed list of names (see docs/metrics.md).
    virtual void setGauge(const std::string &name, double value) = 0;

    /// All metrics in the Prometheus text format.
    [[nodiscard]] virtual std::string text() const = 0;
};

} // namespace vanillatack
