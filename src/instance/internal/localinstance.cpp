#include "instance/localinstance.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

/// Time for which announcements that were sent before a withdrawal can arrive after it.
constexpr Duration LateAnnouncementTime = std::chrono::seconds(30);
constexpr std::size_t MaxEarlyWithdrawals = 64;

} // namespace

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
    if (isWithdrawn(announcement, now)) {
        return AnnouncementVerdict::Outdated;
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

bool LocalInstance::isWithdrawn(const InstanceAnnouncement &announcement, TimePoint now) const
{
    return std::any_of(m_earlyWithdrawals.begin(), m_earlyWithdrawals.end(), [&](const EarlyWithdrawal &withdrawal) {
        return withdrawal.id == announcement.id && now - withdrawal.at <= LateAnnouncementTime
            && (withdrawal.startedAtMs == 0 || announcement.startedAtMs <= withdrawal.startedAtMs);
    });
}

AnnouncementVerdict LocalInstance::withdraw(const std::string &id, std::uint64_t startedAtMs, TimePoint now)
{
    if (!m_current || m_current->id != id) {
        m_earlyWithdrawals.push_back({id, startedAtMs, now});
        if (m_earlyWithdrawals.size() > MaxEarlyWithdrawals) {
            m_earlyWithdrawals.pop_front();
        }
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
