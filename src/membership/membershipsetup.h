#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "membership/imembership.h"

#include <cstddef>
#include <memory>

namespace vanillatack {

/// Timers and limits of membership. With the defaults, 13 zones of about 200 nodes use 22 KB/s per node.
struct MembershipSettings {
    Duration probePeriod = std::chrono::milliseconds(500);
    Duration ackTimeout = std::chrono::milliseconds(200); ///< Time until other members are asked to probe indirectly.
    int indirectProbes = 3; ///< Members asked to probe an unresponsive member.
    Duration suspicionTimeout = std::chrono::seconds(1); ///< Time for a suspect to refute before it is declared dead.

    Duration gossipPeriod = std::chrono::milliseconds(100); ///< Gossip is sent only while updates are queued.
    int gossipFanout = 2; ///< Members that get gossip per period.
    std::size_t gossipBytes = 600; ///< Bounds the traffic of mass changes to about 12 KB/s.
    std::size_t probeBytes = 1100; ///< Below the datagram limit of 1,200 bytes because sizes are estimates.

    Duration syncDelay = std::chrono::seconds(3); ///< Time without a matching member hash before a full sync.
    Duration syncInterval = std::chrono::seconds(5);

    /// After this time only the incarnation of a dead or left member is kept.
    Duration deadRetention = std::chrono::hours(1);
    std::size_t maxRemovedIncarnations = 20'000; ///< Limit of incarnations kept of removed members.

    Duration pauseThreshold = std::chrono::seconds(1); ///< Ticks further apart mean that the process was paused.
    Duration rejoinThreshold = std::chrono::minutes(1); ///< After a longer pause the member table is too old to share.

    /// Interval between contacts to seeds while no other member is known.
    Duration firstContactPeriod = std::chrono::seconds(1);
    /// Interval between contacts to seeds and dead members, which merge partitions.
    Duration recontactPeriod = std::chrono::seconds(10);

    /// Time after start or rejoining from which a relay publishes the digest of its zone even if its member hash has
    /// not matched that of another member.
    Duration settleTime = std::chrono::seconds(5);
    std::size_t relays = 4; ///< Relays per zone.
    Duration relayPeriod = std::chrono::seconds(1);
    int relayPings = 3; ///< Relays of other zones pinged per period to exchange document versions.
    /// Time without a heartbeat of the first relay before another takes over.
    Duration backupDelay = std::chrono::seconds(3);
    /// Time for which a digest must differ from a relay's view before it is replaced.
    Duration disagreementDelay = std::chrono::seconds(5);
    /// Minimum interval between heartbeats of one zone that are spread in the own zone.
    Duration heartbeatInterval = std::chrono::seconds(2);
    int digestFanout = 3; ///< Members that each digest is spread to, and children per node of the heartbeat tree.
    /// Time without a heartbeat of a zone before a relay of the own zone is asked for it, once per missed heartbeat.
    Duration heartbeatTimeout = std::chrono::seconds(3);

    Duration zoneTimeout = std::chrono::seconds(5); ///< A zone without heartbeats for longer is unreachable.
    /// Contacts and share owners of a zone without heartbeats for longer are not listed.
    Duration contactExpiry = std::chrono::seconds(8);
    /// Interval at which the first relay pings a member that reports other versions.
    Duration versionPollPeriod = std::chrono::seconds(1);
    int versionPollsPerTick = 2; ///< Maximum number of these pings per tick.
};

/// Creates the membership of a node. The references must outlive it. The first incarnation is the current wall time in
/// milliseconds.
std::unique_ptr<IMembership> makeMembership(IClock &clock,
                                            IRandom &random,
                                            IMessageSender &sender,
                                            IMembershipListener &listener,
                                            const SelfDescription &self,
                                            const MembershipSettings &settings = {});

/// Estimated size of a member entry within a message, in bytes.
std::size_t estimateBytes(const Member &member);
/// Estimated size of a membership message on the wire, in bytes: Cap'n Proto, authentication code, UDP and IP headers.
/// For other messages, only the part around the body.
std::size_t estimateBytes(const ControlMessage &message);

} // namespace vanillatack
