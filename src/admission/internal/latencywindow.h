#pragma once

#include "admission/iadmission.h"

namespace vanillatack {

/// Observations of one measurement window. Latencies are in seconds and include only successful requests, since failed
/// ones can be much faster or slower.
class LatencyWindow
{
public:
    /// Starts a new window and discards all observations.
    void restart(TimePoint start, int running);

    void recordRunning(TimePoint now, int running);
    void recordFinish(WorkOutcome outcome, Duration latency);
    void recordQueued();

    [[nodiscard]] TimePoint start() const;
    /// Number of successful requests.
    [[nodiscard]] int samples() const;
    /// Mean latency; 0 without samples.
    [[nodiscard]] double mean() const;
    /// Standard error of the mean; the mean itself while there are fewer than two samples.
    [[nodiscard]] double standardError() const;
    /// Time-weighted mean number of running requests since the start of the window.
    [[nodiscard]] double meanRunning(TimePoint now) const;
    [[nodiscard]] int peakRunning() const;
    /// Whether a request was put into the admission queue.
    [[nodiscard]] bool requestQueued() const;
    /// Fraction of finished requests that the upstream refused for overload, 0 to 1.
    [[nodiscard]] double overloadedShare() const;
    /// Fraction of finished requests that failed, 0 to 1.
    [[nodiscard]] double failedShare() const;

private:
    [[nodiscard]] double shareOf(int count) const;

    TimePoint m_start;
    TimePoint m_runningSince;
    double m_runningSeconds = 0;
    int m_running = 0;
    int m_peakRunning = 0;
    int m_samples = 0;
    int m_overloaded = 0;
    int m_failed = 0;
    bool m_requestQueued = false;
    double m_sum = 0;
    double m_sumOfSquares = 0;
};

} // namespace vanillatack
