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

/// Why a request is not answered by the upstream.
struct Refusal {
    RefusalKind kind = RefusalKind::None;
    RunState runState = RunState::NotRun;
    Duration retryAfter{0}; ///< 0 when waiting does not help.
};

/// Head of a request that arrives at the egress, from an outside caller or from the node's own upstream.
struct EgressRequest {
    std::string method;
    std::string target;
    std::optional<std::string> key; ///< Bearer credential.
    std::optional<std::string> requestToken; ///< Of the request that the own upstream serves.
    std::optional<std::string> idempotencyKey;
};

enum class EgressOutcome {
    Proceed,
    WaitForTokens, ///< A loan of quota is on its way; see INode::resumeRequest().
    Refused,
};

struct EgressDecision {
    EgressOutcome outcome = EgressOutcome::Refused;
    Refusal refusal; ///< Set when refused. A refused request needs no INode::endRequest().
    RequestId request; ///< Set otherwise.
    std::string rootId; ///< Shown to callers in every response, for "why was it refused".
    WorkspaceName workspace; ///< Set with WaitForTokens.
    bool needsClaim = false; ///< Claim before the first attempt.
    TimePoint deadline;
};

enum class PlanOutcome {
    Send,
    Refused,
};

/// What to do next for a request: send it to an instance, or give up.
struct AttemptPlan {
    PlanOutcome outcome = PlanOutcome::Refused;
    Refusal refusal;
    CallId call;
    Endpoint node;
    CallRequest message; ///< Without target, headers and body.
};

/// How an attempt ended, as the shell saw it.
enum class TransportOutcome {
    Replied,
    NotSent,
    Broken,
    Cancelled,
};

enum class RetryOutcome {
    Answer, ///< Pass the reply on.
    Retry, ///< Plan another attempt.
    Refused,
};

struct RetryDecision {
    RetryOutcome outcome = RetryOutcome::Refused;
    Refusal refusal;
};

/// Result of an offer to the ingress.
struct IngressDecision {
    AdmissionOutcome outcome = AdmissionOutcome::Refused;
    TicketId ticket; ///< Set when admitted or queued.
    CallReply refusal; ///< Set when refused.
};

/// What the shell needs to pass an admitted request to the upstream.
struct UpstreamCall {
    Endpoint upstream;
    std::string token;
    TimePoint deadline;
    WorkspaceName workspace;
};

/// How the upstream's work ended, as the shell saw it.
struct UpstreamResult {
    bool complete = false; ///< A whole response arrived.
    bool sentAnything = false; ///< A byte may have reached the upstream.
    bool cancelled = false;
    bool timedOut = false;
    int status = 0;
};

/// Announcement of the upstream on this VM.
struct UpstreamAnnouncement {
    ServiceName service;
    Endpoint endpoint;
    int slots = 0;
    std::string state; ///< "cold", "ready" or "draining".
};

/// A recent refusal, for operators.
struct RefusalRecord {
    std::string rootId;
    RouteName route;
    WorkspaceName workspace;
    RefusalKind kind = RefusalKind::None;
    RunState runState = RunState::NotRun;
    std::int64_t atMs = 0; ///< Wall time.
    ServiceName service;
    PriorityClass priority = PriorityClass::Interactive;
    int depth = 0;
    std::string detail; ///< One sentence.
};

/// Burn buckets of the fleet as far as they could be read.
struct CollectedBurn {
    BurnCollection buckets;
    std::vector<ZoneName> missingZones; ///< Zones without recent figures.
};

struct UpstreamStatus {
    ServiceName service;
    std::string state; ///< Of charts/upstream.chart.
    Endpoint endpoint;
    int slots = 0; ///< As announced.
    AdmissionSnapshot admission;
};

/// Tells the shell that a wait is over. Called under the node's lock; must not call back.
class INodeListener
{
public:
    virtual ~INodeListener() = default;

    virtual void onTicketDecided(TicketId ticket) = 0; ///< See INode::ticketRefusal().
    virtual void onTokens(const WorkspaceName &workspace) = 0;
};

/// All decisions of one node. Not thread-safe: the shell calls it under one lock. Never blocks.
class INode
{
public:
    virtual ~INode() = default;

    /// To be called about every 10 ms.
    virtual void tick() = 0;
    virtual void receive(const Endpoint &from, const ControlMessage &message) = 0;

    // ---- egress ----

    virtual EgressDecision beginRequest(const EgressRequest &request) = 0;

    /// Tries again after WaitForTokens. With lastTry the answer is Proceed or Refused.
    virtual EgressDecision resumeRequest(RequestId request, bool lastTry) = 0;

    /// Claims a non-idempotent request; done is called later under the node's lock.
    virtual void claim(RequestId request, const std::string &requestDigest, IClaims::ClaimCompletion done) = 0;

    virtual AttemptPlan planAttempt(RequestId request) = 0;

    /// The reply is read when the attempt ended with one.
    virtual RetryDecision endAttempt(RequestId request, CallId call, TransportOutcome end, const CallReply &reply) = 0;

    /// Ends a request that entered. The answer is what the caller gets; it is stored for a claim.
    virtual void endRequest(RequestId request, const StoredAnswer &answer, const Refusal &refusal) = 0;

    // ---- ingress ----

    virtual IngressDecision offer(const CallRequest &request) = 0;

    /// The refusal of a queued ticket, or nullopt when it was admitted or still waits.
    virtual std::optional<CallReply> ticketRefusal(TicketId ticket) = 0;
    [[nodiscard]] virtual bool isAdmitted(TicketId ticket) const = 0;

    /// Gives up a queued or admitted ticket whose caller went away before start.
    virtual void cancelTicket(TicketId ticket) = 0;
    virtual UpstreamCall start(TicketId ticket) = 0;

    /// Ends the work and makes the reply, without headers and body.
    virtual CallReply finish(TicketId ticket, const UpstreamResult &end) = 0;

    // ---- upstream and operators ----

    /// Errors: InvalidArgument.
    virtual Result<void> announce(const UpstreamAnnouncement &announcement) = 0;
    virtual void setOperatorDrain(bool draining) = 0;

    /// First step of a graceful shutdown.
    virtual void startShutdown() = 0;
    /// Last step: tells peers that this node is gone.
    virtual void leaveFleet() = 0;

    [[nodiscard]] virtual bool isReady(std::string &reason) const = 0;
    [[nodiscard]] virtual bool isDraining() const = 0;

    /// Whether the node has heard neither from another zone nor from the platform for the grace time of keys.
    [[nodiscard]] virtual bool isCutOff() const = 0;

    /// Collects burn buckets of the given minutes, both included, from this node and the table. done is called later
    /// under the node's lock; figures that cannot be read are named as missing zones.
    virtual void
    collectBurn(std::int64_t fromMinute, std::int64_t toMinute, std::function<void(Result<CollectedBurn>)> done) = 0;

    [[nodiscard]] virtual std::size_t requestsInProgress() const = 0;
    [[nodiscard]] virtual UpstreamStatus upstream() const = 0;
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
