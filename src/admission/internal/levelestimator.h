#pragma once

#include "base/clock.h"
#include "model/request.h"

#include <array>

namespace vanillatack {

/// Estimates the lowest admitted class from the fraction of each class that was refused for overload.
///
/// The level is a number from 0 (no requests) to 4 (all four classes). Egress nodes that apply the level refuse
/// requests early, before this node sees them. The fraction admitted here is therefore multiplied by the fraction that
/// the level let through, and the level rises in small steps while nothing is refused (as in DAGOR, Zhou et al., SoCC
/// 2018).
class LevelEstimator
{
public:
    void recordAdmitted(PriorityClass priority);
    void recordRefused(PriorityClass priority);
    void update(TimePoint now);
    [[nodiscard]] ServiceLevel level() const;

private:
    struct Counts {
        int admitted = 0;
        int refused = 0;
    };

    void evaluate();

    std::array<Counts, PriorityClassCount> m_counts;
    double m_level = PriorityClassCount;
    TimePoint m_nextUpdate;
};

} // namespace vanillatack
