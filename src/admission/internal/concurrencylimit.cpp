#include "admission/internal/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

using namespace std::chrono_literals;

/// Ratio of mean latency to baseline that large limits settle at; the lower bound of tolerance(). Lower values lose
/// throughput to noise; higher values let more requests queue inside the upstream, where priority classes have no
/// effect.
constexpr double LatencyTolerance = 1.05;
/// Requests that may queue inside the upstream on top of the tolerance; without it small limits would lose a
/// large share of their throughput to noise.
constexpr double AllowedUpstreamQueue = 1;
/// Ratio of mean latency to baseline above which a probe starts at once. A probe that started above it does not restore
/// the limit.
constexpr double ProbeTolerance = 1.2;
/// Factor by which each step of a probe lowers the limit.
constexpr double ProbeStep = 0.75;
/// Largest relative latency difference that is treated as noise.
constexpr double NoiseTolerance = 0.1;
/// Two probe steps lower concurrency to 0.56 of its value. If the latency stays above this fraction of its own value,
/// concurrency is not the cause.
constexpr double UnaffectedShare = 0.8;
/// A latency below this fraction of the previous one cannot come from a step alone: the upstream has become faster.
constexpr double SpeedUpShare = 0.45;
/// Number of standard errors from which a difference counts as significant.
constexpr double SignificantErrors = 2.5;
/// Relative standard error at which a window during a probe, or without a baseline, is complete.
constexpr double ProbeError = 0.03;

/// Minimum time until the next periodic probe.
constexpr Duration ProbeInterval = 5s;
/// Minimum time until the next periodic probe as a multiple of the mean latency; for slow upstreams, keeps probing
/// below a tenth of the time.
constexpr double ProbeIntervalLatencies = 30;
/// Minimum time until the next periodic probe as a multiple of the last probe's duration.
constexpr int ProbeIntervalDurations = 20;
/// Time from the first load until the first periodic probe.
constexpr Duration FirstProbeDelay = 1s;
/// Minimum time from a speed-up of the upstream until the next probe, so that the latencies are steady again.
constexpr Duration SteadyDelay = 150ms;
/// Bounds of the duration of a measurement window.
constexpr Duration MinWindow = 50ms;
constexpr Duration MaxWindow = 1s;
/// Time after which a window with MinProbeSamples ends, during a probe or without a baseline, even if its standard
/// error is above ProbeError.
constexpr Duration MaxProbeWindow = 250ms;
/// Lower bound of MaxWindow and of MaxProbeWindow as a multiple of the mean latency.
constexpr double MaxWindowLatencies = 4;
/// Successful requests without which a window continues until MaxWindow.
constexpr int MinSamples = 20;
/// Successful requests from which the standard error of a window is reliable; see also MaxProbeWindow.
constexpr int MinProbeSamples = 100;

/// Increases start small, since the upstream may be close to its capacity, and grow by half with each unsaturated
/// window, so that a limit that is far too low recovers within 2 s.
constexpr double InitialIncrease = 0.02;
/// First increase after a probe in which the upstream has become faster.
constexpr double IncreaseAfterSpeedUp = 0.15;
/// First increase after refusals by the upstream, which cost more than queueing.
constexpr double IncreaseAfterOverload = 0.01;
/// Increase while requests are queued and it is uncertain whether the upstream is saturated. Without this increase, a
/// baseline error of a few percent could hold the limit below the capacity.
constexpr double IncreaseWhenUncertain = 0.01;
constexpr double IncreaseGrowth = 1.5;
constexpr double MaxIncrease = 0.25;
/// Lower bound of the factor by which one window lowers the limit.
constexpr double MinGradientFactor = 0.9;
/// A decrease below this fraction of the highest limit since the last probe starts a probe instead.
constexpr double GradientFloor = 0.85;
/// Peak number of running requests, as a share of the limit, from which the limit counts as used.
constexpr double UsedShare = 0.9;
/// Mean number of running requests, as a share of the limit, from which the upstream counts as loaded.
constexpr double LoadedShare = 0.5;

/// Share of finished requests that the upstream refused for overload above which the limit is lowered by
/// OverloadedStep.
constexpr double OverloadedShare = 0.02;
constexpr double OverloadedStep = 0.95;
/// Share of finished requests that failed above which the limit is lowered by FailedStep.
constexpr double FailedShare = 0.5;
constexpr double FailedStep = 0.9;

/// The announced slots divided by this are the first limit of a cold start.
constexpr int ColdDivisor = 10;
/// Minimum time between two doublings of the limit during a cold start.
constexpr Duration ColdDoubling = 1s;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void ConcurrencyLimit::configure(int minLimit, int maxLimit)
{
    m_minLimit = std::max(1, minLimit);
    m_maxLimit = std::max(m_minLimit, maxLimit);
    setLimit(m_limit);
}

void ConcurrencyLimit::setAnnouncedSlots(int slots)
{
    const bool first = m_slots == 0;
    m_slots = std::max(0, slots);
    if (!m_probeCompleted) {
        setLimit(first && m_coldCap == 0 ? m_slots : m_limit);
    }
}

void ConcurrencyLimit::startCold(TimePoint now)
{
    // Discards the measurements, which belong to the previous upstream.
    m_probeCompleted = false;
    m_probing = false;
    m_increase = InitialIncrease;
    m_baseline = 0;
    m_baselineProbes = 0;
    m_baselineProvisional = false;
    m_latency = 0;
    m_coldCap = std::max(m_minLimit, m_slots / ColdDivisor);
    m_coldCapSince = now;
    m_nextProbe = TimePoint();
    m_probeFloor = 0;
    setLimit(m_coldCap);
    m_window.restart(now, m_running);
}

void ConcurrencyLimit::recordRunning(TimePoint now, int running)
{
    m_running = running;
    m_window.recordRunning(std::max(now, m_window.start()), running);
}

void ConcurrencyLimit::recordFinish(TimePoint now, WorkOutcome outcome, Duration latency)
{
    if (now >= m_window.start()) {
        m_window.recordFinish(outcome, latency);
    }
}

void ConcurrencyLimit::recordQueued(TimePoint now)
{
    if (now >= m_window.start()) {
        m_window.recordQueued();
    }
}

void ConcurrencyLimit::update(TimePoint now)
{
    if (m_window.start() == TimePoint()) {
        m_window.restart(now, m_running);
    } else if (windowComplete(now)) {
        evaluate(now);
    }
}

int ConcurrencyLimit::limit() const
{
    return static_cast<int>(std::lround(m_limit));
}

Duration ConcurrencyLimit::baseline() const
{
    return fromSeconds(m_baseline);
}

Duration ConcurrencyLimit::recentLatency() const
{
    return fromSeconds(m_latency);
}

bool ConcurrencyLimit::windowComplete(TimePoint now) const
{
    const Duration elapsed = now - m_window.start();
    if (elapsed < std::max(MinWindow, fromSeconds(m_latency))) {
        return false;
    }
    const Duration severalLatencies = fromSeconds(MaxWindowLatencies * m_latency);
    if (elapsed >= std::max(MaxWindow, severalLatencies)) {
        return true;
    }
    if (m_window.samples() < MinSamples) {
        return false;
    }
    if (m_latency == 0) {
        return true;
    }
    if (m_window.mean() + SignificantErrors * m_window.standardError() < SpeedUpShare * m_latency) {
        return true;
    }
    if (!m_probing && m_baseline > 0) {
        return saturation() != Saturation::Uncertain;
    }
    return m_window.standardError() <= ProbeError * m_window.mean()
        || (m_window.samples() >= MinProbeSamples && elapsed >= std::max(MaxProbeWindow, severalLatencies));
}

double ConcurrencyLimit::tolerance() const
{
    return LatencyTolerance + AllowedUpstreamQueue / m_limit;
}

ConcurrencyLimit::Saturation ConcurrencyLimit::saturation() const
{
    // One standard error suffices for an increase: a wrong increase costs less than a wrong decrease, since the next
    // windows correct it while all slots stay in use.
    constexpr double UnsaturatedErrors = 1;
    const double error = m_window.standardError();
    if (m_window.mean() + UnsaturatedErrors * error < tolerance() * m_baseline) {
        return Saturation::Unsaturated;
    }
    return m_window.mean() - SignificantErrors * error > tolerance() * m_baseline ? Saturation::Saturated
                                                                                  : Saturation::Uncertain;
}

void ConcurrencyLimit::evaluate(TimePoint now)
{
    const bool loweredForFailures = lowerForFailures();
    if (m_window.samples() > 0 && !loweredForFailures) {
        const double mean = m_window.mean();
        // The first window contains only requests with a latency shorter than the window, so its mean is not used for
        // the baseline.
        const bool first = m_latency == 0;
        m_latency = mean;
        if (m_probing) {
            stepProbe(now, mean, m_window.standardError());
        } else if (!first) {
            const bool loaded = m_window.requestQueued() || m_window.meanRunning(now) >= LoadedShare * m_limit;
            updateBaseline(now, loaded);
            if (loaded) {
                followGradient(now);
            }
        }
    }
    beginWindow(now);
}

bool ConcurrencyLimit::lowerForFailures()
{
    double step = 1;
    if (m_window.overloadedShare() > OverloadedShare) {
        m_increase = IncreaseAfterOverload;
        step = OverloadedStep;
    }
    if (m_window.failedShare() > FailedShare) {
        step = FailedStep;
    }
    if (step == 1) {
        return false;
    }
    m_probing = false;
    setLimit(m_limit * step);
    return true;
}

void ConcurrencyLimit::updateBaseline(TimePoint now, bool loaded)
{
    constexpr double FullWeightSamples = 200;
    // The standard error of a few samples of a skewed distribution is too small.
    constexpr double ClearlyFaster = 0.6;
    const double mean = m_window.mean();
    const double faster = m_window.samples() >= MinProbeSamples ? 1 - NoiseTolerance : ClearlyFaster;
    if (m_baseline == 0) {
        m_baseline = mean;
    } else if (mean + SignificantErrors * m_window.standardError() < m_baseline * faster) {
        // A window selected for its low mean is biased downwards, so one standard error is added.
        recordSpeedUp(now, mean + m_window.standardError());
    } else if (!loaded) {
        // Uses an average, since the minimum of the means would underestimate the true latency by their noise.
        m_baseline += m_window.samples() / (m_window.samples() + FullWeightSamples) * (mean - m_baseline);
    }
}

void ConcurrencyLimit::recordSpeedUp(TimePoint now, double mean)
{
    // This window may contain latencies from before and after the change, so a probe follows once they are steady.
    m_baseline = mean;
    m_baselineProbes = 0;
    m_baselineProvisional = true;
    m_nextProbe = now + std::max(SteadyDelay, fromSeconds(2 * mean));
}

void ConcurrencyLimit::followGradient(TimePoint now)
{
    if (m_nextProbe == TimePoint()) {
        m_nextProbe = now + FirstProbeDelay;
    }
    const double mean = m_window.mean();
    const double factor = gradientFactor(mean);
    const bool muchSlower = mean - SignificantErrors * m_window.standardError() > ProbeTolerance * m_baseline;
    // Probes cause queueing, and a limit at which no request is queued needs no probe.
    const bool probeDue = now >= m_nextProbe && m_coldCap == 0 && m_window.requestQueued();
    if (muchSlower || probeDue || m_limit * factor < m_probeFloor) {
        startProbe(now, mean);
        return;
    }
    setLimit(m_limit * factor);
    if (factor >= 1) {
        raiseColdCap(now);
    }
    m_probeFloor = std::max(m_probeFloor, GradientFloor * m_limit);
}

double ConcurrencyLimit::gradientFactor(double mean)
{
    switch (saturation()) {
    case Saturation::Unsaturated:
        break;
    case Saturation::Uncertain:
        return m_window.requestQueued() ? 1 + IncreaseWhenUncertain : 1;
    case Saturation::Saturated:
        m_increase = std::min(m_increase, InitialIncrease);
        return std::max(MinGradientFactor, tolerance() * m_baseline / mean);
    }
    if (m_baselineProvisional || m_coldCap > 0) {
        return 1;
    }
    if (!m_window.requestQueued() && m_window.peakRunning() < UsedShare * m_limit) {
        return 1; // A limit that is not reached gives no information on the capacity.
    }
    const double increase = m_increase;
    m_increase = std::min(MaxIncrease, m_increase * IncreaseGrowth);
    return 1 + increase;
}

void ConcurrencyLimit::raiseColdCap(TimePoint now)
{
    const bool used = m_window.requestQueued() || m_window.peakRunning() >= UsedShare * m_limit;
    if (m_coldCap == 0 || now - m_coldCapSince < ColdDoubling || !used) {
        return;
    }
    const double top = m_slots > 0 ? m_slots : m_maxLimit;
    if (m_coldCap >= top) {
        m_coldCap = 0;
        return;
    }
    m_coldCap = std::min(top, 2.0 * limit());
    m_coldCapSince = now;
    setLimit(m_coldCap);
}

void ConcurrencyLimit::startProbe(TimePoint now, double mean)
{
    m_probing = true;
    m_baselineProvisional = false;
    m_probe.started = now;
    m_probe.limitBefore = m_limit;
    m_probe.runningBefore = m_window.meanRunning(now);
    m_probe.latencies.assign(1, mean);
    setLimit(std::min(m_limit, m_probe.runningBefore) * ProbeStep);
}

void ConcurrencyLimit::stepProbe(TimePoint now, double mean, double error)
{
    constexpr int MaxBaselineProbes = 5;
    m_probe.latencies.push_back(mean);
    const std::size_t last = m_probe.latencies.size() - 1;
    if (mean < SpeedUpShare * m_probe.latencies[last - 1]) {
        recordSpeedUp(now, mean);
        m_probing = false;
        m_increase = InitialIncrease;
        setLimit(std::max(m_limit, m_probe.limitBefore));
        return;
    }
    const bool lower = mean + SignificantErrors * error < m_baseline && mean < m_baseline * (1 - NoiseTolerance);
    // Without a confirming probe the baseline may have been measured under load, so an equal latency proves nothing.
    const bool unchanged = !lower && m_baselineProbes > 0 && mean <= m_baseline * (1 + NoiseTolerance);
    const double previous = m_probe.latencies[last - 1];
    const bool unaffected =
        mean > (1 - NoiseTolerance) * previous || (last >= 2 && mean > UnaffectedShare * m_probe.latencies[last - 2]);
    const bool atMinLimit = limit() <= m_minLimit;
    if (unchanged && !atMinLimit) {
        // Averages over the last probes, since each is noisy.
        m_baselineProbes = std::min(MaxBaselineProbes, m_baselineProbes + 1);
        m_baseline += (mean - m_baseline) / m_baselineProbes;
        endProbe(now, mean);
        return;
    }
    if (lower || unaffected || atMinLimit) {
        // If the latency is lower, the baseline was measured under load. Otherwise the upstream has become slower
        // regardless of concurrency. If the last two steps show the same latency within the noise, their mean is the
        // better estimate.
        m_baseline = mean > (1 - NoiseTolerance) * previous && mean < previous ? (mean + previous) / 2 : mean;
        m_baselineProbes = unaffected || atMinLimit ? 1 : 0;
    }
    if (atMinLimit || unaffected) {
        endProbe(now, mean);
    } else {
        setLimit(m_limit * ProbeStep);
    }
}

void ConcurrencyLimit::endProbe(TimePoint now, double mean)
{
    m_probing = false;
    m_probeCompleted = true;
    m_coldCapSince = now;
    m_nextProbe = now
        + std::max({ProbeInterval,
                    fromSeconds(ProbeIntervalLatencies * mean),
                    ProbeIntervalDurations * (now - m_probe.started)});
    const double before = m_probe.latencies.front();
    // If the latency fell clearly further than concurrency, the upstream has become faster.
    m_increase =
        mean / before < UnaffectedShare * m_limit / m_probe.runningBefore ? IncreaseAfterSpeedUp : InitialIncrease;
    if (before <= ProbeTolerance * m_baseline) {
        setLimit(std::max(m_limit, m_probe.limitBefore));
    } else {
        // Little's law: requests in service before the probe = throughput * unloaded latency.
        const double inService = m_probe.runningBefore * m_baseline / before;
        setLimit(std::clamp(tolerance() * inService, m_limit, std::max(m_limit, m_probe.limitBefore)));
    }
    m_probeFloor = GradientFloor * m_limit;
}

void ConcurrencyLimit::setLimit(double limit)
{
    double maxLimit = m_maxLimit;
    if (m_coldCap > 0) {
        maxLimit = std::min(maxLimit, m_coldCap);
    }
    if (!m_probeCompleted && m_slots > 0) {
        maxLimit = std::min<double>(maxLimit, m_slots);
    }
    m_limit = std::clamp(limit, static_cast<double>(m_minLimit), std::max<double>(m_minLimit, maxLimit));
}

void ConcurrencyLimit::beginWindow(TimePoint now)
{
    // Delays the window, since requests started under the previous limit keep finishing for one or two times the mean
    // latency, and after an increase the fast requests finish first. The baseline bounds the delay after a stall.
    constexpr double MaxSettleBaselines = 4;
    constexpr double LargeStep = 0.1;
    const bool largeStep = std::abs(m_limit - m_windowLimit) > LargeStep * m_windowLimit;
    const double settle = std::min(m_latency * (largeStep ? 2 : 1), MaxSettleBaselines * m_baseline);
    m_windowLimit = m_limit;
    m_window.restart(now + fromSeconds(settle), m_running);
}

} // namespace vanillatack
