#pragma once

#include "model/body.h"
#include "model/request.h"
#include "model/versionedrow.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace vanillatack {

// ---- calls -------------------------------------------------------------------------------------------------------

/// Call from the egress of a node to the ingress of another node.
struct CallRequest {
    std::uint64_t requestId = 0; ///< Id of this call, chosen by the sender and copied to the reply; unlike RequestId.
    std::string rootId; ///< Id of the root request.
    WorkspaceName workspace;
    RouteName rootRoute;
    RouteName route;
    ServiceName service;
    PriorityClass priority = PriorityClass::Interactive;
    int depth = 0;
    Duration deadlineLeft{0}; ///< Time left until the deadline; relative, since the clocks of VMs differ.
    int allowance = 0; ///< Number of retries that the receiver may use.
    bool idempotent = false;
    std::string method;
    std::string target; ///< Path and query.
    HeaderList headers;
    Body body;
    int rank = 0; ///< Importance among requests of the same ingress queue, 0 to 255; 0 is served first.
    std::string instance; ///< Id of the instance that must run the request; empty for any.
    Duration sentAt{0}; ///< Send time by the sender's clock, from which the time in transit is computed.
};

/// Reply to a CallRequest: the answer of the upstream or a refusal.
struct CallReply {
    std::uint64_t requestId = 0;
    RefusalKind refusal = RefusalKind::None; ///< None when the upstream answered.
    RunState runState = RunState::Unknown;
    bool refusedDeeper = false; ///< A deeper hop refused the call, so a retry at this hop does not help.
    Duration retryAfter{0};
    int status = 0; ///< HTTP status of the upstream's answer.
    HeaderList headers;
    Body body;
    int allowanceReturned = 0; ///< Number of unused retries returned to the sender.
    std::vector<ServiceLevel> levels; ///< Admission levels of the services on the call path, deepest last.
};

// ---- membership --------------------------------------------------------------------------------------------------

enum class MemberState {
    Alive,
    Suspect,
    Draining,
    Left,
    Dead,
};

inline constexpr auto MemberStateNames = makeNameTable<MemberState, 5>({
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Draining, "draining"},
    {MemberState::Left, "left"},
    {MemberState::Dead, "dead"},
});

/// State of a node and its upstream as known to the fleet. Only the node itself raises its incarnation.
struct Member {
    NodeName node;
    ZoneName zone;
    Endpoint endpoint; ///< Address and port for node-to-node traffic, TCP and UDP.
    ServiceName service; ///< Empty until an upstream has announced itself.
    int slots = 0; ///< Concurrent requests that the upstream accepts, as announced.
    std::uint64_t incarnation = 0; ///< Wall-clock time of the start in ms, raised by 1 when the node changes its entry.
    MemberState state = MemberState::Alive;
    bool cold = false; ///< Whether the upstream has just started.
    int shareSlot = -1; ///< Quota share slot; -1 for none.

    bool operator==(const Member &) const = default;
};

/// Versions of the documents and of the set of withdrawn keys, sent with every probe.
struct StateVersions {
    std::uint64_t configVersion = 0;
    std::uint64_t keysVersion = 0;
    std::uint64_t withdrawalCount = 0;
    std::uint64_t withdrawalHash = 0; ///< XOR of the hashes of all withdrawn key ids.

    bool operator==(const StateVersions &) const = default;
};

struct Ping {
    std::uint64_t sequence = 0;
    Member self;
    std::vector<Member> updates;
    std::uint64_t memberHash = 0; ///< Hash of the sender's member table of its zone.
    StateVersions versions;
};

/// Asks the receiver to probe the target and to forward its acknowledgement.
struct PingIndirect {
    std::uint64_t sequence = 0;
    Member self;
    NodeName target;
    Endpoint targetEndpoint;
};

struct Ack {
    std::uint64_t sequence = 0;
    Member self;
    std::vector<Member> updates;
    std::uint64_t memberHash = 0;
    StateVersions versions;
};

/// Complete member table of a zone, sent when the hashes differ. The receiver sends its own once if replyWanted.
struct MemberSync {
    NodeName sender;
    bool replyWanted = false;
    std::vector<Member> members;
};

/// Summary of a service in a zone, for other zones.
struct ServiceSummary {
    ServiceName service;
    int healthyInstances = 0;
    std::vector<Member> contacts; ///< Up to 3 instances, for spill-over.

    bool operator==(const ServiceSummary &) const = default;
};

/// Summary of a zone, exchanged between the relays of zones and gossiped inside a zone. A higher version replaces a
/// lower one. Three forms:
/// - full: baseVersion 0, with relays
/// - delta: baseVersion > 0; only services that changed since baseVersion, a removed service without contacts, and
///   relays and share owners only if they changed
/// - heartbeat: baseVersion 0, without relays
struct ZoneDigest {
    NodeName sender;
    ZoneName zone;
    /// Wall-clock time of the creation in ms and 16 bits that identify the creator; strictly increasing per zone.
    std::uint64_t version = 0;
    std::vector<ServiceSummary> services;
    std::vector<Member> relays;
    std::vector<Member> shareOwners; ///< Nodes that hold quota share slots.
    StateVersions versions; ///< Lowest versions applied by the zone's reachable nodes.
    int nodes = 0; ///< Number of alive nodes in the zone.
    bool replyWanted = false; ///< Requests a digest newer than version; the other contents are empty.
    std::uint64_t baseVersion = 0; ///< Version that a delta applies to.
    std::uint64_t heartbeat = 0; ///< Wall-clock time in ms at which the zone last confirmed the digest; 0 if unknown.
};

// ---- documents ---------------------------------------------------------------------------------------------------

enum class DocumentKind {
    Configuration,
    Keys,
};

inline constexpr auto DocumentKindNames = makeNameTable<DocumentKind, 2>({
    {DocumentKind::Configuration, "config"},
    {DocumentKind::Keys, "keys"},
});

/// Requests a document that is newer than the sender's.
struct DocumentFetch {
    NodeName sender;
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t aboveVersion = 0; ///< Version applied by the sender; a receiver with an older one fetches it.
};

struct DocumentPush {
    NodeName sender;
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t version = 0;
    std::string digest; ///< SHA-256 of the content, hexadecimal.
    std::string content;
};

struct WithdrawnKey {
    KeyId key;
    std::int64_t withdrawnAtMs = 0; ///< Wall-clock time of the withdrawal.

    bool operator==(const WithdrawnKey &) const = default;
};

struct WithdrawalSync {
    NodeName sender;
    bool replyWanted = false;
    std::vector<WithdrawnKey> keys;
};

// ---- quota -------------------------------------------------------------------------------------------------------

// Loans between share owners and nodes, used by IQuota.

/// Workspace entry of a borrow request or grant. Amounts are in millionths of a request, rates in millionths per
/// second.
struct LoanItem {
    WorkspaceName workspace;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::int64_t tokens = 0;
    LoanId loan; ///< In a request: the loan currently held from the receiver, 0 for none. In a grant: the new loan.
    Duration term{0}; ///< Duration of a granted loan; for the borrower it starts when it sends the request.
};

/// Asks a share owner to replace the loans of some workspaces. The fields describe the first one, more the others.
struct BorrowRequest {
    NodeName sender;
    Endpoint replyTo;
    std::uint64_t sequence = 0; ///< Chosen by the borrower; a grant is used at most once per sequence.
    WorkspaceName workspace;
    std::int64_t rate = 0; ///< Requested rate.
    std::int64_t burst = 0; ///< Requested bucket capacity.
    std::int64_t tokens = 0; ///< Tokens requested at once.
    LoanId held{}; ///< Loan of this workspace held from the receiver, which deletes its other grants.
    std::vector<LoanItem> more{};
};

/// Replaces the loans that the borrower holds from the sender for the listed workspaces.
struct BorrowGrant {
    NodeName sender;
    std::uint64_t sequence = 0;
    LoanId loan;
    WorkspaceName workspace;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::int64_t tokens = 0;
    Duration term{0}; ///< Duration of the loan; for the borrower it starts when it sends the request.
    std::vector<LoanItem> more{};
};

struct LoanReturn {
    NodeName sender;
    LoanId loan;
    std::uint64_t lenderIncarnation = 0;
    std::int64_t tokens = 0; ///< Unused tokens returned to the lender.
};

// ---- burn counts -------------------------------------------------------------------------------------------------

/// Burn buckets of a node for the collector of its zone, in the JSON format of formatBurnCollection().
struct BurnPush {
    NodeName sender;
    std::string content;
};

// ---- load --------------------------------------------------------------------------------------------------------

/// Load of a route as measured by a node.
struct RouteLoad {
    RouteName route;
    double offeredPerSecond = 0; ///< Rate of root requests received by the node, admitted or not.
    double workSeconds = 0; ///< Mean time for which a request occupies a slot of the local instance; 0 if unknown.
};

/// Mean number of calls to a route that a request of another route causes at the local instance.
struct CallEdge {
    RouteName caller;
    RouteName callee;
    double callsPerRequest = 0;
};

/// Report of a node to other nodes, in a datagram: its load and the nodes that do not respond to it.
struct NodeReport {
    NodeName node;
    std::uint64_t startedAtMs = 0; ///< Wall-clock time of the process start; orders reports across restarts.
    std::uint64_t sequence = 0;
    ServiceName service;
    int slots = 0; ///< Concurrency limit of the local instance; 0 when it accepts no requests.
    int running = 0;
    int queued = 0;
    std::vector<RouteLoad> loads;
    std::vector<CallEdge> edges;
    /// Registered nodes that are unresponsive to this node; it chooses none of them as rate owner.
    std::vector<NodeName> silent;
    /// Registered nodes that are leaving according to this node's copy of the registry; it chooses none of them either.
    std::vector<NodeName> leaving;
    /// Digest of the names of all nodes in this node's copy of the registry. With silent and leaving it states to which
    /// owner this node pledges its share of each rate, to every node that knows the same names.
    std::uint64_t registeredDigest = 0;
};

/// Reports of a zone, sent to the other zones by the relay of the zone.
struct ReportBundle {
    bool spread = false; ///< Whether the receiver forwards the bundle to the nodes of its zone.
    std::vector<NodeReport> reports;
};

// ---- workspace rates ---------------------------------------------------------------------------------------------

// Tokens granted by the rate owner of a workspace, used by WorkspaceRateLimiter.

/// Requests tokens from the rate owner of a workspace, or refunds unused ones.
struct RateAsk {
    std::uint64_t askId = 0; ///< Chosen by the asker; a retry has the same id.
    NodeName asker;
    WorkspaceName workspace;
    int wanted = 0; ///< Requested tokens.
    int returned = 0; ///< Refunded tokens.
};

struct RateGrant {
    std::uint64_t askId = 0;
    WorkspaceName workspace;
    int granted = 0;
    Duration dryFor{0}; ///< If fewer tokens were granted than wanted: time until the next token.
};

// ---- departures of instances -------------------------------------------------------------------------------------

/// A start of an instance that has left or is draining; it gets no new requests.
struct Departure {
    std::string instance; ///< Id of the instance.
    std::uint64_t startedAtMs = 0; ///< Wall-clock time of the start; earlier starts have left too. 0: any start.

    bool operator==(const Departure &) const = default;
};

enum class DepartureNoteKind {
    Keep, ///< Asks the receiver to remember the departures of the sender's instance.
    Kept, ///< Reply to Keep.
    Ask, ///< Asks which departures the receiver remembers for the sender.
    Told, ///< Reply to Ask.
};

inline constexpr auto DepartureNoteKindNames = makeNameTable<DepartureNoteKind, 4>({
    {DepartureNoteKind::Keep, "keep"},
    {DepartureNoteKind::Kept, "kept"},
    {DepartureNoteKind::Ask, "ask"},
    {DepartureNoteKind::Told, "told"},
});

/// Datagram by which nodes remember the departures of each other's instances, since a node that is restarted has
/// forgotten its own.
struct DepartureNote {
    DepartureNoteKind kind = DepartureNoteKind::Keep;
    NodeName node; ///< Node whose instance has left.
    NodeName sender;
    std::uint64_t noteId = 0; ///< Chosen by the sender of Keep or Ask and copied to the reply.
    std::vector<Departure> departures; ///< Of Keep and Told; at most MaxDepartures.
    std::uint64_t configVersion = 0; ///< Of Told: version of the configuration in force at the sender.
};

/// Departures that are remembered for a node; the newest ones.
inline constexpr std::size_t MaxDepartures = 8;

// ---- tables of the platform's store, forwarded inside a zone ------------------------------------------------------

/// Requests the changes of a table from a node of the same zone that follows it. Answered when there are changes, or
/// after the wait.
struct TableWatch {
    std::uint64_t requestId = 0;
    std::string table;
    std::uint64_t afterVersion = 0;
    Duration wait{0};
};

/// Reply to a TableWatch.
struct TableChanges {
    std::uint64_t requestId = 0;
    /// False if the sender does not have the changes since afterVersion, or has none and does not watch the store.
    bool known = false;
    std::uint64_t version = 0;
    /// Time from the arrival of the watch until the sender's copy was last confirmed as current; negative if that was
    /// before the arrival.
    Duration confirmedAfter{0};
    std::vector<VersionedRow> rows;
};

using ControlMessage = std::variant<Ping,
                                    PingIndirect,
                                    Ack,
                                    MemberSync,
                                    ZoneDigest,
                                    DocumentFetch,
                                    DocumentPush,
                                    WithdrawalSync,
                                    BorrowRequest,
                                    BorrowGrant,
                                    LoanReturn,
                                    BurnPush>;

/// Sends control messages to other nodes. Messages can be lost, delayed, duplicated or reordered.
class IMessageSender
{
public:
    virtual ~IMessageSender() = default;

    /// Does not block; delivery is not guaranteed.
    virtual void send(const Endpoint &to, const ControlMessage &message) = 0;
};

} // namespace vanillatack
