#include "routing/internal/instancescore.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

constexpr double FailureSampleWeight = 0.2;
constexpr double RefusalSampleWeight = 0.1;
constexpr double LatencySampleWeight = 0.2;
/// Lower limit of an instance's weight. Above 0, so that a few requests still reveal a recovery.
constexpr double MinWeight = 0.02;
/// Limit that keeps a doubled duration from overflowing.
constexpr int MaxDoublings = 16;

Duration doubled(Duration base, int times, Duration limit)
{
    return std::min(base * (std::int64_t(1) << std::min(times, MaxDoublings)), limit);
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DecayingAverage::add(double sample, double weight, TimePoint now, Duration halfLife)
{
    m_value = value(now, halfLife) * (1 - weight) + sample * weight;
    m_updatedAt = now;
}

double DecayingAverage::value(TimePoint now, Duration halfLife) const
{
    if (m_value == 0) {
        return 0;
    }
    return m_value * std::exp2(-toSeconds(now - m_updatedAt) / toSeconds(halfLife));
}

void InstanceScore::record(AttemptOutcome outcome, Duration latency, TimePoint now)
{
    const bool failed = outcome == AttemptOutcome::UpstreamError || outcome == AttemptOutcome::Broken
        || outcome == AttemptOutcome::ConnectFailed;
    if (outcome == AttemptOutcome::Cancelled || outcome == AttemptOutcome::RefusedDraining) {
        return;
    }
    m_failures.add(failed ? 1 : 0, FailureSampleWeight, now, m_settings->scoreHalfLife);
    m_refusals.add(outcome == AttemptOutcome::Refused ? 1 : 0, RefusalSampleWeight, now, m_settings->refusalHalfLife);
    // A timeout costs the caller more than a fast error.
    m_failuresInRow = failed ? m_failuresInRow + (outcome == AttemptOutcome::Broken ? 2 : 1) : 0;
    if (outcome == AttemptOutcome::ConnectFailed) {
        m_connectAfter =
            now + doubled(m_settings->connectBackoffBase, m_connectFailuresInRow, m_settings->connectBackoffMax);
        ++m_connectFailuresInRow;
    } else {
        m_connectFailuresInRow = 0;
    }
    // Refusals and errors can be fast; only complete answers and timeouts indicate the latency of the instance.
    if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Broken) {
        m_latency.add(toSeconds(latency),
                      m_latency.value(now, m_settings->scoreHalfLife) == 0 ? 1 : LatencySampleWeight,
                      now,
                      m_settings->scoreHalfLife);
    }
}

void InstanceScore::restartSlowStart(TimePoint now)
{
    m_slowStartAt = now;
    m_failures.reset();
    m_refusals.reset();
    m_latency.reset();
    m_failuresInRow = 0;
}

void InstanceScore::eject(TimePoint now)
{
    if (now - m_ejectedUntil > m_settings->ejectionMax) {
        m_ejections = 0;
    }
    m_ejectedUntil = now + doubled(m_settings->ejectionBase, m_ejections, m_settings->ejectionMax);
    ++m_ejections;
    restartSlowStart(m_ejectedUntil);
}

bool InstanceScore::shouldEject(double peerFailureRatio, TimePoint now) const
{
    const double own = failureRatio(now);
    // When all instances fail equally, the cause is elsewhere and ejection would only concentrate the load.
    const bool worse = own > 2 * peerFailureRatio;
    return worse && (m_failuresInRow >= m_settings->failuresToEject || own >= m_settings->failureRatioToEject);
}

double InstanceScore::failureRatio(TimePoint now) const
{
    return m_failures.value(now, m_settings->scoreHalfLife);
}

double InstanceScore::refusalRatio(TimePoint now) const
{
    return m_refusals.value(now, m_settings->refusalHalfLife);
}

double InstanceScore::latency(TimePoint now) const
{
    return m_latency.value(now, m_settings->scoreHalfLife);
}

double InstanceScore::slowStartWeight(TimePoint now) const
{
    const double steps = std::floor(toSeconds(now - m_slowStartAt) / toSeconds(m_settings->slowStartStep));
    return std::clamp(m_settings->slowStartWeight * std::exp2(steps), m_settings->slowStartWeight, 1.0);
}

double InstanceScore::weight(TimePoint now) const
{
    // Squared, so that an instance that fails fast is not preferred for its few requests in flight.
    const double health = 1 - failureRatio(now);
    return std::max(MinWeight, slowStartWeight(now) * health * health);
}

} // namespace vanillatack
