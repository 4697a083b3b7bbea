#include "node/internal/ingress.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t MaxLevelsPerReply = 16;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

WorkOutcome workOutcome(const UpstreamResult &result, bool innerFailed)
{
    if (result.cancelled) {
        return WorkOutcome::Cancelled;
    }
    if (!result.complete) {
        return WorkOutcome::Failed;
    }
    if (result.status < FirstServerError && result.status != TooManyRequests) {
        return WorkOutcome::Succeeded;
    }
    if (innerFailed) {
        // A deeper service caused the failure, which implies nothing about this upstream.
        return WorkOutcome::Cancelled;
    }
    const bool overloaded = result.status == TooManyRequests || result.status == ServiceUnavailable;
    return overloaded ? WorkOutcome::Overloaded : WorkOutcome::Failed;
}

void mergeLevel(std::vector<ServiceLevel> &levels, const ServiceLevel &level)
{
    const auto existing = std::find_if(levels.begin(), levels.end(), [&level](const ServiceLevel &other) {
        return other.service == level.service;
    });
    if (existing != levels.end()) {
        *existing = level;
    } else if (levels.size() < MaxLevelsPerReply) {
        levels.push_back(level);
    }
}

} // namespace

Ingress::Ingress(IClock &clock, IRandom &random, IAdmission &admission, IRetryAllowanceLedger &ledger)
    : m_clock(clock)
    , m_random(random)
    , m_admission(admission)
    , m_ledger(ledger)
{
}

IngressDecision Ingress::offer(const CallRequest &request, RequestId id, const Refusal &unavailability)
{
    Record record;
    record.request = id;
    record.service = request.service;
    record.context = {request.rootId,
                      request.workspace,
                      request.rootRoute,
                      request.priority,
                      request.depth,
                      m_clock.now() + request.deadlineLeft};
    m_ledger.open(id, request.allowance);
    if (unavailability.kind != RefusalKind::None) {
        const CallReply reply = makeRefusal(record, unavailability.kind, RunState::NotRun, unavailability.retryAfter);
        return {AdmissionOutcome::Refused, {}, reply};
    }
    const AdmissionDecision decision =
        m_admission.offer({request.workspace, request.priority, request.depth > 0, record.context.deadline});
    if (decision.outcome == AdmissionOutcome::Refused) {
        const CallReply reply = makeRefusal(record, decision.refusal, RunState::NotRun, decision.retryAfter);
        return {AdmissionOutcome::Refused, {}, reply};
    }
    const bool admitted = decision.outcome == AdmissionOutcome::Admitted;
    record.state = admitted ? State::Admitted : State::Queued;
    m_requests[id] = decision.ticket;
    m_records[decision.ticket] = std::move(record);
    return {decision.outcome, decision.ticket, {}};
}

void Ingress::admit(TicketId ticket)
{
    const auto record = m_records.find(ticket);
    if (record != m_records.end()) {
        record->second.state = State::Admitted;
    }
}

void Ingress::refuse(TicketId ticket, RefusalKind kind, Duration retryAfter)
{
    const auto record = m_records.find(ticket);
    if (record != m_records.end()) {
        record->second.state = State::Refused;
        record->second.refusal = makeRefusal(record->second, kind, RunState::NotRun, retryAfter);
    }
}

std::optional<CallReply> Ingress::ticketRefusal(TicketId ticket)
{
    const auto record = m_records.find(ticket);
    if (record == m_records.end() || record->second.state != State::Refused) {
        return std::nullopt;
    }
    CallReply reply = std::move(record->second.refusal);
    erase(ticket, record->second);
    return reply;
}

bool Ingress::isAdmitted(TicketId ticket) const
{
    const auto record = m_records.find(ticket);
    return record != m_records.end() && record->second.state == State::Admitted;
}

void Ingress::cancelTicket(TicketId ticket)
{
    const auto record = m_records.find(ticket);
    if (record == m_records.end()) {
        return;
    }
    if (record->second.state == State::Admitted) {
        m_admission.finish(ticket, WorkOutcome::Cancelled, Duration::zero());
    } else if (record->second.state == State::Queued) {
        m_admission.cancel(ticket);
    }
    m_ledger.close(record->second.request);
    erase(ticket, record->second);
}

UpstreamCall Ingress::start(TicketId ticket, const Endpoint &upstream)
{
    Record &record = m_records.at(ticket);
    record.state = State::Started;
    record.startedAt = m_clock.now();
    record.token = m_random.hexToken();
    m_tokens[record.token] = ticket;
    return {upstream, record.token, record.context.deadline, record.context.workspace};
}

CallReply Ingress::finish(TicketId ticket, const UpstreamResult &result)
{
    const auto found = m_records.find(ticket);
    Record record = std::move(found->second);
    erase(ticket, record);
    const TimePoint now = m_clock.now();
    if (record.openInnerCalls > 0) {
        record.innerTime += now - record.innerCallsSince;
    }
    const Duration ownTime = now - record.startedAt - record.innerTime;
    m_admission.finish(ticket, workOutcome(result, record.innerFailed), ownTime);
    return makeReply(record, result);
}

CallReply Ingress::makeReply(const Record &record, const UpstreamResult &result)
{
    if (result.complete) {
        CallReply reply;
        reply.runState = RunState::Ran;
        reply.status = result.status;
        reply.refusedDeeper = record.innerFailed && result.status >= FirstServerError;
        reply.allowanceReturned = m_ledger.close(record.request);
        addLevels(reply, record);
        return reply;
    }
    const RunState runState = result.sentAnything ? RunState::Unknown : RunState::NotRun;
    if (result.cancelled) {
        return makeRefusal(record, RefusalKind::Cancelled, runState, Duration::zero());
    }
    if (result.timedOut) {
        return makeRefusal(record, RefusalKind::DeadlineExceeded, runState, Duration::zero());
    }
    const RefusalKind kind = result.sentAnything ? RefusalKind::BadUpstreamReply : RefusalKind::UpstreamFailed;
    return makeRefusal(record, kind, runState, Duration::zero());
}

CallReply Ingress::makeRefusal(const Record &record, RefusalKind kind, RunState runState, Duration retryAfter)
{
    CallReply reply;
    reply.refusal = kind;
    reply.runState = runState;
    reply.retryAfter = retryAfter;
    reply.allowanceReturned = m_ledger.close(record.request);
    addLevels(reply, record);
    return reply;
}

void Ingress::addLevels(CallReply &reply, const Record &record) const
{
    ServiceLevel own = m_admission.level();
    own.service = record.service;
    reply.levels = record.levels;
    mergeLevel(reply.levels, own);
}

void Ingress::erase(TicketId ticket, const Record &record)
{
    m_tokens.erase(record.token);
    m_requests.erase(record.request);
    m_records.erase(ticket);
}

std::optional<InnerCallParent> Ingress::findParent(const std::string &token) const
{
    const auto ticket = m_tokens.find(token);
    if (ticket == m_tokens.end()) {
        return std::nullopt;
    }
    const Record &record = m_records.at(ticket->second);
    return InnerCallParent{record.request, record.context};
}

void Ingress::beginInnerCall(RequestId parent)
{
    const auto ticket = m_requests.find(parent);
    if (ticket == m_requests.end()) {
        return;
    }
    Record &record = m_records.at(ticket->second);
    if (record.openInnerCalls++ == 0) {
        record.innerCallsSince = m_clock.now();
    }
}

void Ingress::endInnerCall(RequestId parent, bool failed, const std::vector<ServiceLevel> &levels)
{
    const auto ticket = m_requests.find(parent);
    if (ticket == m_requests.end()) {
        return;
    }
    Record &record = m_records.at(ticket->second);
    if (--record.openInnerCalls == 0) {
        record.innerTime += m_clock.now() - record.innerCallsSince;
    }
    record.innerFailed |= failed;
    for (const ServiceLevel &level : levels) {
        mergeLevel(record.levels, level);
    }
}

std::size_t Ingress::size() const
{
    return m_records.size();
}

} // namespace vanillatack
