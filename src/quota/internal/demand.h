#pragma once

#include "quota/internal/tokenbucket.h"

namespace vanillatack {

/// Estimate of the requests per second that arrive for one workspace at this node, whether admitted or not.
class Demand
{
public:
    void count(TimePoint now);

    /// Rate and bucket capacity that serve the demand with room for random arrivals.
    [[nodiscard]] QuotaAmount wanted(TimePoint now) const;

    /// Time without requests after which the demand counts as gone.
    [[nodiscard]] Duration idleLimit(TimePoint now) const;

    [[nodiscard]] TimePoint countedAt() const;

private:
    [[nodiscard]] double perSecond(TimePoint now) const;

    double m_slow = 0;
    double m_fast = 0;
    TimePoint m_countedAt;
};

} // namespace vanillatack
