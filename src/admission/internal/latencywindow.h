#pragma once

#include "admission/iadmission.h"

namespace vanillatack {

/// Observations of one measurement interval. Latencies are in seconds and only of successful work, since failures can
/// be much faster or slower than work.
class LatencyWindow
{
public:
    /// Starts a new interval; what was observed is dropped.
    void restart(TimePoint start, int running);

    void recordRunning(TimePoint now, int running);
    void recordFinish(WorkOutcome outcome, Duration latency);
    void recordWait();

    [[nodiscard]] TimePoint start() const;
    [[nodiscard]] int samples() const;
    [[nodiscard]] double mean() const;
    [[nodiscard]] double standardError() const;
    /// Mean number of running requests up to now.
    [[nodiscard]] double meanRunning(TimePoint now) const;
    [[nodiscard]] int peakRunning() const;
    /// Whether a request had to wait in the admission queue.
    [[nodiscard]] bool waited() const;
    /// Shares of all finished work, 0 to 1.
    [[nodiscard]] double overloadedShare() const;
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
    bool m_waited = false;
    double m_sum = 0;
    double m_sumOfSquares = 0;
};

} // namespace vanillatack
