#include "node/internal/upstreamlife.h"

namespace vanillatack {

namespace {

/// Three announcements of one second each, and some delay.
constexpr std::chrono::milliseconds SilenceLimit{3500};

} // namespace

UpstreamLife::UpstreamLife(const StateChart &chart)
    : m_chart(chart)
{
}

bool UpstreamLife::announce(const UpstreamAnnouncement &announcement, TimePoint now)
{
    const bool moved =
        m_announcement.endpoint != announcement.endpoint || m_announcement.service != announcement.service;
    const std::string action = m_chart.handle("announced-" + announcement.state);
    m_announcement = announcement;
    m_heardAt = now;
    return moved || action == "join" || action == "cool" || action == "undrain";
}

void UpstreamLife::setOperatorDrain(bool draining)
{
    m_chart.handle(draining ? "operator-drain" : "operator-undrain");
}

void UpstreamLife::tick(TimePoint now)
{
    if (now - m_heardAt > SilenceLimit) {
        m_chart.handle("silent");
    }
}

bool UpstreamLife::isServing() const
{
    return m_chart.state() == "cold" || m_chart.state() == "ready";
}

bool UpstreamLife::isDraining() const
{
    return m_chart.state() == "draining" || m_chart.state() == "operator-draining";
}

bool UpstreamLife::isCold() const
{
    return m_chart.state() == "cold";
}

const std::string &UpstreamLife::state() const
{
    return m_chart.state();
}

const UpstreamAnnouncement &UpstreamLife::announcement() const
{
    return m_announcement;
}

} // namespace vanillatack
