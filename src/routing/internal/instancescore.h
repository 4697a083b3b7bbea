#pragma once

#include "routing/irouter.h"
#include "routing/routingsetup.h"

#include <optional>

namespace vanillatack {

/// Exponentially weighted average that also decays towards 0 with the given half-life between samples.
class DecayingAverage
{
public:
    void add(double sample, double weight, TimePoint now, Duration halfLife);

    [[nodiscard]] double value(TimePoint now, Duration halfLife) const;

    void reset()
    {
        m_value = 0;
    }

private:
    double m_value = 0;
    TimePoint m_updatedAt;
};

/// Failures, refusals and latency of one instance, as observed by this node.
class InstanceScore
{
public:
    InstanceScore(const RoutingSettings &settings, TimePoint now)
        : m_settings(&settings)
        , m_slowStartAt(now)
    {
    }

    void record(AttemptOutcome outcome, Duration latency, TimePoint now);

    /// Restarts slow start and resets the averages, for a cold or returning instance.
    void restartSlowStart(TimePoint now);

    /// Ejects the instance for a time that doubles with each ejection.
    void eject(TimePoint now);

    /// Whether the instance fails often enough for an ejection, compared with the failure ratio of the other instances.
    [[nodiscard]] bool shouldEject(double peerFailureRatio, TimePoint now) const;

    [[nodiscard]] bool isEjected(TimePoint now) const
    {
        return now < m_ejectedUntil;
    }

    [[nodiscard]] bool isBackedOff(TimePoint now) const
    {
        return now < m_connectAfter;
    }

    [[nodiscard]] double failureRatio(TimePoint now) const;
    [[nodiscard]] double refusalRatio(TimePoint now) const;

    /// Smoothed latency in seconds, 0 when unknown.
    [[nodiscard]] double latency(TimePoint now) const;

    [[nodiscard]] double slowStartWeight(TimePoint now) const;

    /// Weight from slow start and failures, in (0, 1].
    [[nodiscard]] double weight(TimePoint now) const;

private:
    const RoutingSettings *m_settings;
    TimePoint m_slowStartAt;
    TimePoint m_ejectedUntil;
    TimePoint m_connectAfter;
    int m_ejections = 0;
    int m_failuresInRow = 0;
    int m_connectFailuresInRow = 0;
    DecayingAverage m_failures;
    DecayingAverage m_refusals;
    DecayingAverage m_latency;
};

} // namespace vanillatack
