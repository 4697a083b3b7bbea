#pragma once

#include "attempts/iretryallowanceledger.h"
#include "base/random.h"
#include "node/inode.h"

#include <absl/container/flat_hash_map.h>

namespace vanillatack {

/// Properties that inner calls inherit from the ingress request for which the local instance makes them.
struct InnerCallParent {
    RequestId request; ///< Request whose retry allowance the inner calls use.
    RequestContext context;
};

/// Ingress side of the node: admits, queues or refuses calls to the local instance and tracks those that it runs.
class Ingress
{
public:
    Ingress(IClock &clock, IRandom &random, IAdmission &admission, IRetryAllowanceLedger &ledger);

    /// Refuses the call without asking admission if unavailability holds a refusal.
    IngressDecision offer(const CallRequest &request, RequestId id, const Refusal &unavailability);
    std::optional<CallReply> ticketRefusal(TicketId ticket);
    [[nodiscard]] bool isAdmitted(TicketId ticket) const;
    void cancelTicket(TicketId ticket);
    UpstreamCall start(TicketId ticket, const Endpoint &upstream);
    CallReply finish(TicketId ticket, const UpstreamResult &result);

    /// Records the decision of admission on a queued ticket.
    void admit(TicketId ticket);
    void refuse(TicketId ticket, RefusalKind kind, Duration retryAfter);

    /// Returns the request that the token was created for; nullopt when the token is unknown or its request has ended.
    [[nodiscard]] std::optional<InnerCallParent> findParent(const std::string &token) const;

    /// Starts and ends an inner call of a request. Time with an inner call in flight does not count towards the latency
    /// of the local instance.
    void beginInnerCall(RequestId parent);
    void endInnerCall(RequestId parent, bool failed, const std::vector<ServiceLevel> &levels);

    [[nodiscard]] std::size_t size() const;

private:
    enum class State {
        Queued,
        Admitted,
        Started,
        Refused,
    };

    struct Record {
        State state = State::Queued;
        RequestId request;
        ServiceName service;
        RequestContext context;
        std::string token;
        CallReply refusal;
        TimePoint startedAt;
        int openInnerCalls = 0;
        TimePoint innerCallsSince; ///< Time since which at least one inner call is in flight.
        Duration innerTime{0}; ///< Total time of earlier periods with at least one inner call in flight.
        bool innerFailed = false; ///< An inner call was refused or answered with status 5xx.
        std::vector<ServiceLevel> levels; ///< Service levels reported by inner calls.
    };

    CallReply makeRefusal(const Record &record, RefusalKind kind, RunState runState, Duration retryAfter);
    CallReply makeReply(const Record &record, const UpstreamResult &result);
    void addLevels(CallReply &reply, const Record &record) const;
    void erase(TicketId ticket, const Record &record);

    IClock &m_clock;
    IRandom &m_random;
    IAdmission &m_admission;
    IRetryAllowanceLedger &m_ledger;
    absl::flat_hash_map<TicketId, Record> m_records;
    absl::flat_hash_map<std::string, TicketId> m_tokens;
    absl::flat_hash_map<RequestId, TicketId> m_requests;
};

} // namespace vanillatack
