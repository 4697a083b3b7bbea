#pragma once

#include "base/clock.h"
#include "model/request.h"

#include <array>

namespace vanillatack {

/// Estimates the lowest class that is admitted, from the share of each class that was refused for overload.
///
/// The level is one number from 0 (nothing) to 4 (all four classes). Entry nodes that follow it hold back requests that
/// this node then no longer sees, so the share admitted here is multiplied by the share that the level let through,
/// and the level rises by small steps when nothing is refused (as in DAGOR, Zhou et al., SoCC 2018).
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
