#pragma once

#include "attempts/iattemptledger.h"
#include "attempts/iretrybudget.h"
#include "metrics/imetrics.h"
#include "node/inode.h"
#include "node/internal/ingress.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <set>

namespace vanillatack {

/// The decision parts that the egress uses.
struct EgressParts {
    IClock &clock;
    IRandom &random;
    Ingress &ingress;
    IAttemptLedger &ledger;
    IRetryBudget &retryBudget;
    IRouter &router;
    IKeyring &keyring;
    IQuota &quota;
    IClaims &claims;
    IBurnCounters &burn;
    IMetrics &metrics;
    const FleetConfig &config;
};

/// State of the node that decides whether requests may enter at all.
struct EntryGate {
    bool ready = false; ///< Both documents have been received.
    bool keysStale = false; ///< Cut off for longer than the grace time for keys.
};

/// Lets requests of outside callers and of the own upstream enter, and runs their attempts.
class Egress
{
public:
    explicit Egress(const EgressParts &parts);

    EgressDecision beginRequest(const EgressRequest &request, RequestId id, const EntryGate &gate);
    EgressDecision resumeRequest(RequestId id, bool lastTry);
    void claim(RequestId id, const std::string &requestDigest, IClaims::ClaimCompletion done);
    AttemptPlan planAttempt(RequestId id);
    RetryDecision endAttempt(RequestId id, CallId call, TransportOutcome end, const CallReply &reply);
    void endRequest(RequestId id, const StoredAnswer &answer, const Refusal &refusal);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::vector<RefusalRecord> recentRefusals() const;

private:
    struct Attempt {
        CallId call;
        NodeName node;
        TimePoint startedAt;
        int handedDown = 0;
    };

    struct Record {
        RequestId owner; ///< Request whose allowance is used: itself, or the ingress request it is made for.
        bool isRoot = true;
        RouteConfig route; ///< A copy, since the configuration can change while the request runs.
        RequestContext context;
        std::optional<std::string> idempotencyKey;
        std::string claimId;
        TimePoint enteredAt;
        int attempts = 0;
        bool mayHaveRun = false;
        bool insideRate = true;
        std::optional<Attempt> current;
        std::set<NodeName> tried;
        std::vector<ServiceLevel> levels;
    };

    EgressDecision refuseEntry(const Record &record, const Refusal &refusal);
    Refusal checkRoot(const EgressRequest &request, const EntryGate &gate, Record &record);
    Refusal checkInner(const std::string &token, Record &record);
    EgressDecision acquireTokens(RequestId id, Record &record, bool lastTry);
    EgressDecision proceed(RequestId id, Record &record);
    RetryDecision retryOrRefuse(Record &record, const Refusal &refusal, bool countsAgainstRatio);
    RetryDecision judgeReply(Record &record, const CallReply &reply);
    void recordRefusal(const Record &record, const Refusal &refusal);
    void settleClaim(const Record &record, const StoredAnswer &answer, const Refusal &refusal);

    EgressParts m_parts;
    std::uint64_t m_lastCall = 0;
    absl::flat_hash_map<RequestId, Record> m_records;
    std::deque<RefusalRecord> m_refusals;
};

} // namespace vanillatack
