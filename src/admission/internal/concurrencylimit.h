#pragma once

#include "admission/internal/latencywindow.h"

#include <vector>

namespace vanillatack {

/// Adapts the number of concurrent requests to what the upstream can serve.
///
/// Outside of probes the limit follows the gradient of the baseline to the observed mean latency. A probe lowers the
/// limit in steps and observes whether latency follows: when it does, requests were waiting inside the upstream; when
/// it does not, the upstream has become slower by itself, and the baseline is learned anew. Probes run when latency
/// rises and at regular times under load, since a baseline taken under load would otherwise drift.
/// See docs/design-notes/admission.md for sources and measurements.
class ConcurrencyLimit
{
public:
    void configure(int lowest, int highest);
    void setAnnouncedSlots(int slots);
    void startCold(TimePoint now);

    void recordRunning(TimePoint now, int running);
    void recordFinish(TimePoint now, WorkOutcome outcome, Duration latency);
    /// A request had to wait for admission, so a higher limit would be used.
    void recordWait(TimePoint now);
    void update(TimePoint now);

    [[nodiscard]] int limit() const;
    /// Mean latency of the upstream without waiting inside it; 0 while unknown.
    [[nodiscard]] Duration baseline() const;
    [[nodiscard]] Duration recentLatency() const;

private:
    static constexpr int InitialLimit = 32; ///< Until the upstream announces its slots.

    struct Probe {
        TimePoint started;
        double limitBefore = 0;
        double runningBefore = 0;
        std::vector<double> latencies; ///< Before the probe and after each step.
    };

    /// What a window says about the limit, beyond the noise of the latencies.
    enum class Finding {
        Room,
        Unclear,
        Crowded,
    };

    [[nodiscard]] bool windowComplete(TimePoint now) const;
    /// Mean latency over baseline that the limit settles at.
    [[nodiscard]] double tolerance() const;
    [[nodiscard]] Finding finding() const;
    void evaluate(TimePoint now);
    bool lowerForErrors();
    void updateBaseline(TimePoint now, bool loaded);
    void noteSpeedUp(TimePoint now, double mean);
    void followGradient(TimePoint now);
    double gradientFactor(double mean);
    void raiseColdCap(TimePoint now);
    void startProbe(TimePoint now, double mean);
    void stepProbe(TimePoint now, double mean, double error);
    void endProbe(TimePoint now, double mean);
    void setLimit(double limit);
    void beginWindow(TimePoint now);

    int m_lowest = 4;
    int m_highest = 4000;
    int m_slots = 0;
    int m_running = 0;
    double m_limit = InitialLimit;
    double m_baseline = 0;
    int m_baselineProbes = 0; ///< Probes that have confirmed the baseline.
    bool m_baselineUnsteady = false; ///< The upstream has just become faster; the limit does not rise before a probe.
    double m_latency = 0;
    LatencyWindow m_window;
    double m_windowLimit = 0; ///< The limit when the window began.
    TimePoint m_nextProbe;
    double m_rise = 0.02; ///< Next step up, as a share of the limit.
    bool m_learned = false; ///< A probe has completed, so announced slots no longer matter.
    bool m_probing = false;
    Probe m_probe;
    double m_probeFloor = 0; ///< The gradient alone does not go below; a probe decides first.
    double m_coldCap = 0; ///< 0 when not starting cold.
    TimePoint m_coldCapSince;
};

} // namespace vanillatack
