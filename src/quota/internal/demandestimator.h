#pragma once

#include "quota/internal/tokenbucket.h"

namespace vanillatack {

/// Estimates the arrival rate of requests for one workspace at this node, admitted or not.
class DemandEstimator
{
public:
    void recordRequest(TimePoint now);

    /// Rate and bucket capacity for the estimated demand, with headroom for random arrivals; zero without demand.
    [[nodiscard]] QuotaAmount requiredAmount(TimePoint now) const;

    /// Time without requests after which the workspace is idle at this node.
    [[nodiscard]] Duration idleTimeout(TimePoint now) const;

    [[nodiscard]] TimePoint lastRequestAt() const;

private:
    /// Requests per second.
    [[nodiscard]] double requestRate(TimePoint now) const;

    double m_slowAverage = 0;
    double m_fastAverage = 0;
    TimePoint m_lastRequestAt;
};

} // namespace vanillatack
