#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillatack {

/// What a zone tells other zones.
struct ZoneContent {
    std::map<ServiceName, ServiceSummary> services;
    std::vector<Member> relays;
    std::vector<Member> shareOwners;

    bool operator==(const ZoneContent &) const = default;
};

/// The digest of one zone as known here, with what is needed to send only changes of it.
struct ZoneRecord {
    ZoneName zone;
    ZoneContent content;
    std::uint64_t version = 0; ///< 0 while only heartbeats are known.
    std::uint64_t heartbeat = 0;
    StateVersions versions;
    int nodes = 0;
    std::optional<TimePoint> heardAt; ///< Last time that a newer heartbeat arrived.
    std::uint64_t spreadHeartbeat = 0; ///< Last heartbeat passed on inside the own zone.
    std::uint64_t askedHeartbeat = 0; ///< Heartbeat after which a relay was asked for a missed one.
    TimePoint askedAt; ///< Last request for newer content.
    bool contactsListed = false; ///< Whether the contacts are part of the instance lists.

    std::map<ServiceName, std::uint64_t> changedIn; ///< Version of the last change of a service, also when removed.
    std::uint64_t relaysChangedIn = 0;
    std::uint64_t ownersChangedIn = 0;
    std::deque<std::uint64_t> history; ///< Versions that this record went through; changes since these are known.
};

enum class DigestForm {
    Whole,
    Change,
    Heartbeat,
};

DigestForm formOf(const ZoneDigest &digest);

enum class ContentResult {
    Known, ///< Nothing newer.
    Applied,
    Missing, ///< The digest shows that newer content exists.
};

/// The digests of all zones, with the own zone.
class ZoneTable
{
public:
    /// Zones known at most, against made-up names.
    static constexpr std::size_t MaxZones = 64;

    ZoneRecord *find(const ZoneName &zone);
    [[nodiscard]] const ZoneRecord *find(const ZoneName &zone) const;

    /// The record of the zone, new if need be; nullptr when there are too many zones.
    ZoneRecord *obtain(const ZoneName &zone);

    [[nodiscard]] std::map<ZoneName, ZoneRecord> &records()
    {
        return m_records;
    }

    [[nodiscard]] const std::map<ZoneName, ZoneRecord> &records() const
    {
        return m_records;
    }

    /// Takes in whole digests and changes. Services whose contacts changed are added to the set.
    static ContentResult applyContent(ZoneRecord &record, const ZoneDigest &digest, std::set<ServiceName> &changed);

    /// Replaces the content of the own zone under a new version.
    static void replaceContent(ZoneRecord &record,
                               const ZoneContent &content,
                               std::uint64_t version,
                               std::set<ServiceName> &changed);

    /// Takes in the heartbeat; true when it is newer than the known one.
    static bool applyHeartbeat(ZoneRecord &record, const ZoneDigest &digest, TimePoint now);

    static ZoneDigest heartbeatOf(const ZoneRecord &record, const NodeName &sender);

    /// The changes since the base version where its history is known, else the whole digest.
    static ZoneDigest contentSince(const ZoneRecord &record, std::uint64_t baseVersion, const NodeName &sender);

private:
    std::map<ZoneName, ZoneRecord> m_records;
};

} // namespace vanillatack
