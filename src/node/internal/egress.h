#pragma once

#include "attempts/iretryallowanceledger.h"
#include "attempts/iretrybudget.h"
#include "metrics/imetrics.h"
#include "node/inode.h"
#include "node/internal/ingress.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <set>

namespace vanillatack {

struct EgressDependencies {
    IClock &clock;
    IRandom &random;
    Ingress &ingress;
    IRetryAllowanceLedger &ledger;
    IRetryBudget &retryBudget;
    IRouter &router;
    IKeyring &keyring;
    IQuota &quota;
    IClaims &claims;
    IBurnCounters &burn;
    IMetrics &metrics;
    const FleetConfig &config;
};

/// State of the node that requests are checked against.
struct NodeReadiness {
    bool ready = false; ///< Both documents and the withdrawn keys have been received.
    bool keysStale = false; ///< Withdrawals of keys may be missing, see INode::areKeysStale().
};

/// Egress side of the node: checks root requests of outside callers and inner calls of the local instance, and plans
/// their attempts.
class Egress
{
public:
    explicit Egress(const EgressDependencies &dependencies);

    EgressDecision beginRequest(const EgressRequest &request, RequestId id, const NodeReadiness &readiness);
    EgressDecision resumeRequest(RequestId id, bool lastTry);
    void claim(RequestId id, const std::string &requestDigest, IClaims::ClaimCompletion done);
    AttemptPlan planAttempt(RequestId id);
    RetryDecision endAttempt(RequestId id, CallId call, TransportOutcome outcome, const CallReply &reply);
    void endRequest(RequestId id, const StoredAnswer &answer, const Refusal &refusal);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::vector<RefusalRecord> recentRefusals() const;

private:
    struct Attempt {
        CallId call;
        NodeName node;
        TimePoint startedAt;
        int delegatedAllowance = 0; ///< Retries delegated to the callee.
    };

    struct Record {
        RequestId owner; ///< Request whose retry allowance is used: itself, or for an inner call the ingress request.
        bool isRoot = true;
        RouteConfig route; ///< A copy, since the configuration can change while the request runs.
        RequestContext context;
        std::optional<std::string> idempotencyKey;
        std::string claimId; ///< Empty unless a claim was acquired.
        TimePoint enteredAt;
        int attempts = 0;
        bool mayHaveRun = false; ///< An attempt ran or may have run.
        bool insideRate = true; ///< False when the rate limit refused the request.
        std::optional<Attempt> current;
        std::set<NodeName> tried; ///< Nodes whose instances are excluded from the next choice.
        std::vector<ServiceLevel> levels; ///< Service levels in the last reply.
    };

    EgressDecision refuseRequest(const Record &record, const Refusal &refusal);
    Refusal checkRoot(const EgressRequest &request, const NodeReadiness &readiness, Record &record);
    Refusal checkInner(const std::string &token, Record &record);
    EgressDecision acquireTokens(RequestId id, Record &record, bool lastTry);
    EgressDecision proceed(RequestId id, Record &record);
    RetryDecision retryOrRefuse(Record &record, const Refusal &refusal, bool countsAgainstRatio);
    RetryDecision evaluateReply(Record &record, const CallReply &reply);
    void recordRefusal(const Record &record, const Refusal &refusal);
    void settleClaim(const Record &record, const StoredAnswer &answer, const Refusal &refusal);

    EgressDependencies m_dependencies;
    std::uint64_t m_lastCall = 0;
    absl::flat_hash_map<RequestId, Record> m_records;
    std::deque<RefusalRecord> m_refusals;
};

} // namespace vanillatack
