#include "admission/internal/levelestimator.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

constexpr Duration UpdateInterval = std::chrono::milliseconds(100);
/// Increase of the level by an update without refusals. Raises the level from no requests to all classes in 1.6 s, so
/// that early refusal ends within the recovery target of 2 s.
constexpr double LevelIncrease = 0.25;
/// Weight of the newest estimate when the level falls.
constexpr double DecreaseWeight = 0.5;
/// Smallest fraction that egress nodes are assumed to let through. Keeps the level from falling to 0 while they do not
/// apply it yet, or at all.
constexpr double MinLetThrough = 0.2;
/// Fraction of refusals that is ignored: so few come from short bursts, which the queue of the node that they are
/// retried at can absorb.
constexpr double IgnoredRefusalShare = 0.02;

} // namespace

void LevelEstimator::recordAdmitted(PriorityClass priority)
{
    ++m_counts.at(static_cast<std::size_t>(priority)).admitted;
}

void LevelEstimator::recordRefused(PriorityClass priority)
{
    ++m_counts.at(static_cast<std::size_t>(priority)).refused;
}

void LevelEstimator::update(TimePoint now)
{
    if (now < m_nextUpdate) {
        return;
    }
    evaluate();
    m_counts.fill(Counts());
    m_nextUpdate = now + UpdateInterval;
}

void LevelEstimator::evaluate()
{
    const int current = std::min(PriorityClassCount - 1, static_cast<int>(m_level));
    for (int index = 0; index <= current; ++index) {
        const Counts &counts = m_counts.at(static_cast<std::size_t>(index));
        const int offered = counts.admitted + counts.refused;
        if (counts.refused > IgnoredRefusalShare * offered) {
            const double letThrough = index == current ? m_level - current : 1;
            const double admitted = static_cast<double>(counts.admitted) / offered;
            const double share = std::min(letThrough, admitted * std::max(letThrough, MinLetThrough));
            m_level += DecreaseWeight * (index + share - m_level);
            return;
        }
    }
    m_level = std::min<double>(PriorityClassCount, m_level + LevelIncrease);
}

ServiceLevel LevelEstimator::level() const
{
    constexpr double Permille = 1000;
    // An integral level n admits the first n classes completely.
    const int lowest = std::clamp(static_cast<int>(std::ceil(m_level)) - 1, 0, PriorityClassCount - 1);
    ServiceLevel result;
    result.lowestAdmitted = static_cast<PriorityClass>(lowest);
    result.admittedPermille = static_cast<int>(std::lround((m_level - lowest) * Permille));
    return result;
}

} // namespace vanillatack
