#include "node/internal/egress.h"

#include "base/text.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t MaxRecentRefusals = 1000;
constexpr std::chrono::seconds OverloadRetryAfter{1};

/// Time that a hop needs for itself and takes off the deadline that it hands down.
constexpr std::chrono::microseconds HopAllowance{500};

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool isGatewayError(int status)
{
    return status == 502 || status == 503 || status == 504;
}

AttemptOutcome attemptOutcome(TransportOutcome end, const CallReply &reply)
{
    switch (end) {
    case TransportOutcome::NotSent:
        return AttemptOutcome::ConnectFailed;
    case TransportOutcome::Broken:
        return AttemptOutcome::Broken;
    case TransportOutcome::Cancelled:
        return AttemptOutcome::Cancelled;
    case TransportOutcome::Replied:
        break;
    }
    switch (reply.refusal) {
    case RefusalKind::None:
        return reply.status < 500 || reply.refusedDeeper ? AttemptOutcome::Answered : AttemptOutcome::UpstreamError;
    case RefusalKind::Draining:
    case RefusalKind::NotReady:
        return AttemptOutcome::RefusedDraining;
    case RefusalKind::Overloaded:
        return AttemptOutcome::Refused;
    case RefusalKind::Cancelled:
        return AttemptOutcome::Cancelled;
    case RefusalKind::DeadlineExceeded:
        return reply.runState == RunState::NotRun ? AttemptOutcome::Refused : AttemptOutcome::Broken;
    default:
        return AttemptOutcome::Broken;
    }
}

} // namespace

Egress::Egress(const EgressParts &parts)
    : m_parts(parts)
{
}

EgressDecision Egress::beginRequest(const EgressRequest &request, RequestId id, const EntryGate &gate)
{
    Record record;
    record.enteredAt = m_parts.clock.now();
    record.idempotencyKey = request.idempotencyKey;
    record.owner = id;
    const bool isInner = request.requestToken.has_value();
    record.isRoot = !isInner;
    if (!isInner) {
        record.context.rootId = m_parts.random.hexToken(64);
    }
    const RouteConfig *route = m_parts.config.findRoute(request.method, pathOf(request.target));
    if (!gate.ready) {
        return refuseEntry(record, {RefusalKind::NotReady, RunState::NotRun, OverloadRetryAfter});
    }
    if (!route) {
        return refuseEntry(record, {RefusalKind::UnknownRoute, RunState::NotRun, Duration::zero()});
    }
    record.route = *route;
    const Refusal refusal = isInner ? checkInner(*request.requestToken, record) : checkRoot(request, gate, record);
    if (refusal.kind != RefusalKind::None) {
        return refuseEntry(record, refusal);
    }
    const auto [entry, inserted] = m_records.emplace(id, std::move(record));
    if (isInner) {
        m_parts.ingress.beginInnerCall(entry->second.owner);
        return proceed(id, entry->second);
    }
    m_parts.ledger.open(id, m_parts.config.allowanceOf(entry->second.route));
    return acquireTokens(id, entry->second, false);
}

Refusal Egress::checkRoot(const EgressRequest &request, const EntryGate &gate, Record &record)
{
    const RouteConfig &route = record.route;
    record.context.rootRoute = route.name;
    record.context.priority = route.priority;
    record.context.deadline = record.enteredAt + m_parts.config.deadlineOf(route);
    if (!route.open) {
        if (!request.key) {
            return {RefusalKind::MissingKey, RunState::NotRun, Duration::zero()};
        }
        const KeyCheck check = m_parts.keyring.check(*request.key);
        if (check.refusal != RefusalKind::None) {
            return {check.refusal, RunState::NotRun, Duration::zero()};
        }
        record.context.workspace = check.workspace;
        if (gate.keysStale) {
            return {RefusalKind::ZoneCutOff, RunState::NotRun, OverloadRetryAfter};
        }
    }
    if (m_parts.config.defaults.earlyRefusal && m_parts.router.refusesEarly(route.name, route.priority)) {
        return {RefusalKind::Overloaded, RunState::NotRun, OverloadRetryAfter};
    }
    return {};
}

Refusal Egress::checkInner(const std::string &token, Record &record)
{
    const std::optional<InnerCallParent> parent = m_parts.ingress.findParent(token);
    if (!parent) {
        return {RefusalKind::InvalidRequestToken, RunState::NotRun, Duration::zero()};
    }
    record.owner = parent->request;
    record.context = parent->context;
    ++record.context.depth;
    // A background route called for an important request stays background.
    if (record.route.priority == PriorityClass::Background) {
        record.context.priority = PriorityClass::Background;
    }
    if (record.context.depth > MaxCallDepth) {
        return {RefusalKind::MalformedRequest, RunState::NotRun, Duration::zero()};
    }
    return {};
}

EgressDecision Egress::acquireTokens(RequestId id, Record &record, bool lastTry)
{
    if (record.context.workspace.empty()) {
        return proceed(id, record);
    }
    const QuotaDecision decision = m_parts.quota.tryAcquire(record.context.workspace);
    if (decision.admitted) {
        return proceed(id, record);
    }
    if (decision.borrowing && !lastTry) {
        EgressDecision waiting;
        waiting.outcome = EgressOutcome::WaitForTokens;
        waiting.request = id;
        waiting.rootId = record.context.rootId;
        waiting.workspace = record.context.workspace;
        waiting.deadline = record.context.deadline;
        return waiting;
    }
    record.insideRate = false;
    const EgressDecision refused =
        refuseEntry(record, {RefusalKind::RateExceeded, RunState::NotRun, decision.retryAfter});
    m_parts.ledger.close(id);
    m_records.erase(id);
    return refused;
}

EgressDecision Egress::resumeRequest(RequestId id, bool lastTry)
{
    return acquireTokens(id, m_records.at(id), lastTry);
}

EgressDecision Egress::proceed(RequestId id, Record &record)
{
    EgressDecision decision;
    decision.outcome = EgressOutcome::Proceed;
    decision.request = id;
    decision.rootId = record.context.rootId;
    decision.needsClaim = !record.route.idempotent && record.idempotencyKey.has_value();
    decision.deadline = record.context.deadline;
    return decision;
}

EgressDecision Egress::refuseEntry(const Record &record, const Refusal &refusal)
{
    recordRefusal(record, refusal);
    if (record.isRoot) {
        m_parts.burn.record({record.route.name,
                             record.context.workspace,
                             refusal.kind,
                             0,
                             m_parts.clock.now() - record.enteredAt,
                             record.insideRate});
    }
    EgressDecision decision;
    decision.refusal = refusal;
    decision.rootId = record.context.rootId;
    return decision;
}

void Egress::claim(RequestId id, const std::string &requestDigest, IClaims::ClaimCompletion done)
{
    const Record &record = m_records.at(id);
    const ClaimKey key{record.context.workspace, record.route.name, *record.idempotencyKey, requestDigest};
    m_parts.claims.claim(key, record.context.deadline, [this, id, done = std::move(done)](const ClaimResult &result) {
        const auto entry = m_records.find(id);
        if (entry != m_records.end()) {
            if (result.outcome == ClaimOutcome::Acquired) {
                entry->second.claimId = result.claimId;
            }
            done(result);
        } else if (result.outcome == ClaimOutcome::Acquired) {
            // The caller has gone away; nothing was sent.
            m_parts.claims.release(result.claimId);
        }
    });
}

AttemptPlan Egress::planAttempt(RequestId id)
{
    Record &record = m_records.at(id);
    AttemptPlan plan;
    const TimePoint now = m_parts.clock.now();
    const Duration left = record.context.deadline - now - HopAllowance;
    const RunState runState = record.mayHaveRun ? RunState::Unknown : RunState::NotRun;
    if (left <= Duration::zero()) {
        plan.refusal = {RefusalKind::DeadlineExceeded, runState, Duration::zero()};
        return plan;
    }
    Result<RoutingChoice> choice = m_parts.router.choose(record.route.service, record.tried);
    if (!choice) {
        // With every instance tried once, the allowance may still pay for a second try at one of them.
        record.tried.clear();
        choice = m_parts.router.choose(record.route.service, record.tried);
    }
    if (!choice) {
        plan.refusal = {RefusalKind::NoInstance, runState, OverloadRetryAfter};
        return plan;
    }
    ++record.attempts;
    m_parts.metrics.countAttempt(record.route.service, record.attempts > 1);
    if (record.attempts == 1) {
        m_parts.retryBudget.recordFirstAttempt(record.route.service);
    }
    plan.outcome = PlanOutcome::Send;
    plan.call = CallId{++m_lastCall};
    plan.node = choice.value().endpoint;
    const int handedDown = m_parts.ledger.beginCall(record.owner, plan.call);
    record.current = Attempt{plan.call, choice.value().node, now, handedDown};
    record.tried.insert(choice.value().node);
    plan.message.requestId = plan.call.value;
    plan.message.rootId = record.context.rootId;
    plan.message.workspace = record.context.workspace;
    plan.message.rootRoute = record.context.rootRoute;
    plan.message.route = record.route.name;
    plan.message.service = record.route.service;
    plan.message.priority = record.context.priority;
    plan.message.depth = record.context.depth;
    plan.message.deadlineLeft = left;
    plan.message.allowance = handedDown;
    plan.message.idempotent = record.route.idempotent;
    return plan;
}

RetryDecision Egress::endAttempt(RequestId id, CallId call, TransportOutcome end, const CallReply &reply)
{
    Record &record = m_records.at(id);
    const Attempt attempt = *record.current;
    record.current.reset();
    const Duration latency = m_parts.clock.now() - attempt.startedAt;
    m_parts.router.finish(record.route.service, attempt.node, attemptOutcome(end, reply), latency);
    if (end == TransportOutcome::Replied) {
        m_parts.ledger.finishCall(record.owner, call, reply.allowanceReturned);
        return judgeReply(record, reply);
    }
    if (end == TransportOutcome::NotSent) {
        m_parts.ledger.finishCall(record.owner, call, attempt.handedDown);
        return retryOrRefuse(record, {RefusalKind::NoInstance, RunState::NotRun, OverloadRetryAfter}, true);
    }
    m_parts.ledger.markCallLost(record.owner, call);
    record.mayHaveRun = true;
    if (end == TransportOutcome::Cancelled) {
        return {RetryOutcome::Refused, {RefusalKind::Cancelled, RunState::Unknown, Duration::zero()}};
    }
    const bool late = m_parts.clock.now() >= record.context.deadline - HopAllowance;
    const RefusalKind kind = late ? RefusalKind::DeadlineExceeded : RefusalKind::UpstreamFailed;
    const Refusal refusal{kind, RunState::Unknown, Duration::zero()};
    return record.route.idempotent ? retryOrRefuse(record, refusal, true)
                                   : RetryDecision{RetryOutcome::Refused, refusal};
}

RetryDecision Egress::judgeReply(Record &record, const CallReply &reply)
{
    record.levels = reply.levels;
    m_parts.router.recordLevels(record.context.rootRoute, reply.levels);
    if (reply.refusal == RefusalKind::None) {
        record.mayHaveRun = true;
        const bool retryHelps = record.route.idempotent && isGatewayError(reply.status) && !reply.refusedDeeper;
        if (retryHelps && retryOrRefuse(record, {}, true).outcome == RetryOutcome::Retry) {
            return {RetryOutcome::Retry, {}};
        }
        return {RetryOutcome::Answer, {}};
    }
    record.mayHaveRun |= reply.runState != RunState::NotRun;
    const Refusal refusal{reply.refusal, reply.runState, reply.retryAfter};
    const bool final = reply.refusedDeeper || reply.refusal == RefusalKind::Cancelled
        || reply.refusal == RefusalKind::DeadlineExceeded;
    if (final || (reply.runState != RunState::NotRun && !record.route.idempotent)) {
        return {RetryOutcome::Refused, refusal};
    }
    // A draining instance costs its successor nothing extra, so the ratio does not stand in the way of a shutdown.
    const bool draining = reply.refusal == RefusalKind::Draining || reply.refusal == RefusalKind::NotReady;
    return retryOrRefuse(record, refusal, !draining);
}

RetryDecision Egress::retryOrRefuse(Record &record, const Refusal &refusal, bool countsAgainstRatio)
{
    Refusal final = refusal;
    if (record.mayHaveRun) {
        final.runState = RunState::Unknown;
    }
    const bool inTime = m_parts.clock.now() < record.context.deadline - HopAllowance;
    const bool granted = inTime && (!countsAgainstRatio || m_parts.retryBudget.tryAcquireRetry(record.route.service))
        && m_parts.ledger.tryAcquireRetry(record.owner);
    return granted ? RetryDecision{RetryOutcome::Retry, {}} : RetryDecision{RetryOutcome::Refused, final};
}

void Egress::endRequest(RequestId id, const StoredAnswer &answer, const Refusal &refusal)
{
    const auto entry = m_records.find(id);
    if (entry == m_records.end()) {
        return;
    }
    const Record record = std::move(entry->second);
    m_records.erase(entry);
    if (record.current) {
        // The shell gave up during an attempt.
        m_parts.router.finish(record.route.service, record.current->node, AttemptOutcome::Cancelled, Duration::zero());
        m_parts.ledger.markCallLost(record.owner, record.current->call);
    }
    settleClaim(record, answer, refusal);
    const bool refused = refusal.kind != RefusalKind::None;
    if (refused) {
        recordRefusal(record, refusal);
    }
    if (!record.isRoot) {
        m_parts.ingress.endInnerCall(record.owner, refused || answer.status >= 500, record.levels);
        return;
    }
    m_parts.ledger.close(id);
    const Duration latency = m_parts.clock.now() - record.enteredAt;
    m_parts.metrics.countRequest(record.route.name, record.context.workspace, answer.status, latency);
    m_parts.burn.record(
        {record.route.name, record.context.workspace, refusal.kind, answer.status, latency, record.insideRate});
}

void Egress::settleClaim(const Record &record, const StoredAnswer &answer, const Refusal &refusal)
{
    if (record.claimId.empty()) {
        return;
    }
    if (refusal.kind == RefusalKind::None) {
        m_parts.claims.complete(record.claimId, answer);
    } else if (!record.mayHaveRun && refusal.runState == RunState::NotRun && !record.current) {
        m_parts.claims.release(record.claimId);
    } else {
        m_parts.claims.abandon(record.claimId);
    }
}

void Egress::recordRefusal(const Record &record, const Refusal &refusal)
{
    m_parts.metrics.countRefusal(refusal.kind, record.context.priority);
    const auto wallTime = m_parts.clock.wallNow().time_since_epoch();
    const std::int64_t atMs = std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count();
    m_refusals.push_back({record.context.rootId,
                          record.route.name,
                          record.context.workspace,
                          refusal.kind,
                          refusal.runState,
                          atMs,
                          record.route.service,
                          record.context.priority,
                          record.context.depth,
                          "Refused after " + std::to_string(record.attempts) + " attempts."});
    if (m_refusals.size() > MaxRecentRefusals) {
        m_refusals.pop_front();
    }
}

std::size_t Egress::size() const
{
    return m_records.size();
}

std::vector<RefusalRecord> Egress::recentRefusals() const
{
    return {m_refusals.begin(), m_refusals.end()};
}

} // namespace vanillatack
