#pragma once

#include "base/clock.h"
#include "membership/membershipsetup.h"
#include "model/messages.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillatack {

struct MemberRecord {
    Member member;
    TimePoint changedAt;
    std::optional<TimePoint> suspectSince; ///< Also set for a draining member, whose state does not show it.
    std::optional<StateVersions> versions; ///< From its last direct message.
    TimePoint polledAt;
    int transmitsLeft = 0; ///< How often the record is still passed on.
};

enum class MergeResult {
    Unchanged,
    Changed,
    Contradicted, ///< What is known here is stronger; the sender should learn it.
};

/// The members of the own zone, with this node. Live members have unique endpoints.
class MemberTable
{
public:
    using Records = std::map<NodeName, MemberRecord>;

    MemberTable(const MembershipSettings &settings, ZoneName zone, NodeName self);

    /// Sets this node's own entry and passes it on.
    void setSelf(const Member &self, TimePoint now);

    /// Takes in a report on another member.
    MergeResult merge(const Member &reported, TimePoint now);

    void suspect(const NodeName &node, TimePoint now);

    /// Passes on once more that the incarnation of the member is dead, if that still holds.
    void repeatDead(const NodeName &node, std::uint64_t incarnation);

    /// Turns suspects that did not refute into dead members and forgets old dead members.
    void expire(TimePoint now);

    /// Gives suspects more time after this node was paused.
    void extendSuspicions(Duration gap);

    /// Forgets all other members but keeps their incarnations as dead, for a table too old to be trusted.
    void forgetOthers();

    /// Records to pass on within the bytes, those least passed on first.
    std::vector<Member> takeUpdates(std::size_t maxBytes);

    /// What the member itself must hear to refute or to step down; nullopt when nothing.
    [[nodiscard]] std::optional<Member> contradictionOf(const Member &reported) const;

    [[nodiscard]] const MemberRecord *find(const NodeName &node) const;
    MemberRecord *find(const NodeName &node);

    [[nodiscard]] const Records &records() const
    {
        return m_records;
    }

    [[nodiscard]] Records &records()
    {
        return m_records;
    }

    /// Names of the live members in order, with this node.
    [[nodiscard]] const std::vector<NodeName> &live() const;

    [[nodiscard]] bool isLiveEndpoint(const Endpoint &endpoint) const
    {
        return m_liveEndpoints.contains(endpoint);
    }

    /// Hash of name and incarnation, equal in all processes.
    static std::uint64_t hashOf(const Member &member);

    /// Equal at nodes that know the same live members with the same incarnations.
    [[nodiscard]] std::uint64_t hash() const;

    [[nodiscard]] bool hasUpdates() const
    {
        return !m_updates.empty();
    }

    /// Grows with each change of a record.
    [[nodiscard]] std::uint64_t generation() const
    {
        return m_generation;
    }

    /// Services with changed members since the last call.
    std::set<ServiceName> takeChangedServices();

private:
    MergeResult mergeUnknown(const Member &reported, TimePoint now);
    bool takeEndpoint(const Member &reported, TimePoint now);
    void store(MemberRecord &record, const Member &member, TimePoint now);
    void passOn(MemberRecord &record);
    void dropOutdatedUpdates();
    void forgetOldDead(TimePoint now);
    void remember(const Member &forgotten);

    const MembershipSettings &m_settings;
    ZoneName m_zone;
    NodeName m_self;
    Records m_records;
    absl::flat_hash_map<Endpoint, NodeName> m_liveEndpoints;
    // Highest incarnation of forgotten members, so that delayed gossip cannot bring them back.
    absl::flat_hash_map<NodeName, std::uint64_t> m_forgotten;
    std::deque<NodeName> m_forgottenOrder;
    // Records to pass on by transmissions left, most first. An entry whose record has another count is outdated.
    std::map<int, std::deque<NodeName>, std::greater<>> m_updates;
    std::set<NodeName> m_suspects; ///< Holds every suspected member; may hold others until the next expire().
    TimePoint m_nextForget;
    std::set<ServiceName> m_changedServices;
    std::uint64_t m_generation = 0;
    mutable std::uint64_t m_cachedGeneration = UINT64_MAX;
    mutable std::vector<NodeName> m_live;
    mutable std::uint64_t m_hash = 0;
};

} // namespace vanillatack
