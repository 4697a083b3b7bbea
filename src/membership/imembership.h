#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <optional>
#include <vector>

namespace vanillatack {

/// What a node knows of itself at start, from its settings.
struct SelfDescription {
    NodeName node;
    ZoneName zone;
    Endpoint endpoint;
    int shareSlot = -1;
    std::vector<Endpoint> seeds; ///< Nodes of any zone to contact first.
};

struct ZoneStatus {
    ZoneName zone;
    int nodes = 0;
    StateVersions versions; ///< Lowest in force at the nodes of the zone.
    bool reachable = false; ///< Heard from within the last 5 s.
    Duration heartbeatAge{0}; ///< Age of the last digest; zero for the own zone.
};

/// Told about changes of membership. Called from within calls of IMembership; must not call back.
class IMembershipListener
{
public:
    virtual ~IMembershipListener() = default;

    /// The instances of a service changed: own zone and contacts in other zones.
    virtual void onServiceChanged(const ServiceName &service, const std::vector<Member> &instances) = 0;

    /// A peer has other document versions or withdrawn keys than this node.
    virtual void onPeerVersions(const Endpoint &peer, const StateVersions &versions) = 0;
};

/// Knows the nodes of the own zone by gossip and those of other zones by digests.
class IMembership
{
public:
    virtual ~IMembership() = default;

    /// To be called about every 50 ms.
    virtual void tick() = 0;

    virtual void receive(const Endpoint &from, const Ping &message) = 0;
    virtual void receive(const Endpoint &from, const PingIndirect &message) = 0;
    virtual void receive(const Endpoint &from, const Ack &message) = 0;
    virtual void receive(const Endpoint &from, const MemberSync &message) = 0;
    virtual void receive(const Endpoint &from, const ZoneDigest &message) = 0;

    /// The upstream on this VM announced itself, changed its slots or went away (empty service).
    virtual void setUpstream(const ServiceName &service, int slots, bool cold) = 0;

    virtual void setDraining(bool draining) = 0;

    /// Tells peers that this node is gone for good; the last step of a graceful shutdown.
    virtual void leave() = 0;

    /// Versions that this node has in force, carried by its messages.
    virtual void setVersions(const StateVersions &versions) = 0;

    /// Further nodes to contact, e.g. from the table.
    virtual void addSeeds(const std::vector<Endpoint> &seeds) = 0;

    [[nodiscard]] virtual const Member &self() const = 0;

    /// Nodes of the own zone, with this node.
    [[nodiscard]] virtual std::vector<Member> members() const = 0;

    [[nodiscard]] virtual std::vector<ZoneStatus> zones() const = 0;

    /// Nodes that hold quota share slots, own zone first.
    [[nodiscard]] virtual std::vector<Member> shareOwners() const = 0;

    /// Alive nodes of the own zone and relays of other zones, to spread a new document to.
    [[nodiscard]] virtual std::vector<Endpoint> spreadTargets(std::size_t count) = 0;

    /// Whether this node is one of the given number of lowest names alive in its zone.
    [[nodiscard]] virtual bool isAmongFirstRelays(std::size_t count) const = 0;

    /// Time since a node of another zone was last heard; nullopt when never.
    [[nodiscard]] virtual std::optional<Duration> timeSinceOtherZoneMessage() const = 0;
};

} // namespace vanillatack
