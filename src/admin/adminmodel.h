#pragma once

#include "burn/burncollection.h"
#include "model/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Values of the admin protocol (docs/admin-protocol.md). Times are in milliseconds of wall time since the Unix epoch
// (UTC).

namespace vanillatack {

/// Body of every response with status 400 or above.
struct AdminProblem {
    Error error;
};

/// The configuration in force at the responding node.
struct ConfigDocument {
    std::uint64_t version = 0; ///< 0 until a configuration has been applied.
    std::string digest; ///< SHA-256 of the text in hexadecimal.
    std::string text;
};

struct ConfigChange {
    std::uint64_t baseVersion = 0; ///< Version that the operator reviewed; fails with Conflict unless it is the latest.
    std::string text;
    std::string author;
    std::string note;
};

struct ConfigApplied {
    std::uint64_t version = 0;
    std::string digest;
};

struct ConfigHistoryEntry {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string note;
    std::int64_t appliedAtMs = 0;
};

struct ConfigHistory {
    std::vector<ConfigHistoryEntry> entries; ///< Newest first.
};

/// Configured quota of a workspace, and its state at one node. Rates are in requests per second, amounts in requests.
struct WorkspaceView {
    WorkspaceName workspace;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    int weight = 1;
    double ownedRate = 0;
    double lentRate = 0;
    double borrowedRate = 0;
    double tokens = 0;
    std::uint64_t admitted = 0; ///< Requests since the node started.
    std::uint64_t refused = 0; ///< Requests since the node started.
};

struct WorkspaceList {
    NodeName node; ///< Node to which the quota state belongs.
    std::vector<WorkspaceView> workspaces;
};

struct KeyView {
    KeyId id;
    WorkspaceName workspace;
    std::string note;
    std::optional<std::int64_t> withdrawnAtMs;
};

struct KeyList {
    std::vector<KeyView> keys;
};

struct KeyGrantRequest {
    WorkspaceName workspace;
    std::string author;
    std::string note;
};

struct KeyGrant {
    KeyId id;
    WorkspaceName workspace;
    std::string key; ///< Returned only here; only its digest is stored.
};

struct KeyWithdrawRequest {
    KeyId id;
    std::string author;
};

/// State of a key withdrawal in an availability zone.
enum class ZoneConfirmation {
    Confirmed, ///< All reachable nodes of the zone have the withdrawal.
    Pending, ///< The zone is reachable, but not all its nodes have confirmed in time.
    Unreachable,
};

inline constexpr auto ZoneConfirmationNames = makeNameTable<ZoneConfirmation, 3>({
    {ZoneConfirmation::Confirmed, "confirmed"},
    {ZoneConfirmation::Pending, "pending"},
    {ZoneConfirmation::Unreachable, "unreachable"},
});

struct ZoneConfirmationView {
    ZoneName zone;
    ZoneConfirmation state = ZoneConfirmation::Pending;
};

struct KeyWithdrawal {
    KeyId id;
    bool stored = false; ///< Whether the withdrawal is stored in the platform's table.
    std::vector<ZoneConfirmationView> zones;
};

/// Numbers of instances of a service in a zone.
struct ServiceCounts {
    ServiceName service;
    int healthy = 0;
    int draining = 0;
};

struct DrainingNode {
    NodeName node;
    ServiceName service;
};

struct ZoneView {
    ZoneName zone;
    std::string region;
    bool reachable = false; ///< If false, the figures are the last ones received.
    std::int64_t lastHeardMs = 0; ///< Age of the figures in milliseconds; 0 for the responding node's zone.
    int nodes = 0;
    std::uint64_t configVersion = 0; ///< Lowest version in force at the nodes of the zone.
    std::uint64_t keysVersion = 0;
    std::uint64_t withdrawnKeys = 0;
    std::vector<ServiceCounts> upstreams;
    std::vector<DrainingNode> drains; ///< Nodes known to be draining.
};

struct FleetView {
    NodeName node; ///< Responding node, from whose state the view is built.
    std::vector<ZoneView> zones;
};

/// Filter of the recorded refusals. Empty members match all refusals.
struct RefusalQuery {
    std::string requestId; ///< ID of the root request.
    std::optional<RefusalKind> kind;
    int limit = 20;
};

struct RefusalView {
    std::int64_t atMs = 0;
    std::string requestId;
    RefusalKind kind = RefusalKind::None;
    RunState runState = RunState::Unknown;
    RouteName route;
    WorkspaceName workspace;
    ServiceName service;
    PriorityClass priority = PriorityClass::Interactive;
    int depth = 0;
    std::string detail; ///< One sentence.
};

struct RefusalList {
    NodeName node; ///< Node that refused the requests; only it records them.
    std::vector<RefusalView> refusals; ///< Newest first.
};

struct DrainRequest {
    NodeName node; ///< Name of the target node; any other node returns NotFound.
    std::string author;
    std::string note;
};

struct DrainState {
    NodeName node;
    bool draining = false;
    int runningRequests = 0;
    int queuedRequests = 0;
};

/// Range of burn buckets. The tool requests consecutive ranges, so that a node never holds the buckets of 30 days at
/// once.
struct BurnQuery {
    std::int64_t fromMinute = 0; ///< Minutes since the epoch, inclusive. An hour bucket is matched by its first minute.
    std::int64_t toMinute = 0; ///< Minutes since the epoch, inclusive.
};

/// Burn buckets of the fleet: one per minute from minuteResolutionStart() on, one per hour before it.
struct BurnFigures {
    std::int64_t nowMinute = 0; ///< Current minute since the epoch on the node's clock.
    std::vector<Objective> objectives; ///< Objectives of the configuration in force.
    std::vector<ZoneName> missingZones; ///< Zones without buckets, or without the buckets of some of their nodes.
    BurnCollection buckets;
};

struct NodeStatus {
    NodeName node;
    ZoneName zone;
    std::string programVersion;
    std::int64_t uptimeMs = 0;
    bool ready = false;
    std::string notReadyReason;
    bool draining = false;
    ServiceName service;
    std::string upstreamState; ///< State from charts/upstream.chart.
    int slots = 0;
    int concurrencyLimit = 0;
    int runningRequests = 0;
    int queuedRequests = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t keysVersion = 0;
    std::uint64_t withdrawnKeys = 0;
    int zoneMembers = 0;
    int reachableZones = 0;
    bool zoneCutOff = false;
    std::optional<std::int64_t> platformSilenceMs; ///< Time since the platform last responded; nullopt if never.
};

} // namespace vanillatack
