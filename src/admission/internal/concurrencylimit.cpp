#include "admission/internal/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

using namespace std::chrono_literals;

/// Mean latency over baseline that the limit settles at. Lower values lose throughput to noise, higher ones let more
/// requests wait inside the upstream, where classes do not count.
constexpr double LatencyTolerance = 1.05;
/// On top of the tolerance one request may wait, or small limits would lose a large share of their throughput to noise.
constexpr double WaitingAllowed = 1;
constexpr double ProbeTolerance = 1.2;
constexpr double ProbeStep = 0.75;
constexpr double Unchanged = 0.1; // Differences of latency up to this are taken for noise.
/// Two steps lower concurrency to 0.56. Latency that stays above this share is not caused by concurrency.
constexpr double UnresponsiveShare = 0.8;
/// A step cannot lower latency by this much unless the upstream becomes faster at the same time.
constexpr double SpeedUpShare = 0.45;
constexpr double SignificantErrors = 2.5; // Standard errors of the mean.
constexpr double ProbeError = 0.03; // Standard error over mean.

constexpr Duration ProbeInterval = 5s;
constexpr double ProbeIntervalLatencies = 30; // Keeps the time spent in probes below a tenth for slow upstreams.
constexpr int ProbeIntervalDurations = 20;
constexpr Duration FirstProbeDelay = 1s;
constexpr Duration SteadyDelay = 150ms;
constexpr Duration ShortestWindow = 50ms;
constexpr Duration LongestWindow = 1s;
constexpr Duration LongestProbeWindow = 250ms;
constexpr double LongestWindowLatencies = 4;
constexpr int FewestSamples = 20;
constexpr int FewestProbeSamples = 100;

/// Steps up start small, since the upstream may be close to its capacity, and grow by half with each window that finds
/// room, so that a limit far too low recovers within 2 s.
constexpr double FirstRise = 0.02;
constexpr double RiseAfterSpeedUp = 0.15;
constexpr double FirstRiseAfterOverload = 0.01; // Overload is refused work, which costs more than waiting.
/// Baseline errors of a few percent would otherwise hold the limit below the capacity while requests wait.
constexpr double RiseWhenUnclear = 0.01;
constexpr double RiseGrowth = 1.5;
constexpr double LongestRise = 0.25;
constexpr double StepDown = 0.9;
constexpr double GradientFloor = 0.85; // Of the limit after the last probe.
constexpr double UsedShare = 0.9;
constexpr double LoadedShare = 0.5;

constexpr double OverloadedShare = 0.02;
constexpr double OverloadedStep = 0.95;
constexpr double FailedShare = 0.5;
constexpr double FailedStep = 0.9;

constexpr int ColdDivisor = 10;
constexpr Duration ColdDoubling = 1s;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void ConcurrencyLimit::configure(int lowest, int highest)
{
    m_lowest = std::max(1, lowest);
    m_highest = std::max(m_lowest, highest);
    setLimit(m_limit);
}

void ConcurrencyLimit::setAnnouncedSlots(int slots)
{
    const bool first = m_slots == 0;
    m_slots = std::max(0, slots);
    if (!m_learned) {
        setLimit(first && m_coldCap == 0 ? m_slots : m_limit);
    }
}

void ConcurrencyLimit::startCold(TimePoint now)
{
    // What was learned belongs to the upstream before.
    m_learned = false;
    m_probing = false;
    m_rise = FirstRise;
    m_baseline = 0;
    m_baselineProbes = 0;
    m_baselineUnsteady = false;
    m_latency = 0;
    m_coldCap = std::max(m_lowest, m_slots / ColdDivisor);
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

void ConcurrencyLimit::recordWait(TimePoint now)
{
    if (now >= m_window.start()) {
        m_window.recordWait();
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
    if (elapsed < std::max(ShortestWindow, fromSeconds(m_latency))) {
        return false;
    }
    const Duration severalLatencies = fromSeconds(LongestWindowLatencies * m_latency);
    if (elapsed >= std::max(LongestWindow, severalLatencies)) {
        return true;
    }
    if (m_window.samples() < FewestSamples) {
        return false;
    }
    if (m_latency == 0) {
        return true;
    }
    if (m_window.mean() + SignificantErrors * m_window.standardError() < SpeedUpShare * m_latency) {
        return true;
    }
    if (!m_probing && m_baseline > 0) {
        return finding() != Finding::Unclear;
    }
    return m_window.standardError() <= ProbeError * m_window.mean()
        || (m_window.samples() >= FewestProbeSamples && elapsed >= std::max(LongestProbeWindow, severalLatencies));
}

double ConcurrencyLimit::tolerance() const
{
    return LatencyTolerance + WaitingAllowed / m_limit;
}

ConcurrencyLimit::Finding ConcurrencyLimit::finding() const
{
    // A wrong step up is cheaper than a wrong step down: the next windows correct it while all slots are used.
    constexpr double RoomErrors = 1;
    const double error = m_window.standardError();
    if (m_window.mean() + RoomErrors * error < tolerance() * m_baseline) {
        return Finding::Room;
    }
    return m_window.mean() - SignificantErrors * error > tolerance() * m_baseline ? Finding::Crowded : Finding::Unclear;
}

void ConcurrencyLimit::evaluate(TimePoint now)
{
    const bool loweredForErrors = lowerForErrors();
    if (m_window.samples() > 0 && !loweredForErrors) {
        const double mean = m_window.mean();
        // The first window holds only work that is faster than the window is long.
        const bool first = m_latency == 0;
        m_latency = mean;
        if (m_probing) {
            stepProbe(now, mean, m_window.standardError());
        } else if (!first) {
            const bool loaded = m_window.waited() || m_window.meanRunning(now) >= LoadedShare * m_limit;
            updateBaseline(now, loaded);
            if (loaded) {
                followGradient(now);
            }
        }
    }
    beginWindow(now);
}

bool ConcurrencyLimit::lowerForErrors()
{
    double step = 1;
    if (m_window.overloadedShare() > OverloadedShare) {
        m_rise = FirstRiseAfterOverload;
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
    // Few samples of a skewed distribution look more certain than they are.
    constexpr double ClearlyFaster = 0.6;
    const double mean = m_window.mean();
    const double faster = m_window.samples() >= FewestProbeSamples ? 1 - Unchanged : ClearlyFaster;
    if (m_baseline == 0) {
        m_baseline = mean;
    } else if (mean + SignificantErrors * m_window.standardError() < m_baseline * faster) {
        // This window was chosen because it is low, so its mean is more likely too low than too high.
        noteSpeedUp(now, mean + m_window.standardError());
    } else if (!loaded) {
        // Not the minimum of the means: that would be below the true latency by their noise.
        m_baseline += m_window.samples() / (m_window.samples() + FullWeightSamples) * (mean - m_baseline);
    }
}

void ConcurrencyLimit::noteSpeedUp(TimePoint now, double mean)
{
    // This window may mix old and new latencies, so a probe follows when latencies are steady again.
    m_baseline = mean;
    m_baselineProbes = 0;
    m_baselineUnsteady = true;
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
    // A probe makes requests wait, and a limit that makes none wait needs no check.
    const bool probeDue = now >= m_nextProbe && m_coldCap == 0 && m_window.waited();
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
    switch (finding()) {
    case Finding::Room:
        break;
    case Finding::Unclear:
        return m_window.waited() ? 1 + RiseWhenUnclear : 1;
    case Finding::Crowded:
        m_rise = std::min(m_rise, FirstRise);
        return std::max(StepDown, tolerance() * m_baseline / mean);
    }
    if (m_baselineUnsteady || m_coldCap > 0) {
        return 1;
    }
    if (!m_window.waited() && m_window.peakRunning() < UsedShare * m_limit) {
        return 1; // An unused limit says nothing about the upstream.
    }
    const double rise = m_rise;
    m_rise = std::min(LongestRise, m_rise * RiseGrowth);
    return 1 + rise;
}

void ConcurrencyLimit::raiseColdCap(TimePoint now)
{
    const bool used = m_window.waited() || m_window.peakRunning() >= UsedShare * m_limit;
    if (m_coldCap == 0 || now - m_coldCapSince < ColdDoubling || !used) {
        return;
    }
    const double top = m_slots > 0 ? m_slots : m_highest;
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
    m_baselineUnsteady = false;
    m_probe.started = now;
    m_probe.limitBefore = m_limit;
    m_probe.runningBefore = m_window.meanRunning(now);
    m_probe.latencies.assign(1, mean);
    setLimit(std::min(m_limit, m_probe.runningBefore) * ProbeStep);
}

void ConcurrencyLimit::stepProbe(TimePoint now, double mean, double error)
{
    constexpr int MostBaselineProbes = 5;
    m_probe.latencies.push_back(mean);
    const std::size_t last = m_probe.latencies.size() - 1;
    if (mean < SpeedUpShare * m_probe.latencies[last - 1]) {
        noteSpeedUp(now, mean);
        m_probing = false;
        m_rise = FirstRise;
        setLimit(std::max(m_limit, m_probe.limitBefore));
        return;
    }
    const bool lower = mean + SignificantErrors * error < m_baseline && mean < m_baseline * (1 - Unchanged);
    // A baseline that no probe has confirmed may have been taken under load, so that equal latency proves nothing.
    const bool unchanged = !lower && m_baselineProbes > 0 && mean <= m_baseline * (1 + Unchanged);
    const double previous = m_probe.latencies[last - 1];
    const bool unresponsive =
        mean > (1 - Unchanged) * previous || (last >= 2 && mean > UnresponsiveShare * m_probe.latencies[last - 2]);
    const bool atLowest = limit() <= m_lowest;
    if (unchanged && !atLowest) {
        // The mean of the last probes, since each is noisy.
        m_baselineProbes = std::min(MostBaselineProbes, m_baselineProbes + 1);
        m_baseline += (mean - m_baseline) / m_baselineProbes;
        endProbe(now, mean);
        return;
    }
    if (lower || unresponsive || atLowest) {
        // Lower: the baseline itself was taken under load. Otherwise: the upstream has become slower by itself.
        // Steps with equal latency are measurements of the same value, so both count.
        m_baseline = mean > (1 - Unchanged) * previous && mean < previous ? (mean + previous) / 2 : mean;
        m_baselineProbes = unresponsive || atLowest ? 1 : 0;
    }
    if (atLowest || unresponsive) {
        endProbe(now, mean);
    } else {
        setLimit(m_limit * ProbeStep);
    }
}

void ConcurrencyLimit::endProbe(TimePoint now, double mean)
{
    m_probing = false;
    m_learned = true;
    m_coldCapSince = now;
    m_nextProbe = now
        + std::max({ProbeInterval,
                    fromSeconds(ProbeIntervalLatencies * mean),
                    ProbeIntervalDurations * (now - m_probe.started)});
    const double before = m_probe.latencies.front();
    // Latency that fell by more than concurrency was lowered means that the upstream has become faster.
    m_rise = mean / before < UnresponsiveShare * m_limit / m_probe.runningBefore ? RiseAfterSpeedUp : FirstRise;
    if (before <= ProbeTolerance * m_baseline) {
        setLimit(std::max(m_limit, m_probe.limitBefore));
    } else {
        // Little's law: requests in service before the probe = throughput x unloaded latency.
        const double inService = m_probe.runningBefore * m_baseline / before;
        setLimit(std::clamp(tolerance() * inService, m_limit, std::max(m_limit, m_probe.limitBefore)));
    }
    m_probeFloor = GradientFloor * m_limit;
}

void ConcurrencyLimit::setLimit(double limit)
{
    double highest = m_highest;
    if (m_coldCap > 0) {
        highest = std::min(highest, m_coldCap);
    }
    if (!m_learned && m_slots > 0) {
        highest = std::min<double>(highest, m_slots);
    }
    m_limit = std::clamp(limit, static_cast<double>(m_lowest), std::max<double>(m_lowest, highest));
}

void ConcurrencyLimit::beginWindow(TimePoint now)
{
    // Work that started under the previous limit goes on finishing for some latencies, and after a step up the first
    // new work to finish is the fast part. The baseline bounds the delay after a stall.
    constexpr double LongestSettle = 4;
    constexpr double LargeStep = 0.1;
    const bool largeStep = std::abs(m_limit - m_windowLimit) > LargeStep * m_windowLimit;
    const double settle = std::min(m_latency * (largeStep ? 2 : 1), LongestSettle * m_baseline);
    m_windowLimit = m_limit;
    m_window.restart(now + fromSeconds(settle), m_running);
}

} // namespace vanillatack
