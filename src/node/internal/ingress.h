#pragma once

#include "attempts/iattemptledger.h"
#include "base/random.h"
#include "node/inode.h"

#include <absl/container/flat_hash_map.h>

namespace vanillatack {

/// What an ingress request hands to the calls that its upstream makes while it runs.
struct InnerCallParent {
    RequestId request; ///< Owner of the retry allowance.
    RequestContext context;
};

/// Admits or refuses work for the node's own upstream and keeps the requests that it runs.
class Ingress
{
public:
    Ingress(IClock &clock, IRandom &random, IAdmission &admission, IAttemptLedger &ledger);

    IngressDecision offer(const CallRequest &request, RequestId id, const Refusal &notServing);
    std::optional<CallReply> ticketRefusal(TicketId ticket);
    [[nodiscard]] bool isAdmitted(TicketId ticket) const;
    void cancelTicket(TicketId ticket);
    UpstreamCall start(TicketId ticket, const Endpoint &upstream);
    CallReply finish(TicketId ticket, const UpstreamResult &end);

    /// Called by admission for queued tickets.
    void admit(TicketId ticket);
    void refuse(TicketId ticket, RefusalKind kind, Duration retryAfter);

    /// The request that the token belongs to, or nullopt when the token is unknown or its request has ended.
    [[nodiscard]] std::optional<InnerCallParent> findParent(const std::string &token) const;

    /// Accounts for a call that the upstream makes for a request; its time is not the upstream's own.
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
        int innerCalls = 0;
        TimePoint innerSince;
        Duration innerTime{0};
        bool innerFailed = false;
        std::vector<ServiceLevel> levels;
    };

    CallReply makeRefusal(const Record &record, RefusalKind kind, RunState runState, Duration retryAfter);
    CallReply describeEnd(const Record &record, const UpstreamResult &end);
    void addLevels(CallReply &reply, const Record &record) const;
    void erase(TicketId ticket, const Record &record);

    IClock &m_clock;
    IRandom &m_random;
    IAdmission &m_admission;
    IAttemptLedger &m_ledger;
    absl::flat_hash_map<TicketId, Record> m_records;
    absl::flat_hash_map<std::string, TicketId> m_tokens;
    absl::flat_hash_map<RequestId, TicketId> m_requests;
};

} // namespace vanillatack
