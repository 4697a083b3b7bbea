#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <optional>
#include <vector>

namespace vanillatack {

/// The local node as configured in its settings.
struct SelfDescription {
    NodeName node;
    ZoneName zone;
    Endpoint endpoint;
    int shareSlot = -1;
    std::vector<Endpoint> seeds; ///< Nodes of any zone to contact to join and to merge partitions.
};

struct ZoneStatus {
    ZoneName zone;
    int nodes = 0;
    StateVersions versions; ///< Lowest versions in force at any node of the zone.
    bool reachable = false; ///< A heartbeat of the zone was received within the last 5 s.
    Duration heartbeatAge{0}; ///< Time since a newer heartbeat last arrived; 0: own zone, Duration::max(): none.
};

/// Listener for membership changes. Notified from within calls of IMembership, which it must not call back.
class IMembershipListener
{
public:
    virtual ~IMembershipListener() = default;

    /// The instances of a service changed. The list holds those of the own zone and the contacts in other zones.
    virtual void onServiceChanged(const ServiceName &service, const std::vector<Member> &instances) = 0;

    /// A node reported document versions or withdrawn keys that differ from those of this node.
    virtual void onPeerVersions(const Endpoint &peer, const StateVersions &versions) = 0;
};

/// SWIM membership of the own zone, and summaries (digests) of the other zones.
class IMembership
{
public:
    virtual ~IMembership() = default;

    /// Runs due timers. To be called about every 50 ms.
    virtual void tick() = 0;

    virtual void receive(const Endpoint &from, const Ping &message) = 0;
    virtual void receive(const Endpoint &from, const PingIndirect &message) = 0;
    virtual void receive(const Endpoint &from, const Ack &message) = 0;
    virtual void receive(const Endpoint &from, const MemberSync &message) = 0;
    virtual void receive(const Endpoint &from, const ZoneDigest &message) = 0;

    /// Sets the upstream instance that runs on this VM; an empty service means that there is none.
    virtual void setUpstream(const ServiceName &service, int slots, bool cold) = 0;

    virtual void setDraining(bool draining) = 0;

    /// Announces to other members that this node leaves, then stops sending. Last step of a graceful shutdown.
    virtual void leave() = 0;

    /// Sets the versions that this node has in force and reports in its messages.
    virtual void setVersions(const StateVersions &versions) = 0;

    /// Adds nodes to contact to join and to merge partitions, for example from the registry table.
    virtual void addSeeds(const std::vector<Endpoint> &seeds) = 0;

    [[nodiscard]] virtual const Member &self() const = 0;

    /// Live nodes of the own zone, including this node.
    [[nodiscard]] virtual std::vector<Member> members() const = 0;

    [[nodiscard]] virtual std::vector<ZoneStatus> zones() const = 0;

    /// Nodes that hold quota share slots, those of the own zone first. One per zone and slot.
    [[nodiscard]] virtual std::vector<Member> shareOwners() const = 0;

    /// Random live nodes of the own zone and relays of reachable zones to send a new document to, at most count.
    [[nodiscard]] virtual std::vector<Endpoint> spreadTargets(std::size_t count) = 0;

    /// Whether this node is one of the first count relays of its zone: lowest live names, draining nodes last.
    [[nodiscard]] virtual bool isAmongFirstRelays(std::size_t count) const = 0;

    /// Time since the last message of a node of another zone; nullopt if there was none.
    [[nodiscard]] virtual std::optional<Duration> timeSinceOtherZoneMessage() const = 0;
};

} // namespace vanillatack
