#pragma once

#include "model/request.h"

#include <string>

namespace vanillatack {

/// Metrics of one node. The configuration bounds the label values: routes, services, workspaces, kinds.
class IMetrics
{
public:
    virtual ~IMetrics() = default;

    /// Counts a finished root request and records its latency.
    virtual void countRequest(const RouteName &route, const WorkspaceName &workspace, int status, Duration latency) = 0;

    virtual void countRefusal(RefusalKind kind, PriorityClass priority) = 0;

    /// Counts an attempt sent to an instance; retry is true for all but the first of a request.
    virtual void countAttempt(const ServiceName &service, bool retry) = 0;

    /// Counts control traffic with other nodes and the platform; direction is "sent" or "received".
    virtual void countControlBytes(const std::string &direction, std::size_t bytes) = 0;

    /// Counts a call of the platform's table or object store. The operation becomes a label, so it must come from a
    /// fixed set of names such as "commit".
    virtual void countPlatformOperation(const std::string &operation, bool succeeded) = 0;

    /// Sets a gauge of the fixed list GaugeDescriptions (see docs/metrics.md); other names are logged and ignored.
    virtual void setGauge(const std::string &name, double value) = 0;

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] virtual std::string text() const = 0;
};

} // namespace vanillatack
