#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "model/messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillatack {

/// What the fleet's registry says of a node and of the instance beside it.
struct NodeEntry {
    NodeName node;
    ZoneName zone;
    Endpoint peer; ///< Where other nodes reach it, TCP and UDP.
    ServiceName service;
    std::uint64_t nodeStartedAtMs = 0; ///< Wall time of the node's start.
    std::string instance; ///< Id of the instance; empty while none has announced itself.
    int slots = 0;
    bool accepting = false; ///< The instance takes new requests.
    bool leaving = false; ///< The node's process is about to end.

    bool operator==(const NodeEntry &) const = default;
};

/// How a call to a node ended, for the choice of the next ones.
enum class CallOutcome {
    Served,
    Failed, ///< The instance answered with an error, or its answer was lost.
    Refused, ///< The gate or the instance had no room.
    Unreachable,
};

/// The nodes that other parts of the fleet have registered, and which of them to send a request to.
class NodeDirectory
{
public:
    explicit NodeDirectory(ZoneName ownZone);

    void update(const NodeEntry &entry);
    void remove(const NodeName &node);

    /// A report from a node. Reports of an earlier process or out of order are ignored. Returns whether it was newer
    /// than the last one.
    bool recordReport(const NodeReport &report, TimePoint now);

    /// The node for the next attempt, or nullopt when none accepts. Prefers the own zone while it has room.
    std::optional<NodeEntry>
    choose(const ServiceName &service, const std::set<NodeName> &excluded, IRandom &random, TimePoint now);

    /// Ends the call that a choice began.
    void finish(const NodeName &node, CallOutcome outcome, TimePoint now);

    [[nodiscard]] std::vector<NodeEntry> nodes() const;
    [[nodiscard]] const NodeEntry *find(const NodeName &node) const;

    /// Slots of all accepting instances of each service.
    [[nodiscard]] std::map<ServiceName, int> slots() const;

    /// The newest report of each registered node, not older than the given age.
    [[nodiscard]] std::vector<NodeReport> reports(Duration maxAge, TimePoint now) const;

private:
    struct Known {
        NodeEntry entry;
        NodeReport report;
        TimePoint reportedAt;
        int inFlight = 0; ///< Calls from this node.
        int sentSinceReport = 0;
        double failures = 0; ///< Share of recent calls that failed or were refused, 0 to 1.
        TimePoint avoidUntil;
    };

    Known *betterOfTwo(const std::vector<Known *> &candidates, IRandom &random, TimePoint now) const;
    [[nodiscard]] double load(const Known &known, TimePoint now) const;

    ZoneName m_ownZone;
    std::map<NodeName, Known> m_nodes;
};

} // namespace vanillatack
