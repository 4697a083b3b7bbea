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

    EntryDecision enter(const EntryRequest &request, RequestId id, const EntryGate &gate);
    EntryDecision resumeEntry(RequestId id, bool lastTry);
    void claim(RequestId id, const std::string &requestDigest, IClaims::ClaimCompletion done);
    AttemptPlan planAttempt(RequestId id);
    AttemptVerdict endAttempt(RequestId id, CallId call, AttemptEnd end, const CallReply &reply);
    void leave(RequestId id, const StoredAnswer &answer, const Refusal &refusal);

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

    EntryDecision refuseEntry(const Record &record, const Refusal &refusal);
    Refusal checkRoot(const EntryRequest &request, const EntryGate &gate, Record &record);
    Refusal checkInner(const std::string &token, Record &record);
    EntryDecision acquireTokens(RequestId id, Record &record, bool lastTry);
    EntryDecision proceed(RequestId id, Record &record);
    AttemptVerdict retryOrRefuse(Record &record, const Refusal &refusal, bool countsAgainstRatio);
    AttemptVerdict judgeReply(Record &record, const CallReply &reply);
    void recordRefusal(const Record &record, const Refusal &refusal);
    void settleClaim(const Record &record, const StoredAnswer &answer, const Refusal &refusal);

    EgressParts m_parts;
    std::uint64_t m_lastCall = 0;
    absl::flat_hash_map<RequestId, Record> m_records;
    std::deque<RefusalRecord> m_refusals;
};

} // namespace vanillatack
