#include "admission/internal/latencywindow.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void LatencyWindow::restart(TimePoint start, int running)
{
    *this = LatencyWindow();
    m_start = start;
    m_runningSince = start;
    m_running = running;
    m_peakRunning = running;
}

void LatencyWindow::recordRunning(TimePoint now, int running)
{
    m_runningSeconds += m_running * seconds(now - m_runningSince);
    m_runningSince = now;
    m_running = running;
    m_peakRunning = std::max(m_peakRunning, running);
}

void LatencyWindow::recordFinish(WorkOutcome outcome, Duration latency)
{
    switch (outcome) {
    case WorkOutcome::Succeeded: {
        const double value = seconds(latency);
        ++m_samples;
        m_sum += value;
        m_sumOfSquares += value * value;
        break;
    }
    case WorkOutcome::Failed:
        ++m_failed;
        break;
    case WorkOutcome::Overloaded:
        ++m_overloaded;
        break;
    case WorkOutcome::Cancelled:
        break;
    }
}

void LatencyWindow::recordQueued()
{
    m_requestQueued = true;
}

TimePoint LatencyWindow::start() const
{
    return m_start;
}

int LatencyWindow::samples() const
{
    return m_samples;
}

double LatencyWindow::mean() const
{
    return m_samples == 0 ? 0 : m_sum / m_samples;
}

double LatencyWindow::standardError() const
{
    if (m_samples < 2) {
        return mean();
    }
    const double variance = std::max(0.0, m_sumOfSquares / m_samples - mean() * mean());
    return std::sqrt(variance / m_samples);
}

double LatencyWindow::meanRunning(TimePoint now) const
{
    const double elapsed = seconds(now - m_start);
    if (elapsed <= 0) {
        return m_running;
    }
    return (m_runningSeconds + m_running * seconds(now - m_runningSince)) / elapsed;
}

int LatencyWindow::peakRunning() const
{
    return m_peakRunning;
}

bool LatencyWindow::requestQueued() const
{
    return m_requestQueued;
}

double LatencyWindow::overloadedShare() const
{
    return shareOf(m_overloaded);
}

double LatencyWindow::failedShare() const
{
    return shareOf(m_failed);
}

double LatencyWindow::shareOf(int count) const
{
    const int finished = m_samples + m_failed + m_overloaded;
    return finished == 0 ? 0 : static_cast<double>(count) / finished;
}

} // namespace vanillatack
