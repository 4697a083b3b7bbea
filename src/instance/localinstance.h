#pragma once

#include "base/clock.h"
#include "base/nametable.h"
#include "model/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillatack {

/// What an instance says of itself.
struct InstanceAnnouncement {
    std::string id;
    std::uint64_t startedAtMs = 0; ///< Wall time of the instance's start; tells two starts under one id apart.
    std::int64_t sequence = 0; ///< Grows with each announcement of one start.
    ServiceName service;
    Endpoint address;
    int slots = 0; ///< Requests that it runs at once.
    bool draining = false;
    Duration coldRemaining{0}; ///< How long it stays slow after its start.
};

enum class AnnouncementVerdict {
    Accepted,
    Outdated, ///< Of an earlier start, or overtaken by a later announcement.
    Foreign, ///< Of an instance that does not run beside this node.
};

inline constexpr auto AnnouncementVerdictNames = makeNameTable<AnnouncementVerdict, 3>({
    {AnnouncementVerdict::Accepted, "accepted"},
    {AnnouncementVerdict::Outdated, "outdated"},
    {AnnouncementVerdict::Foreign, "foreign"},
});

/// The instance beside this node: who it is now, and whether it may get new requests.
class LocalInstance
{
public:
    /// Announcements of other services or addresses are foreign.
    LocalInstance(ServiceName service, Endpoint address, Duration silenceLimit);

    AnnouncementVerdict announce(const InstanceAnnouncement &announcement, TimePoint now);

    /// The instance has ended or is about to; it gets no new request until a later start announces itself. startedAtMs
    /// 0 stands for the current start.
    AnnouncementVerdict withdraw(const std::string &id, std::uint64_t startedAtMs);

    /// Nothing listens at the instance's address, or another instance answered there.
    void markUnreachable();

    /// Whether new requests may be passed on: announced, not leaving, heard within the silence limit.
    [[nodiscard]] bool accepts(TimePoint now) const;

    /// The newest announcement, also of an instance that is leaving.
    [[nodiscard]] const std::optional<InstanceAnnouncement> &current() const
    {
        return m_current;
    }

private:
    ServiceName m_service;
    Endpoint m_address;
    Duration m_silenceLimit;
    std::optional<InstanceAnnouncement> m_current;
    bool m_withdrawn = false;
    bool m_unreachable = false;
    TimePoint m_heardAt;
};

} // namespace vanillatack
