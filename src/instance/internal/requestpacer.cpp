#include "instance/requestpacer.h"

#include "base/durations.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Time by which requests may start earlier than evenly spaced ones. Far below the four seconds in which the platform
/// counts the requests, and long enough for the usual irregularity of arrivals.
constexpr Duration BurstTime = std::chrono::milliseconds(500);

} // namespace

void RequestPacer::setRate(std::optional<double> requestsPerSecond)
{
    m_rate = requestsPerSecond ? std::optional(std::max(*requestsPerSecond, MinRate)) : std::nullopt;
}

Duration RequestPacer::interval() const
{
    return fromSeconds(1 / *m_rate);
}

Duration RequestPacer::waitTime(int waitingBefore, TimePoint now) const
{
    if (!m_rate) {
        return Duration{0};
    }
    const Duration burst = std::max(BurstTime - interval(), Duration{0});
    return std::max(m_nextStart + interval() * waitingBefore - burst - now, Duration{0});
}

void RequestPacer::recordStart(TimePoint now)
{
    if (m_rate) {
        m_nextStart = std::max(m_nextStart, now) + interval();
    }
}

} // namespace vanillatack
