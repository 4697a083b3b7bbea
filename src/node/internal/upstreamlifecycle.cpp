#include "node/internal/upstreamlifecycle.h"

namespace vanillatack {

namespace {

/// Three announcement intervals of 1 s each, plus a margin for delays.
constexpr std::chrono::milliseconds AnnouncementTimeout{3500};

} // namespace

UpstreamLifecycle::UpstreamLifecycle(const StateChart &chart)
    : m_chart(chart)
{
}

bool UpstreamLifecycle::announce(const UpstreamAnnouncement &announcement, TimePoint now)
{
    const bool moved =
        m_announcement.endpoint != announcement.endpoint || m_announcement.service != announcement.service;
    const std::string action = m_chart.handle("announced-" + announcement.state);
    m_announcement = announcement;
    m_lastReceivedAt = now;
    return moved || action == "join" || action == "cool" || action == "undrain";
}

void UpstreamLifecycle::setOperatorDrain(bool draining)
{
    m_chart.handle(draining ? "operator-drain" : "operator-undrain");
}

void UpstreamLifecycle::tick(TimePoint now)
{
    if (now - m_lastReceivedAt > AnnouncementTimeout) {
        m_chart.handle("silent");
    }
}

bool UpstreamLifecycle::isServing() const
{
    return m_chart.state() == "cold" || m_chart.state() == "ready";
}

bool UpstreamLifecycle::isDraining() const
{
    return m_chart.state() == "draining" || m_chart.state() == "operator-draining";
}

bool UpstreamLifecycle::isCold() const
{
    return m_chart.state() == "cold";
}

const std::string &UpstreamLifecycle::state() const
{
    return m_chart.state();
}

const UpstreamAnnouncement &UpstreamLifecycle::announcement() const
{
    return m_announcement;
}

} // namespace vanillatack
