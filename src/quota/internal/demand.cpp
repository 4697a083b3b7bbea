#include "quota/internal/demand.h"

#include "quota/iquota.h"

#include <cmath>

namespace vanillatack {

namespace {

constexpr double SlowSeconds = 2.0;
constexpr double FastSeconds = 0.25;
constexpr double NegligiblePerSecond = 0.05;

// Random arrivals leave a gap of ten times the average once in 22,000.
constexpr double UnlikelyGaps = 10;
constexpr std::chrono::milliseconds ShortestIdle{250};
constexpr std::chrono::milliseconds LongestIdle{1000};

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void Demand::count(TimePoint now)
{
    const double passed = secondsBetween(m_countedAt, now);
    m_slow = m_slow * std::exp(-passed / SlowSeconds) + 1 / SlowSeconds;
    m_fast = m_fast * std::exp(-passed / FastSeconds) + 1 / FastSeconds;
    m_countedAt = now;
}

double Demand::perSecond(TimePoint now) const
{
    const double passed = secondsBetween(m_countedAt, now);
    // The fast average counts only as far as chance does not explain it: less one request and two deviations.
    const double fast = m_fast * std::exp(-passed / FastSeconds);
    const double surge = fast - 1 / FastSeconds - 2 * std::sqrt(fast);
    return std::max(m_slow * std::exp(-passed / SlowSeconds), surge);
}

Duration Demand::idleLimit(TimePoint now) const
{
    const double gaps = UnlikelyGaps / std::max(perSecond(now), NegligiblePerSecond);
    return std::clamp<Duration>(
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gaps)), ShortestIdle, LongestIdle);
}

TimePoint Demand::countedAt() const
{
    return m_countedAt;
}

QuotaAmount Demand::wanted(TimePoint now) const
{
    const double demand = perSecond(now);
    if (demand < NegligiblePerSecond) {
        return {};
    }
    // Deviations of random arrivals grow with the square root of their number. The rate has little room, because room
    // in the pool of the lender serves all its borrowers.
    const double rate = 1.1 * demand + 0.3 * std::sqrt(demand);
    const double burst = 1 + 0.25 * demand + std::sqrt(demand);
    return {static_cast<std::int64_t>(rate * static_cast<double>(TokensPerRequest)),
            static_cast<std::int64_t>(burst * static_cast<double>(TokensPerRequest))};
}

} // namespace vanillatack
