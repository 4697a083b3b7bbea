#include "quota/internal/demand.h"

#include "quota/iquota.h"

#include <cmath>

namespace vanillatack {

namespace {

constexpr double SlowSeconds = 1.0;
constexpr double FastSeconds = 0.25;
constexpr double NegligiblePerSecond = 0.05;

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
    // Half of the fast average, so that single requests of a quiet workspace do not look like a surge.
    return std::max(m_slow * std::exp(-passed / SlowSeconds), m_fast * std::exp(-passed / FastSeconds) / 2);
}

QuotaAmount Demand::wanted(TimePoint now) const
{
    const double demand = perSecond(now);
    if (demand < NegligiblePerSecond) {
        return {};
    }
    // Deviations of random arrivals grow with the square root of their number.
    const double rate = 1.25 * demand + std::sqrt(demand);
    const double burst = 2 + 0.25 * demand + 2 * std::sqrt(demand);
    return {static_cast<std::int64_t>(rate * static_cast<double>(TokensPerRequest)),
            static_cast<std::int64_t>(burst * static_cast<double>(TokensPerRequest))};
}

} // namespace vanillatack
