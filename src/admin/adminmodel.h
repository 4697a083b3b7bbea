#pragma once

#include "burn/burncollection.h"
#include "model/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Values of the admin protocol (docs/admin-protocol.md). Times are milliseconds of wall time since the epoch, UTC.

namespace vanillatack {

/// Body of every answer with a status of 400 and above.
struct AdminProblem {
    Error error;
};

/// The configuration in force at the node that answers.
struct ConfigDocument {
    std::uint64_t version = 0; ///< 0 before the first configuration.
    std::string digest; ///< SHA-256 of the text, hexadecimal.
    std::string text;
};

struct ConfigChange {
    std::uint64_t baseVersion = 0; ///< Version that the operator saw; the change conflicts when it is not the latest.
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

/// A workspace's configured amounts and the quota figures of one node, in requests and requests per second.
struct WorkspaceView {
    WorkspaceName workspace;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    int weight = 1;
    double ownedRate = 0;
    double lentRate = 0;
    double borrowedRate = 0;
    double tokens = 0;
    std::uint64_t admitted = 0; ///< Since the start of the node.
    std::uint64_t refused = 0;
};

struct WorkspaceList {
    NodeName node; ///< Whose quota figures these are.
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
    std::string key; ///< Shown this once; only its digest is kept.
};

struct KeyWithdrawRequest {
    KeyId id;
    std::string author;
};

/// What is known of an availability zone after a revocation.
enum class ZoneConfirmation {
    Confirmed, ///< All its reachable nodes have the revocation.
    Pending, ///< Reachable, but not all nodes have confirmed within the wait.
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
    bool stored = false; ///< Whether the platform's table has the revocation.
    std::vector<ZoneConfirmationView> zones;
};

struct UpstreamView {
    ServiceName service;
    int healthy = 0;
    int draining = 0;
};

struct DrainView {
    NodeName node;
    ServiceName service;
};

struct ZoneView {
    ZoneName zone;
    std::string region;
    bool reachable = false; ///< When not, the figures are the last known ones.
    std::int64_t lastHeardMs = 0; ///< Age of the figures in milliseconds; 0 for the own zone.
    int nodes = 0;
    std::uint64_t configVersion = 0; ///< Lowest in force at the nodes of the zone.
    std::uint64_t keysVersion = 0;
    std::uint64_t withdrawnKeys = 0;
    std::vector<UpstreamView> upstreams;
    std::vector<DrainView> drains; ///< Nodes that drain now, as far as known.
};

struct FleetView {
    NodeName node; ///< Whose view this is.
    std::vector<ZoneView> zones;
};

/// Selects remembered refusals. Empty members select all.
struct RefusalQuery {
    std::string requestId; ///< Id of the root request.
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
    NodeName node; ///< Where they were refused; refusals are remembered by the refusing node only.
    std::vector<RefusalView> refusals; ///< Newest first.
};

struct DrainRequest {
    NodeName node; ///< The node that is meant; a node of another name answers NotFound.
    std::string author;
    std::string note;
};

struct DrainState {
    NodeName node;
    bool draining = false;
    int runningRequests = 0;
    int queuedRequests = 0;
};

/// The tool asks for one range after the other, so that a node never holds the figures of 30 days at once.
struct BurnQuery {
    std::int64_t fromMinute = 0; ///< Minutes since the epoch, both included; an hour counts by its first minute.
    std::int64_t toMinute = 0;
};

/// Burn buckets of the fleet: minutes from minuteResolutionStart() on, hours before.
struct BurnFigures {
    std::int64_t nowMinute = 0; ///< By the clock of the node.
    std::vector<Objective> objectives; ///< Of the configuration in force.
    std::vector<ZoneName> missingZones; ///< Zones without figures, or with figures of some of their nodes only.
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
    std::string upstreamState; ///< State of charts/upstream.chart.
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
    std::optional<std::int64_t> platformSilenceMs; ///< nullopt when the platform never answered.
};

} // namespace vanillatack
