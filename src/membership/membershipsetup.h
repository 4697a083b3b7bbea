#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "membership/imembership.h"

#include <cstddef>
#include <memory>

namespace vanillatack {

/// Time constants and bounds of membership. The defaults fit 13 zones of about 200 nodes in 22 KB/s per node.
struct MembershipSettings {
    Duration probePeriod = std::chrono::milliseconds(500);
    Duration ackTimeout = std::chrono::milliseconds(200); ///< Then other members are asked to probe.
    int indirectProbes = 3;
    Duration suspicionTimeout = std::chrono::seconds(1); ///< Time to refute before a suspect counts as dead.

    Duration gossipPeriod = std::chrono::milliseconds(100); ///< Only while there are updates to pass on.
    int gossipFanout = 2;
    std::size_t gossipBytes = 600; ///< Bounds the traffic of mass changes to about 12 KB/s.
    std::size_t probeBytes = 1100; ///< Below the 1,200 bytes of a datagram, since sizes are estimates.

    Duration syncAfter = std::chrono::seconds(3); ///< Member hashes differ from all peers for this long.
    Duration syncInterval = std::chrono::seconds(5);

    Duration deadRetention = std::chrono::hours(1); ///< Then only the incarnation of a dead member is kept.
    std::size_t maxForgotten = 20'000; ///< Kept incarnations of forgotten members.

    Duration pauseGap = std::chrono::seconds(1); ///< A longer time between ticks means that this node was paused.
    Duration longPause = std::chrono::minutes(1); ///< The member table is too old to be passed on after this.

    Duration firstContactPeriod = std::chrono::seconds(1); ///< Seed contact while no peer is known.
    Duration recontactPeriod = std::chrono::seconds(10); ///< Contact of seeds and dead members, to merge splits.

    Duration settleTime = std::chrono::seconds(5); ///< A node whose table equals no peer's makes no digest before.
    std::size_t relays = 4;
    Duration relayPeriod = std::chrono::seconds(1);
    int relayPings = 3; ///< Relays of other zones pinged per period, for document versions.
    Duration backupDelay = std::chrono::seconds(3); ///< Silence of the first relay before another one steps in.
    Duration disagreementDelay = std::chrono::seconds(5); ///< Before a relay replaces a digest it did not cause.
    Duration heartbeatSpread = std::chrono::seconds(2); ///< Per zone, inside the own zone.
    int digestFanout = 3;
    Duration heartbeatMissed = std::chrono::seconds(3); ///< Then the node asks a relay of its zone once.

    Duration zoneReachable = std::chrono::seconds(5);
    Duration contactExpiry = std::chrono::seconds(8); ///< Contacts of a silent zone are withdrawn after this.
    Duration versionPollPeriod = std::chrono::seconds(1); ///< Per member with other versions, by the first relay.
    int versionPollsPerTick = 2;
};

/// The references must outlive the result. The incarnation is the wall time at this call.
std::unique_ptr<IMembership> makeMembership(IClock &clock,
                                            IRandom &random,
                                            IMessageSender &sender,
                                            IMembershipListener &listener,
                                            const SelfDescription &self,
                                            const MembershipSettings &settings = {});

/// Estimated bytes of a membership message on the wire: Cap'n Proto, authentication code, UDP and IP headers.
std::size_t estimateBytes(const Member &member);
std::size_t estimateBytes(const ControlMessage &message);

} // namespace vanillatack
