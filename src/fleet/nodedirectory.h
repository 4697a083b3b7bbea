#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "model/messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillatack {

/// Registry entry of a node and its local instance.
struct NodeEntry {
    NodeName node;
    ZoneName zone;
    Endpoint peerEndpoint; ///< Address at which other nodes reach the node, for TCP and UDP.
    ServiceName service;
    std::uint64_t nodeStartedAtMs = 0; ///< Wall time of the process start.
    std::string instance; ///< Id of the local instance; empty until one has announced itself.
    int slots = 0;
    bool accepting = false; ///< Whether the local instance accepts new requests.
    bool leaving = false; ///< Whether the node is shutting down.
    /// Instances of the node that have left, oldest first, so that the node knows them after a restart.
    std::vector<Departure> departures;

    bool operator==(const NodeEntry &) const = default;
};

/// Outcome of a call to a node, used to choose the nodes of later calls.
enum class CallOutcome {
    Served,
    Failed, ///< The instance answered with an error, or its answer was lost.
    Refused, ///< The ingress or the instance had no capacity left.
    Unreachable, ///< The connection failed, or the node has no instance that accepts requests.
};

/// The registered nodes and their load; chooses the node for each attempt of a request. Used by vanillatack-sidecar;
/// IRouter is its counterpart in vanillatackd.
class NodeDirectory
{
public:
    explicit NodeDirectory(ZoneName ownZone);

    NodeDirectory(const NodeDirectory &) = delete;
    NodeDirectory &operator=(const NodeDirectory &) = delete;

    void update(const NodeEntry &entry);
    void remove(const NodeName &node);

    /// Records the report of a node. Reports of an earlier process and reports out of order are ignored. Returns
    /// whether the report was newer than the last one.
    bool recordReport(const NodeReport &report, TimePoint now);

    /// Chooses the node for the next attempt and counts a call in flight; nullopt when no node accepts requests.
    /// Prefers the own zone while it has capacity.
    std::optional<NodeEntry>
    choose(const ServiceName &service, const std::set<NodeName> &excluded, IRandom &random, TimePoint now);

    /// Finishes the call that choose() counted and records its outcome.
    void finish(const NodeName &node, CallOutcome outcome, TimePoint now);

    [[nodiscard]] std::vector<NodeEntry> nodes() const;
    [[nodiscard]] const NodeEntry *find(const NodeName &node) const;

    /// Sum of the slots of all accepting instances, by service.
    [[nodiscard]] std::map<ServiceName, int> slots() const;

    /// The newest report of each registered node, except reports older than the given age.
    [[nodiscard]] std::vector<NodeReport> reports(Duration maxAge, TimePoint now) const;

private:
    struct NodeState {
        NodeEntry entry;
        NodeReport report;
        TimePoint reportedAt;
        int inFlight = 0; ///< Calls from this node that have not finished.
        int sentSinceReport = 0;
        double failureRatio = 0; ///< Share of recent calls that failed or were refused, 0 to 1.
        TimePoint avoidUntil;
    };

    void updateServiceIndex(NodeState &state, const ServiceName &service);
    NodeState *lessLoadedOfTwo(const std::vector<NodeState *> &candidates, IRandom &random, TimePoint now) const;
    [[nodiscard]] double load(const NodeState &state, TimePoint now) const;

    ZoneName m_ownZone;
    std::map<NodeName, NodeState> m_nodes;
    std::map<ServiceName, std::vector<NodeState *>> m_nodesByService; ///< Entries of m_nodes.
};

} // namespace vanillatack
