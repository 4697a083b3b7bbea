#pragma once

#include "admission/internal/latencywindow.h"

#include <vector>

namespace vanillatack {

/// Adapts the concurrency limit to the capacity of the upstream.
///
/// Outside of probes the limit follows the gradient, the ratio of the baseline to the observed mean latency. A probe
/// lowers the limit in steps and observes the latency. If the latency falls too, requests were queued inside the
/// upstream; otherwise the upstream has become slower regardless of load, and the baseline is measured again. Probes
/// run when the latency rises and periodically under load, since a baseline measured under load would otherwise drift.
/// See docs/design-notes/admission.md for sources and measurements.
class ConcurrencyLimit
{
public:
    void configure(int minLimit, int maxLimit);
    void setAnnouncedSlots(int slots);
    void startCold(TimePoint now);

    void recordRunning(TimePoint now, int running);
    void recordFinish(TimePoint now, WorkOutcome outcome, Duration latency);
    /// Records that a request was queued, which shows that a higher limit would be used.
    void recordQueued(TimePoint now);
    void update(TimePoint now);

    [[nodiscard]] int limit() const;
    /// Mean latency of the upstream without queueing inside it; 0 while unknown.
    [[nodiscard]] Duration baseline() const;
    /// Mean latency of the last window; 0 while unknown.
    [[nodiscard]] Duration recentLatency() const;

private:
    static constexpr int InitialLimit = 32; ///< Limit until the upstream announces its slots.

    struct Probe {
        TimePoint started;
        double limitBefore = 0;
        double runningBefore = 0;
        std::vector<double> latencies; ///< Mean latencies before the probe and after each step, in seconds.
    };

    /// Whether the mean latency of a window is significantly below or above the latency at which the limit settles.
    enum class Saturation {
        Unsaturated,
        Uncertain,
        Saturated,
    };

    [[nodiscard]] bool windowComplete(TimePoint now) const;
    /// Ratio of mean latency to baseline at which the limit settles.
    [[nodiscard]] double tolerance() const;
    [[nodiscard]] Saturation saturation() const;
    void evaluate(TimePoint now);
    bool lowerForFailures();
    void updateBaseline(TimePoint now, bool loaded);
    void recordSpeedUp(TimePoint now, double mean);
    void followGradient(TimePoint now);
    double gradientFactor(double mean);
    void raiseColdCap(TimePoint now);
    void startProbe(TimePoint now, double mean);
    void stepProbe(TimePoint now, double mean, double error);
    void endProbe(TimePoint now, double mean);
    void setLimit(double limit);
    void beginWindow(TimePoint now);

    int m_minLimit = 4;
    int m_maxLimit = 4000;
    int m_slots = 0;
    int m_running = 0;
    double m_limit = InitialLimit;
    double m_baseline = 0; ///< Seconds; 0 while unknown.
    int m_baselineProbes = 0; ///< Number of probes that confirmed the baseline.
    /// The upstream has just become faster; the limit is not raised before a probe has run.
    bool m_baselineProvisional = false;
    double m_latency = 0; ///< Mean of the last window in seconds; 0 while unknown.
    LatencyWindow m_window;
    double m_windowLimit = 0; ///< Limit at the start of the window.
    TimePoint m_nextProbe;
    double m_increase = 0.02; ///< Next increase as a fraction of the limit.
    bool m_probeCompleted = false; ///< A probe has completed; announced slots no longer bound the limit.
    bool m_probing = false;
    Probe m_probe;
    double m_probeFloor = 0; ///< Limit below which the gradient starts a probe instead of lowering it further.
    double m_coldCap = 0; ///< Cap on the limit during a cold start; 0 for none.
    TimePoint m_coldCapSince;
};

} // namespace vanillatack
