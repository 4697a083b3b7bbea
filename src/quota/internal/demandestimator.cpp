#include "quota/internal/demandestimator.h"

#include "quota/iquota.h"

#include <cmath>

namespace vanillatack {

namespace {

// Time constants of the two exponential averages of the request rate: the slow one is steady, the fast one detects a
// surge.
constexpr double SlowTimeConstantSeconds = 2.0;
constexpr double FastTimeConstantSeconds = 0.25;
constexpr double NegligibleRequestsPerSecond = 0.05;

// With Poisson arrivals, one gap in 22,000 exceeds ten times the mean.
constexpr double IdleGapFactor = 10;
constexpr std::chrono::milliseconds MinIdleTimeout{250};
constexpr std::chrono::milliseconds MaxIdleTimeout{1000};

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void DemandEstimator::recordRequest(TimePoint now)
{
    const double passed = secondsBetween(m_lastRequestAt, now);
    m_slowAverage = m_slowAverage * std::exp(-passed / SlowTimeConstantSeconds) + 1 / SlowTimeConstantSeconds;
    m_fastAverage = m_fastAverage * std::exp(-passed / FastTimeConstantSeconds) + 1 / FastTimeConstantSeconds;
    m_lastRequestAt = now;
}

double DemandEstimator::requestRate(TimePoint now) const
{
    const double passed = secondsBetween(m_lastRequestAt, now);
    // The fast average is used only above random variation: the contribution of one request and 2 x sqrt(rate), about
    // 1.4 standard deviations, are subtracted.
    const double fast = m_fastAverage * std::exp(-passed / FastTimeConstantSeconds);
    const double surge = fast - 1 / FastTimeConstantSeconds - 2 * std::sqrt(fast);
    return std::max(m_slowAverage * std::exp(-passed / SlowTimeConstantSeconds), surge);
}

Duration DemandEstimator::idleTimeout(TimePoint now) const
{
    const double timeoutSeconds = IdleGapFactor / std::max(requestRate(now), NegligibleRequestsPerSecond);
    return std::clamp<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(timeoutSeconds)),
                                MinIdleTimeout,
                                MaxIdleTimeout);
}

TimePoint DemandEstimator::lastRequestAt() const
{
    return m_lastRequestAt;
}

QuotaAmount DemandEstimator::requiredAmount(TimePoint now) const
{
    const double demand = requestRate(now);
    if (demand < NegligibleRequestsPerSecond) {
        return {};
    }
    // The standard deviation of random arrivals grows with the square root of their number. The rate has little
    // headroom, because headroom in the lender's bucket serves all its borrowers.
    const double rate = 1.1 * demand + 0.3 * std::sqrt(demand);
    const double burst = 1 + 0.25 * demand + std::sqrt(demand);
    return {static_cast<std::int64_t>(rate * static_cast<double>(TokensPerRequest)),
            static_cast<std::int64_t>(burst * static_cast<double>(TokensPerRequest))};
}

} // namespace vanillatack
