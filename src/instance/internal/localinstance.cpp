#include "instance/localinstance.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

/// Time for which announcements that were sent before a withdrawal can arrive after it. Needed only for withdrawals
/// that do not say which start has ended; the others exclude no later start.
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
            // Draining is final, so that it holds although a later announcement has arrived before it.
            m_current->draining |= sameStart && announcement.draining && announcement.id == m_current->id;
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
        const Departure &departure = withdrawal.departure;
        return departure.instance == announcement.id
            && (departure.startedAtMs == 0 ? now - withdrawal.at <= LateAnnouncementTime
                                           : announcement.startedAtMs <= departure.startedAtMs);
    });
}

AnnouncementVerdict LocalInstance::withdraw(const std::string &id, std::uint64_t startedAtMs, TimePoint now)
{
    if (!m_current || m_current->id != id) {
        restore({{id, startedAtMs}}, now);
        return AnnouncementVerdict::Foreign;
    }
    if (startedAtMs != 0 && startedAtMs < m_current->startedAtMs) {
        return AnnouncementVerdict::Outdated;
    }
    m_withdrawn = true;
    return AnnouncementVerdict::Accepted;
}

Departure LocalInstance::departureOf(const std::string &id, std::uint64_t startedAtMs) const
{
    const bool isCurrent = m_current && m_current->id == id;
    return {.instance = id, .startedAtMs = isCurrent && startedAtMs == 0 ? m_current->startedAtMs : startedAtMs};
}

void LocalInstance::startRecovery()
{
    m_recovering = true;
}

void LocalInstance::finishRecovery()
{
    m_recovering = false;
}

void LocalInstance::restore(const std::vector<Departure> &departures, TimePoint now)
{
    for (const Departure &departure : departures) {
        m_earlyWithdrawals.push_back({departure, now});
        if (m_earlyWithdrawals.size() > MaxEarlyWithdrawals) {
            m_earlyWithdrawals.pop_front();
        }
    }
    m_withdrawn = m_withdrawn || (m_current && isWithdrawn(*m_current, now));
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
    return m_current && !m_recovering && !m_current->draining && !m_withdrawn && !m_unreachable
        && now - m_lastReceivedAt <= m_announcementTimeout;
}

} // namespace vanillatack
