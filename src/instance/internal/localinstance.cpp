#include "instance/localinstance.h"

#include <utility>

namespace vanillatack {

LocalInstance::LocalInstance(ServiceName service, Endpoint address, Duration announcementTimeout)
    : m_service(std::move(service))
    , m_address(std::move(address))
    , m_announcementTimeout(announcementTimeout)
{
}

AnnouncementVerdict LocalInstance::announce(const InstanceAnnouncement &announcement, TimePoint now)
{
    if (announcement.service != m_service || announcement.address != m_address) {
        return AnnouncementVerdict::Foreign;
    }
    if (m_current) {
        const bool sameStart = announcement.startedAtMs == m_current->startedAtMs;
        const bool earlierStart = announcement.startedAtMs < m_current->startedAtMs;
        if (earlierStart || (sameStart && announcement.sequence <= m_current->sequence)) {
            return AnnouncementVerdict::Outdated;
        }
        if (!sameStart) {
            m_withdrawn = false;
        }
    }
    // Draining is final until the instance is started again.
    const bool wasDraining = m_current && m_current->draining && announcement.startedAtMs == m_current->startedAtMs;
    m_current = announcement;
    m_current->draining |= wasDraining;
    m_unreachable = false;
    m_lastReceivedAt = now;
    return AnnouncementVerdict::Accepted;
}

AnnouncementVerdict LocalInstance::withdraw(const std::string &id, std::uint64_t startedAtMs)
{
    if (!m_current || m_current->id != id) {
        return AnnouncementVerdict::Foreign;
    }
    if (startedAtMs != 0 && startedAtMs < m_current->startedAtMs) {
        return AnnouncementVerdict::Outdated;
    }
    m_withdrawn = true;
    return AnnouncementVerdict::Accepted;
}

void LocalInstance::markDraining()
{
    if (m_current) {
        m_current->draining = true;
    }
}

void LocalInstance::markUnreachable()
{
    m_unreachable = true;
}

bool LocalInstance::accepts(TimePoint now) const
{
    return m_current && !m_current->draining && !m_withdrawn && !m_unreachable
        && now - m_lastReceivedAt <= m_announcementTimeout;
}

} // namespace vanillatack
