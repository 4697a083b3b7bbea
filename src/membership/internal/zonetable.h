#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillatack {

/// Content of a zone's digest.
struct ZoneContent {
    std::map<ServiceName, ServiceSummary> services;
    std::vector<Member> relays;
    std::vector<Member> shareOwners;

    bool operator==(const ZoneContent &) const = default;
};

/// Last known digest of one zone, with the version history needed to send deltas.
struct ZoneRecord {
    ZoneName zone;
    ZoneContent content;
    std::uint64_t version = 0; ///< Version of the content; 0 while only heartbeats were received.
    std::uint64_t heartbeat = 0;
    StateVersions versions;
    int nodes = 0;
    std::optional<TimePoint> heartbeatReceivedAt; ///< Arrival of the last newer heartbeat.
    std::uint64_t spreadHeartbeat = 0; ///< Last heartbeat spread in the own zone.
    /// Value of heartbeat when a missed one was last requested; requested once per value.
    std::uint64_t requestedAfterHeartbeat = 0;
    TimePoint contentRequestedAt; ///< Time of the last request for newer content.
    bool contactsListed = false; ///< Whether the instance lists include the contacts.

    std::map<ServiceName, std::uint64_t> servicesChangedIn; ///< Version of each service's last change or removal.
    std::uint64_t relaysChangedIn = 0;
    std::uint64_t ownersChangedIn = 0;
    std::deque<std::uint64_t> history; ///< Versions since which the changes are known.
};

enum class DigestForm {
    Full,
    Delta,
    Heartbeat,
};

DigestForm formOf(const ZoneDigest &digest);

enum class ContentResult {
    UpToDate, ///< The digest has no newer content.
    Applied,
    RequestNeeded, ///< Newer content exists but cannot be applied from this digest.
};

/// Digests of all zones, including the own zone.
class ZoneTable
{
public:
    /// Limit on known zones, so that invalid zone names cannot fill the table.
    static constexpr std::size_t MaxZones = 64;

    ZoneRecord *find(const ZoneName &zone);
    [[nodiscard]] const ZoneRecord *find(const ZoneName &zone) const;

    /// Finds or creates the record of a zone; nullptr if the name is empty or MaxZones is reached.
    ZoneRecord *obtain(const ZoneName &zone);

    [[nodiscard]] std::map<ZoneName, ZoneRecord> &records()
    {
        return m_records;
    }

    [[nodiscard]] const std::map<ZoneName, ZoneRecord> &records() const
    {
        return m_records;
    }

    /// Applies a full digest or a delta. Adds the services whose summaries changed to the set.
    static ContentResult applyContent(ZoneRecord &record, const ZoneDigest &digest, std::set<ServiceName> &changed);

    /// Replaces the content of the own zone's digest and sets its new version.
    static void replaceContent(ZoneRecord &record,
                               const ZoneContent &content,
                               std::uint64_t version,
                               std::set<ServiceName> &changed);

    /// Applies the heartbeat of a digest; true if it is newer than the known heartbeat.
    static bool applyHeartbeat(ZoneRecord &record, const ZoneDigest &digest, TimePoint now);

    static ZoneDigest heartbeatOf(const ZoneRecord &record, const NodeName &sender);

    /// Delta since the base version if that version is in the history, else the full digest.
    static ZoneDigest contentSince(const ZoneRecord &record, std::uint64_t baseVersion, const NodeName &sender);

private:
    std::map<ZoneName, ZoneRecord> m_records;
};

} // namespace vanillatack
