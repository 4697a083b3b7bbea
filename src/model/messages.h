#pragma once

#include "model/request.h"
#include "model/versionedrow.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace vanillatack {

// ---- calls -------------------------------------------------------------------------------------------------------

/// One call from the egress of a node to the ingress of another.
struct CallRequest {
    std::uint64_t requestId = 0; ///< Chosen by the sender; the reply repeats it.
    std::string rootId;
    WorkspaceName workspace;
    RouteName rootRoute;
    RouteName route;
    ServiceName service;
    PriorityClass priority = PriorityClass::Interactive;
    int depth = 0;
    Duration deadlineLeft{0}; ///< Relative, since the clocks of VMs differ.
    int allowance = 0; ///< Retries handed down.
    bool idempotent = false;
    std::string method;
    std::string target; ///< Path and query.
    HeaderList headers;
    std::string body;
    int rank = 0; ///< Importance among requests of the same gate; 0 is served first, at most 255.
    std::string instance; ///< Id of the instance that the sender means; empty for any.
    Duration sentAt{0}; ///< On the sender's clock; tells how long the request was under way.
};

/// The reply to a CallRequest: an answer of the upstream, or a refusal.
struct CallReply {
    std::uint64_t requestId = 0;
    RefusalKind refusal = RefusalKind::None; ///< None when the upstream answered.
    RunState runState = RunState::Unknown;
    bool refusedDeeper = false; ///< The cause is at a deeper hop, so a retry here does not help.
    Duration retryAfter{0};
    int status = 0; ///< HTTP status of the upstream's answer.
    HeaderList headers;
    std::string body;
    int allowanceReturned = 0;
    std::vector<ServiceLevel> levels; ///< Of the services on the path, deepest last.
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

/// What the fleet knows of one node and its upstream. A node alone raises its incarnation.
struct Member {
    NodeName node;
    ZoneName zone;
    Endpoint endpoint; ///< Node port, TCP and UDP.
    ServiceName service; ///< Empty while no upstream has announced itself.
    int slots = 0; ///< Concurrent requests as announced.
    std::uint64_t incarnation = 0; ///< Milliseconds of wall time at start, raised by one for each own change.
    MemberState state = MemberState::Alive;
    bool cold = false; ///< The upstream has just started.
    int shareSlot = -1; ///< Quota share slot, -1 for none.

    bool operator==(const Member &) const = default;
};

/// Versions of the documents and of the set of withdrawn keys, carried by every probe.
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
    std::uint64_t memberHash = 0; ///< Hash over the sender's member table of its zone.
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

/// The whole member table of a zone, sent when hashes differ. The receiver answers once when asked to.
struct MemberSync {
    NodeName sender;
    bool replyWanted = false;
    std::vector<Member> members;
};

/// Summary of one service in a zone for other zones.
struct ServiceSummary {
    ServiceName service;
    int healthyInstances = 0;
    std::vector<Member> contacts; ///< Up to 3 instances, for spill-over.

    bool operator==(const ServiceSummary &) const = default;
};

/// Summary of a zone, exchanged by relays of zones and spread inside the zone. Higher versions replace lower ones.
/// Three forms: whole (baseVersion 0, with relays), change (baseVersion > 0: only what changed since, relays and share
/// owners only when they changed, a removed service without contacts), heartbeat (baseVersion 0, no relays).
struct ZoneDigest {
    NodeName sender;
    ZoneName zone;
    std::uint64_t version =
        0; ///< Milliseconds of wall time at creation, 16 bits of its maker; grows strictly per zone.
    std::vector<ServiceSummary> services;
    std::vector<Member> relays;
    std::vector<Member> shareOwners; ///< Nodes that hold quota share slots.
    StateVersions versions; ///< Lowest versions in force at the zone's reachable nodes.
    int nodes = 0; ///< Nodes alive in the zone.
    bool replyWanted = false; ///< Asks for what is newer than version; carries nothing else.
    std::uint64_t baseVersion = 0; ///< Version that a change applies to.
    std::uint64_t heartbeat = 0; ///< Milliseconds of wall time when the zone last confirmed the digest; 0 unknown.
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

struct DocumentFetch {
    NodeName sender;
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t aboveVersion = 0; ///< Version in force at the sender; a receiver with an older one fetches it there.
};

struct DocumentPush {
    NodeName sender;
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t version = 0;
    std::string digest; ///< SHA-256 of the content, hexadecimal.
    std::string content;
};

/// Withdrawn keys with the wall time of the withdrawal in milliseconds.
struct WithdrawnKey {
    KeyId key;
    std::int64_t withdrawnAtMs = 0;

    bool operator==(const WithdrawnKey &) const = default;
};

struct WithdrawalSync {
    NodeName sender;
    bool replyWanted = false;
    std::vector<WithdrawnKey> keys;
};

// ---- quota -------------------------------------------------------------------------------------------------------

/// One workspace of a borrow request or grant. Amounts are millionths of a request, rates millionths per second.
struct LoanItem {
    WorkspaceName workspace;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::int64_t tokens = 0;
    LoanId loan; ///< In a request: the loan now held from the receiver, 0 for none. In a grant: the new loan.
    Duration term{0}; ///< Of a grant; the borrower counts it from before its request was sent.
};

/// Asks an owner to replace the loans of some workspaces. The fields describe the first workspace, more the others.
struct BorrowRequest {
    NodeName sender;
    Endpoint replyTo;
    std::uint64_t sequence = 0; ///< Chosen by the borrower; a grant is used at most once per sequence.
    WorkspaceName workspace;
    std::int64_t rate = 0; ///< Wanted rate.
    std::int64_t burst = 0; ///< Wanted bucket capacity.
    std::int64_t tokens = 0; ///< Wanted tokens now.
    LoanId held{}; ///< Loan of this workspace now held from the receiver; earlier grants are not used any more.
    std::vector<LoanItem> more{};
};

/// Replaces the loans that the borrower has from the sender for the workspaces named.
struct BorrowGrant {
    NodeName sender;
    std::uint64_t sequence = 0;
    LoanId loan;
    WorkspaceName workspace;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::int64_t tokens = 0;
    Duration term{0}; ///< The borrower counts it from before its request was sent.
    std::vector<LoanItem> more{};
};

struct LoanReturn {
    NodeName sender;
    LoanId loan;
    std::uint64_t lenderIncarnation = 0;
    std::int64_t tokens = 0; ///< Unused tokens that go back to the lender.
};

// ---- burn figures ------------------------------------------------------------------------------------------------

/// Burn buckets of one node for the collector of its zone, as JSON of formatBurnCollection().
struct BurnPush {
    NodeName sender;
    std::string content;
};

// ---- load --------------------------------------------------------------------------------------------------------

/// Load of one route as seen by one node.
struct RouteLoad {
    RouteName route;
    double offeredPerSecond = 0; ///< Root requests that entered at the node, admitted or not.
    double workSeconds = 0; ///< Mean time that a request occupies a slot of the node's instance; 0 unknown.
};

/// Mean number of calls to a route that one request of another route causes at the node's instance.
struct CallEdge {
    RouteName caller;
    RouteName callee;
    double callsPerRequest = 0;
};

/// What a node tells the others about its load and about which nodes it hears, in a datagram.
struct NodeReport {
    NodeName node;
    std::uint64_t startedAtMs = 0; ///< Wall time of the process's start; orders reports over restarts.
    std::uint64_t sequence = 0;
    ServiceName service;
    int slots = 0; ///< Requests that the gate of the node's instance passes on at once; 0 when it accepts none.
    int running = 0;
    int queued = 0;
    std::vector<RouteLoad> loads;
    std::vector<CallEdge> edges;
    std::vector<NodeName> silent; ///< Registered nodes that the node does not hear; it takes none of them for an owner.
};

/// Reports of one zone, which a node of it sends to the other zones.
struct ReportBundle {
    bool spread = false; ///< The receiver passes the bundle on to the nodes of its zone.
    std::vector<NodeReport> reports;
};

// ---- rates of workspaces -----------------------------------------------------------------------------------------

/// Asks the owner of a workspace's rate for tokens, or returns some that were not used.
struct RateAsk {
    std::uint64_t askId = 0; ///< Chosen by the asking node; a repeated ask has the same.
    NodeName asker;
    WorkspaceName workspace;
    int wanted = 0;
    int returned = 0;
};

struct RateGrant {
    std::uint64_t askId = 0;
    WorkspaceName workspace;
    int granted = 0;
    Duration dryFor{0}; ///< When fewer were granted than wanted: time until there is another token.
};

// ---- tables of the platform's store, passed on inside a zone ------------------------------------------------------

/// Asks a node of the zone for the changes of a table that it follows. Answered when there are some, or after the wait.
struct TableWatch {
    std::uint64_t requestId = 0;
    std::string table;
    std::uint64_t afterVersion = 0;
    Duration wait{0};
};

struct TableChanges {
    std::uint64_t requestId = 0;
    bool known = false; ///< False: the node cannot tell the changes since that version.
    std::uint64_t version = 0;
    /// Time from the arrival of the watch to the moment at which the copy was last known to be the newest state;
    /// negative when that was before.
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

/// Sends control messages to other nodes. Messages can be lost, late, duplicated or out of order.
class IMessageSender
{
public:
    virtual ~IMessageSender() = default;

    /// Returns at once; delivery is not guaranteed.
    virtual void send(const Endpoint &to, const ControlMessage &message) = 0;
};

} // namespace vanillatack
