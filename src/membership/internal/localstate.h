#pragma once

#include "base/random.h"
#include "membership/internal/membertable.h"
#include "membership/internal/zonetable.h"
#include "membership/membershipsetup.h"

#include <deque>

namespace vanillatack {

/// What the parts of one node's membership share.
struct LocalState {
    LocalState(IClock &clockToUse,
               IRandom &randomToUse,
               IMessageSender &senderToUse,
               const SelfDescription &description,
               const MembershipSettings &settingsToUse);

    [[nodiscard]] std::uint64_t wallMs() const;
    std::uint64_t nextSequence();

    /// Other live members of the own zone, at most count, in random order.
    std::vector<Member> randomPeers(std::size_t count);

    /// Names of the relays of the own zone, first relay first: lowest live names, draining ones last.
    [[nodiscard]] std::vector<NodeName> relayNames(std::size_t count) const;

    /// Probe of a receiver, with what it must hear of itself and further updates. Receivers in other zones get none.
    Ping makePing(std::uint64_t sequence, const Member &receiver, std::size_t maxBytes);
    Ack makeAck(std::uint64_t sequence, const Member &receiver, std::size_t maxBytes);
    void sendPing(const Member &receiver, std::uint64_t sequence);

    /// Pings a member that others report alive and this node as dead, so that it refutes.
    void verifyLater(const NodeName &node);

    IClock &clock;
    IRandom &random;
    IMessageSender &sender;
    const MembershipSettings settings;
    Member self;
    StateVersions versions;
    MemberTable table;
    ZoneTable zones;
    std::set<ServiceName> changedServices; ///< Instance lists to compare at the next tick.
    std::optional<TimePoint> otherZoneHeardAt;
    std::deque<NodeName> toVerify;
    bool settled = false; ///< Whether the member table was found equal to that of a peer, or is old enough.

private:
    std::vector<Member> updatesFor(const Member &receiver, std::size_t maxBytes);

    std::uint64_t m_sequence;
};

} // namespace vanillatack
