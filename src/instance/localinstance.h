#pragma once

#include "base/clock.h"
#include "base/nametable.h"
#include "model/ids.h"
#include "model/messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// State that an instance announces about itself.
struct InstanceAnnouncement {
    std::string id;
    std::uint64_t startedAtMs = 0; ///< Wall-clock time of the instance's start; distinguishes starts with the same id.
    std::int64_t sequence = 0; ///< Increases with each announcement since the start.
    ServiceName service;
    Endpoint address;
    int slots = 0; ///< Maximum number of concurrent requests.
    bool draining = false;
    Duration coldRemaining{0}; ///< Remaining time for which the instance is slow after its start.
};

enum class AnnouncementVerdict {
    Accepted,
    Outdated, ///< From an earlier start, or older than the current announcement.
    Foreign, ///< From an instance other than the local instance.
};

inline constexpr auto AnnouncementVerdictNames = makeNameTable<AnnouncementVerdict, 3>({
    {AnnouncementVerdict::Accepted, "accepted"},
    {AnnouncementVerdict::Outdated, "outdated"},
    {AnnouncementVerdict::Foreign, "foreign"},
});

/// Announced state of the local instance, and whether it may receive new requests.
class LocalInstance
{
public:
    /// Announcements from other services or addresses are classified as foreign. Without an announcement for longer
    /// than announcementTimeout, the instance counts as unresponsive.
    LocalInstance(ServiceName service, Endpoint address, Duration announcementTimeout);

    AnnouncementVerdict announce(const InstanceAnnouncement &announcement, TimePoint now);

    /// Records that the instance has stopped or is about to stop; it receives no new requests until a later start is
    /// announced. startedAtMs 0 means the current start. The withdrawal of an instance that was not announced here is
    /// Foreign, but remembered: this node may have been restarted, and an announcement sent earlier may still arrive.
    AnnouncementVerdict withdraw(const std::string &id, std::uint64_t startedAtMs, TimePoint now);

    /// The departure to which a withdrawal with these arguments amounts.
    [[nodiscard]] Departure departureOf(const std::string &id, std::uint64_t startedAtMs) const;

    /// Until finishRecovery(), no requests are accepted: this process does not know yet which instances have left.
    void startRecovery();
    void finishRecovery();

    /// Records departures that an earlier process has acknowledged.
    void restore(const std::vector<Departure> &departures, TimePoint now);

    /// Records that the instance has said in a response that it is about to stop; the same as an announcement that it
    /// is draining.
    void markDraining();

    /// Records that nothing listens at the instance's address, or that another instance answered there. Reset by the
    /// next accepted announcement.
    void markUnreachable();

    /// Whether new requests may be forwarded: announced within the timeout, neither draining, withdrawn nor
    /// unreachable, and not recovering.
    [[nodiscard]] bool accepts(TimePoint now) const;

    /// The newest accepted announcement, also when the instance is draining or withdrawn.
    [[nodiscard]] const std::optional<InstanceAnnouncement> &current() const
    {
        return m_current;
    }

private:
    /// Withdrawal of an instance that was not announced here.
    struct EarlyWithdrawal {
        Departure departure;
        TimePoint at;
    };

    [[nodiscard]] bool isWithdrawn(const InstanceAnnouncement &announcement, TimePoint now) const;

    ServiceName m_service;
    Endpoint m_address;
    Duration m_announcementTimeout;
    std::optional<InstanceAnnouncement> m_current;
    bool m_withdrawn = false;
    std::deque<EarlyWithdrawal> m_earlyWithdrawals; ///< The newest ones, oldest first.
    bool m_unreachable = false;
    bool m_recovering = false;
    TimePoint m_lastReceivedAt;
};

} // namespace vanillatack
