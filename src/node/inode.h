#pragma once

#include "admission/iadmission.h"
#include "burn/burncollection.h"
#include "burn/iburncounters.h"
#include "claims/iclaims.h"
#include "config/fleetconfig.h"
#include "documents/idocuments.h"
#include "documents/ikeyring.h"
#include "membership/imembership.h"
#include "model/messages.h"
#include "quota/iquota.h"
#include "routing/irouter.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// Reason for which the upstream does not answer a request, and whether it may have run.
struct Refusal {
    RefusalKind kind = RefusalKind::None;
    RunState runState = RunState::NotRun;
    Duration retryAfter{0}; ///< 0 when a later retry does not help.
};

/// Head of a request that arrives at the egress: a root request of an outside caller or an inner call of the local
/// instance.
struct EgressRequest {
    std::string method;
    std::string target;
    std::optional<std::string> key; ///< Bearer credential.
    std::optional<std::string> requestToken; ///< Inner calls only: token of the request that makes the call.
    std::optional<std::string> idempotencyKey;
};

enum class EgressOutcome {
    Proceed,
    WaitForTokens, ///< A loan or a refill of tokens is expected; continue with INode::resumeRequest().
    Refused,
};

struct EgressDecision {
    EgressOutcome outcome = EgressOutcome::Refused;
    Refusal refusal; ///< Set when refused. A refused request needs no INode::endRequest().
    RequestId request; ///< Set unless refused.
    std::string rootId; ///< Returned to callers in every response, so that a refusal can be looked up by it.
    WorkspaceName workspace; ///< Set with WaitForTokens.
    bool needsClaim = false; ///< INode::claim() must be called before the first attempt.
    TimePoint deadline;
};

enum class PlanOutcome {
    Send,
    Refused,
};

/// Next step for a request: send it to an instance, or refuse it.
struct AttemptPlan {
    PlanOutcome outcome = PlanOutcome::Refused;
    Refusal refusal;
    CallId call;
    Endpoint node;
    CallRequest message; ///< Method, target, headers and body are left for the caller to set.
};

/// Outcome of an attempt on the connection between two nodes.
enum class TransportOutcome {
    Replied, ///< A CallReply arrived, which may be a refusal.
    NotSent, ///< Nothing of the request was sent.
    Broken, ///< The connection ended or timed out after the request may have been sent.
    Cancelled,
};

enum class RetryOutcome {
    Answer, ///< Forward the reply to the caller.
    Retry, ///< Plan another attempt with INode::planAttempt().
    Refused,
};

struct RetryDecision {
    RetryOutcome outcome = RetryOutcome::Refused;
    Refusal refusal;
};

struct IngressDecision {
    AdmissionOutcome outcome = AdmissionOutcome::Refused;
    TicketId ticket; ///< Set when admitted or queued.
    CallReply refusal; ///< Set when refused.
};

/// Parameters for forwarding an admitted request to the upstream.
struct UpstreamCall {
    Endpoint upstream;
    std::string token; ///< Request token that the upstream presents with its inner calls.
    TimePoint deadline;
    WorkspaceName workspace;
};

/// Outcome of forwarding a request to the upstream.
struct UpstreamResult {
    bool complete = false; ///< A complete response was received.
    bool sentAnything = false; ///< A byte may have reached the upstream.
    bool cancelled = false;
    bool timedOut = false;
    int status = 0; ///< HTTP status of a complete response.
};

/// Announcement that the local instance sends to its node.
struct UpstreamAnnouncement {
    ServiceName service;
    Endpoint endpoint;
    int slots = 0; ///< Requests that the instance can run at the same time.
    std::string state; ///< "cold", "ready" or "draining".
};

/// A recent refusal, for operators.
struct RefusalRecord {
    std::string rootId;
    RouteName route;
    WorkspaceName workspace;
    RefusalKind kind = RefusalKind::None;
    RunState runState = RunState::NotRun;
    std::int64_t atMs = 0; ///< Wall time in milliseconds since the Unix epoch.
    ServiceName service;
    PriorityClass priority = PriorityClass::Interactive;
    int depth = 0;
    std::string detail; ///< Number of attempts before the refusal, as one sentence for operators.
};

/// Error budget burn of the fleet, without the figures that could not be read.
struct CollectedBurn {
    BurnCollection buckets;
    std::vector<ZoneName> missingZones; ///< Zones whose figures are out of date or could not be read.
};

struct UpstreamStatus {
    ServiceName service;
    std::string state; ///< State in charts/upstream.chart.
    Endpoint endpoint;
    int slots = 0; ///< Slots from the last announcement.
    AdmissionSnapshot admission;
};

/// Notified when the wait of a request has ended. Called under the node's lock; must not call back into INode.
class INodeListener
{
public:
    virtual ~INodeListener() = default;

    /// A queued ticket was admitted or refused; see INode::isAdmitted() and INode::ticketRefusal().
    virtual void onTicketDecided(TicketId ticket) = 0;

    /// Borrowed or refilled tokens became available for a workspace.
    virtual void onTokensAvailable(const WorkspaceName &workspace) = 0;
};

/// Decision logic of one node, without I/O. Not thread-safe: all calls must be made under one lock. Never blocks.
class INode
{
public:
    virtual ~INode() = default;

    /// Runs due timers. To be called about every 10 ms.
    virtual void tick() = 0;
    virtual void receive(const Endpoint &from, const ControlMessage &message) = 0;

    // ---- egress ----

    /// Checks route, key or request token, early refusal and rate limit of a new request.
    virtual EgressDecision beginRequest(const EgressRequest &request) = 0;

    /// Continues after WaitForTokens. With lastTry the outcome is Proceed or Refused.
    virtual EgressDecision resumeRequest(RequestId request, bool lastTry) = 0;

    /// Claims a non-idempotent operation before its first attempt; done is called later under the node's lock.
    virtual void claim(RequestId request, const std::string &requestDigest, IClaims::ClaimCompletion done) = 0;

    /// Chooses the instance and builds the message of the next attempt.
    virtual AttemptPlan planAttempt(RequestId request) = 0;

    /// Records the outcome of an attempt and decides whether to retry. The reply is used only with
    /// TransportOutcome::Replied.
    virtual RetryDecision
    endAttempt(RequestId request, CallId call, TransportOutcome outcome, const CallReply &reply) = 0;

    /// Ends a request that was not refused by beginRequest() or resumeRequest(). The answer is the response to the
    /// caller; it is stored with the claim, if there is one.
    virtual void endRequest(RequestId request, const StoredAnswer &answer, const Refusal &refusal) = 0;

    // ---- ingress ----

    /// Admits, queues or refuses a call that another node, or this one, forwards to the local instance.
    virtual IngressDecision offer(const CallRequest &request) = 0;

    /// Returns the reply for a ticket that was refused while queued and removes the ticket; nullopt when it was
    /// admitted or is still queued.
    virtual std::optional<CallReply> ticketRefusal(TicketId ticket) = 0;
    [[nodiscard]] virtual bool isAdmitted(TicketId ticket) const = 0;

    /// Cancels a queued or admitted ticket whose caller abandoned it before start().
    virtual void cancelTicket(TicketId ticket) = 0;

    /// Starts an admitted request and creates its request token.
    virtual UpstreamCall start(TicketId ticket) = 0;

    /// Releases the slot of a started request and returns its reply, without headers and body.
    virtual CallReply finish(TicketId ticket, const UpstreamResult &result) = 0;

    // ---- upstream and operators ----

    /// Handles an announcement of the local instance. Errors: InvalidArgument.
    virtual Result<void> announce(const UpstreamAnnouncement &announcement) = 0;
    virtual void setOperatorDrain(bool draining) = 0;

    /// First step of a graceful shutdown: starts draining.
    virtual void startShutdown() = 0;

    /// Last step of a graceful shutdown: announces to other nodes that this node has left.
    virtual void leaveFleet() = 0;

    /// Whether the node can take work; sets the reason when it cannot.
    [[nodiscard]] virtual bool isReady(std::string &reason) const = 0;
    [[nodiscard]] virtual bool isDraining() const = 0;

    /// Whether keys are refused because withdrawals may be missing: the node has received nothing from other zones and
    /// from the platform for longer than cutoff_key_grace.
    [[nodiscard]] virtual bool areKeysStale() const = 0;

    /// Reads the burn buckets of the given minutes, both inclusive, from the table. done is called later under the
    /// node's lock; zones whose figures cannot be read are listed as missing, rows that cannot be parsed are skipped.
    virtual void
    collectBurn(std::int64_t fromMinute, std::int64_t toMinute, std::function<void(Result<CollectedBurn>)> done) = 0;

    /// Number of requests that the egress and the ingress have not ended, queued ones included.
    [[nodiscard]] virtual std::size_t requestsInProgress() const = 0;
    [[nodiscard]] virtual UpstreamStatus upstream() const = 0;

    /// Refusals at the egress, oldest first.
    [[nodiscard]] virtual std::vector<RefusalRecord> recentRefusals() const = 0;
    [[nodiscard]] virtual const FleetConfig &config() const = 0;
    virtual IDocuments &documents() = 0;
    virtual IKeyring &keyring() = 0;
    virtual IMembership &membership() = 0;
    virtual IQuota &quota() = 0;
    virtual IRouter &router() = 0;
    virtual IBurnCounters &burn() = 0;
};

} // namespace vanillatack
