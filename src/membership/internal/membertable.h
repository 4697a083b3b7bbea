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
    std::optional<TimePoint> suspectSince; ///< Also set for a suspected member in state Draining.
    std::optional<StateVersions> versions; ///< Versions reported in its last direct message.
    TimePoint polledAt; ///< Last ping that polled the versions.
    int transmissionsLeft = 0; ///< Remaining gossip transmissions.
};

enum class MergeResult {
    Unchanged,
    Changed,
    Contradicted, ///< The known entry takes precedence; the sender should learn it.
};

/// Members of the own zone, including this node. Live members have unique endpoints.
class MemberTable
{
public:
    using Records = std::map<NodeName, MemberRecord>;

    MemberTable(const MembershipSettings &settings, ZoneName zone, NodeName self);

    /// Sets this node's own entry and queues it for gossip.
    void setSelf(const Member &self, TimePoint now);

    /// Merges a reported entry of another member.
    MergeResult merge(const Member &reported, TimePoint now);

    void suspect(const NodeName &node, TimePoint now);

    /// Queues the dead entry for gossip again if that incarnation of the member is still considered dead.
    void rebroadcastDead(const NodeName &node, std::uint64_t incarnation);

    /// Declares suspects dead that did not refute in time, and removes dead and left members past their retention.
    void expire(TimePoint now);

    /// Extends the time to refute of all suspects by the length of a pause of this process.
    void extendSuspicions(Duration gap);

    /// Removes all other members from a table that is too old to be trusted. Keeps the incarnations of those known as
    /// dead or left.
    void removeOthers();

    /// Queued updates of at most maxBytes, those with the most transmissions left first. Counts one transmission each.
    std::vector<Member> popUpdates(std::size_t maxBytes);

    /// Entry of this table that contradicts the report of a member about itself; nullopt if there is none. It is sent
    /// to the member, which refutes it, or stops if another node runs under its name.
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

    /// Sorted names of the live members, including this node.
    [[nodiscard]] const std::vector<NodeName> &live() const;

    [[nodiscard]] bool isLiveEndpoint(const Endpoint &endpoint) const
    {
        return m_liveEndpoints.contains(endpoint);
    }

    /// Hash of name and incarnation that is the same in every process.
    static std::uint64_t hashOf(const Member &member);

    /// Hash over the live members and their incarnations, for comparing the tables of two nodes.
    [[nodiscard]] std::uint64_t hash() const;

    [[nodiscard]] bool hasUpdates() const
    {
        return !m_updates.empty();
    }

    /// Counter that increases with each change of a record.
    [[nodiscard]] std::uint64_t generation() const
    {
        return m_generation;
    }

    /// Services whose members changed since the last call.
    std::set<ServiceName> popChangedServices();

private:
    MergeResult mergeUnknown(const Member &reported, TimePoint now);
    /// Whether the reported member may use its endpoint. Declares another holder with a lower incarnation dead.
    bool takeOverEndpoint(const Member &reported, TimePoint now);
    void store(MemberRecord &record, const Member &member, TimePoint now);
    void enqueueUpdate(MemberRecord &record);
    void removeOutdatedUpdates();
    void removeExpired(TimePoint now);
    void recordRemoved(const Member &removed);

    const MembershipSettings &m_settings;
    ZoneName m_zone;
    NodeName m_self;
    Records m_records;
    absl::flat_hash_map<Endpoint, NodeName> m_liveEndpoints;
    // Highest incarnations of removed members, so that delayed gossip does not add them again.
    absl::flat_hash_map<NodeName, std::uint64_t> m_removedIncarnations;
    std::deque<NodeName> m_removalOrder;
    // Gossip queue by transmissions left, most first. An entry is outdated if its record has a different count.
    std::map<int, std::deque<NodeName>, std::greater<>> m_updates;
    std::set<NodeName> m_suspects; ///< All suspected members; others are removed by the next expire().
    TimePoint m_nextRemoval;
    std::set<ServiceName> m_changedServices;
    std::uint64_t m_generation = 0;
    mutable std::uint64_t m_cachedGeneration = UINT64_MAX;
    mutable std::vector<NodeName> m_live;
    mutable std::uint64_t m_hash = 0;
};

} // namespace vanillatack
