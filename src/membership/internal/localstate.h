#pragma once

#include "base/random.h"
#include "membership/internal/membertable.h"
#include "membership/internal/zonetable.h"
#include "membership/membershipsetup.h"

#include <deque>

namespace vanillatack {

/// State of one node shared by its failure detection, gossip and digest exchange.
struct LocalState {
    LocalState(IClock &clockToUse,
               IRandom &randomToUse,
               IMessageSender &senderToUse,
               const SelfDescription &description,
               const MembershipSettings &settingsToUse);

    [[nodiscard]] std::uint64_t wallMs() const;
    std::uint64_t nextSequence();

    /// Random other live members of the own zone, at most count. All of them, in a fixed order, if there are no more
    /// than count.
    std::vector<Member> randomMembers(std::size_t count);

    /// Names of the first count relays of the own zone: live members by name, draining ones last.
    [[nodiscard]] std::vector<NodeName> relayNames(std::size_t count) const;

    /// Ping with queued updates, preceded by the receiver's own entry if it has to refute it. Receivers in other zones
    /// get no updates.
    Ping makePing(std::uint64_t sequence, const Member &receiver, std::size_t maxBytes);
    Ack makeAck(std::uint64_t sequence, const Member &receiver, std::size_t maxBytes);
    void sendPing(const Member &receiver, std::uint64_t sequence);

    /// Queues a ping to a member that others report alive but this node considers dead, so that it can refute.
    void queueVerification(const NodeName &node);

    IClock &clock;
    IRandom &random;
    IMessageSender &sender;
    const MembershipSettings settings;
    Member self;
    StateVersions versions;
    MemberTable table;
    ZoneTable zones;
    std::set<ServiceName> changedServices; ///< Services whose instance lists are compared at the next tick.
    std::optional<TimePoint> otherZoneReceivedAt;
    std::deque<NodeName> verificationQueue;
    bool settled = false; ///< The table's hash matched another member's, or settleTime has passed.

private:
    std::vector<Member> updatesFor(const Member &receiver, std::size_t maxBytes);

    std::uint64_t m_sequence;
};

} // namespace vanillatack
