#include "node/internal/egress.h"

#include "base/text.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t MaxRecentRefusals = 1000;
constexpr std::chrono::seconds OverloadRetryAfter{1};

/// Processing time of a hop, subtracted from the deadline of the calls that it forwards.
constexpr std::chrono::microseconds HopOverhead{500};

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool isGatewayError(int status)
{
    return status == 502 || status == 503 || status == 504;
}

AttemptOutcome attemptOutcome(TransportOutcome outcome, const CallReply &reply)
{
    switch (outcome) {
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

Egress::Egress(const EgressDependencies &dependencies)
    : m_dependencies(dependencies)
{
}

EgressDecision Egress::beginRequest(const EgressRequest &request, RequestId id, const NodeReadiness &readiness)
{
    Record record;
    record.enteredAt = m_dependencies.clock.now();
    record.idempotencyKey = request.idempotencyKey;
    record.owner = id;
    const bool isInner = request.requestToken.has_value();
    record.isRoot = !isInner;
    if (!isInner) {
        record.context.rootId = m_dependencies.random.hexToken(64);
    }
    const RouteConfig *route = m_dependencies.config.findRoute(request.method, pathOf(request.target));
    if (!readiness.ready) {
        return refuseRequest(record, {RefusalKind::NotReady, RunState::NotRun, OverloadRetryAfter});
    }
    if (!route) {
        return refuseRequest(record, {RefusalKind::UnknownRoute, RunState::NotRun, Duration::zero()});
    }
    record.route = *route;
    const Refusal refusal = isInner ? checkInner(*request.requestToken, record) : checkRoot(request, readiness, record);
    if (refusal.kind != RefusalKind::None) {
        return refuseRequest(record, refusal);
    }
    const auto [entry, inserted] = m_records.emplace(id, std::move(record));
    if (isInner) {
        m_dependencies.ingress.beginInnerCall(entry->second.owner);
        return proceed(id, entry->second);
    }
    m_dependencies.ledger.open(id, m_dependencies.config.retryAllowanceOf(entry->second.route));
    return acquireTokens(id, entry->second, false);
}

Refusal Egress::checkRoot(const EgressRequest &request, const NodeReadiness &readiness, Record &record)
{
    const RouteConfig &route = record.route;
    record.context.rootRoute = route.name;
    record.context.priority = route.priority;
    record.context.deadline = record.enteredAt + m_dependencies.config.deadlineOf(route);
    if (!route.open) {
        if (!request.key) {
            return {RefusalKind::MissingKey, RunState::NotRun, Duration::zero()};
        }
        const KeyCheck check = m_dependencies.keyring.check(*request.key);
        if (check.refusal != RefusalKind::None) {
            return {check.refusal, RunState::NotRun, Duration::zero()};
        }
        record.context.workspace = check.workspace;
        if (readiness.keysStale) {
            return {RefusalKind::ZoneCutOff, RunState::NotRun, OverloadRetryAfter};
        }
    }
    if (m_dependencies.config.defaults.earlyRefusal && m_dependencies.router.refusesEarly(route.name, route.priority)) {
        return {RefusalKind::Overloaded, RunState::NotRun, OverloadRetryAfter};
    }
    return {};
}

Refusal Egress::checkInner(const std::string &token, Record &record)
{
    const std::optional<InnerCallParent> parent = m_dependencies.ingress.findParent(token);
    if (!parent) {
        return {RefusalKind::InvalidRequestToken, RunState::NotRun, Duration::zero()};
    }
    record.owner = parent->request;
    record.context = parent->context;
    ++record.context.depth;
    // An inner call to a background route keeps the background class whatever the class of the root request.
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
    const QuotaDecision decision = m_dependencies.quota.tryAcquire(record.context.workspace);
    if (decision.admitted) {
        return proceed(id, record);
    }
    if (decision.tokensExpected && !lastTry) {
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
        refuseRequest(record, {RefusalKind::RateExceeded, RunState::NotRun, decision.retryAfter});
    m_dependencies.ledger.close(id);
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

EgressDecision Egress::refuseRequest(const Record &record, const Refusal &refusal)
{
    recordRefusal(record, refusal);
    if (record.isRoot) {
        m_dependencies.burn.record({record.route.name,
                                    record.context.workspace,
                                    refusal.kind,
                                    0,
                                    m_dependencies.clock.now() - record.enteredAt,
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
    m_dependencies.claims.claim(
        key, record.context.deadline, [this, id, done = std::move(done)](const ClaimResult &result) {
            const auto entry = m_records.find(id);
            if (entry != m_records.end()) {
                if (result.outcome == ClaimOutcome::Acquired) {
                    entry->second.claimId = result.claimId;
                }
                done(result);
            } else if (result.outcome == ClaimOutcome::Acquired) {
                // The request has already ended; nothing was sent.
                m_dependencies.claims.release(result.claimId);
            }
        });
}

AttemptPlan Egress::planAttempt(RequestId id)
{
    Record &record = m_records.at(id);
    AttemptPlan plan;
    const TimePoint now = m_dependencies.clock.now();
    const Duration left = record.context.deadline - now - HopOverhead;
    const RunState runState = record.mayHaveRun ? RunState::Unknown : RunState::NotRun;
    if (left <= Duration::zero()) {
        plan.refusal = {RefusalKind::DeadlineExceeded, runState, Duration::zero()};
        return plan;
    }
    Result<RoutingChoice> choice = m_dependencies.router.choose(record.route.service, record.tried);
    if (!choice) {
        // When every instance has been tried once, remaining allowance can be used for a second attempt at one of them.
        record.tried.clear();
        choice = m_dependencies.router.choose(record.route.service, record.tried);
    }
    if (!choice) {
        plan.refusal = {RefusalKind::NoInstance, runState, OverloadRetryAfter};
        return plan;
    }
    ++record.attempts;
    m_dependencies.metrics.countAttempt(record.route.service, record.attempts > 1);
    if (record.attempts == 1) {
        m_dependencies.retryBudget.recordFirstAttempt(record.route.service);
    }
    plan.outcome = PlanOutcome::Send;
    plan.call = CallId{++m_lastCall};
    plan.node = choice.value().endpoint;
    const int delegatedAllowance = m_dependencies.ledger.beginCall(record.owner, plan.call);
    record.current = Attempt{plan.call, choice.value().node, now, delegatedAllowance};
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
    plan.message.allowance = delegatedAllowance;
    plan.message.idempotent = record.route.idempotent;
    return plan;
}

RetryDecision Egress::endAttempt(RequestId id, CallId call, TransportOutcome outcome, const CallReply &reply)
{
    Record &record = m_records.at(id);
    const Attempt attempt = *record.current;
    record.current.reset();
    const Duration latency = m_dependencies.clock.now() - attempt.startedAt;
    m_dependencies.router.finish(record.route.service, attempt.node, attemptOutcome(outcome, reply), latency);
    if (outcome == TransportOutcome::Replied) {
        m_dependencies.ledger.finishCall(record.owner, call, reply.allowanceReturned);
        return evaluateReply(record, reply);
    }
    if (outcome == TransportOutcome::NotSent) {
        m_dependencies.ledger.finishCall(record.owner, call, attempt.delegatedAllowance);
        return retryOrRefuse(record, {RefusalKind::NoInstance, RunState::NotRun, OverloadRetryAfter}, true);
    }
    m_dependencies.ledger.markCallLost(record.owner, call);
    record.mayHaveRun = true;
    if (outcome == TransportOutcome::Cancelled) {
        return {RetryOutcome::Refused, {RefusalKind::Cancelled, RunState::Unknown, Duration::zero()}};
    }
    const bool deadlinePassed = m_dependencies.clock.now() >= record.context.deadline - HopOverhead;
    const RefusalKind kind = deadlinePassed ? RefusalKind::DeadlineExceeded : RefusalKind::UpstreamFailed;
    const Refusal refusal{kind, RunState::Unknown, Duration::zero()};
    return record.route.idempotent ? retryOrRefuse(record, refusal, true)
                                   : RetryDecision{RetryOutcome::Refused, refusal};
}

RetryDecision Egress::evaluateReply(Record &record, const CallReply &reply)
{
    record.levels = reply.levels;
    m_dependencies.router.recordLevels(record.context.rootRoute, reply.levels);
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
    const bool isFinal = reply.refusedDeeper || reply.refusal == RefusalKind::Cancelled
        || reply.refusal == RefusalKind::DeadlineExceeded;
    if (isFinal || (reply.runState != RunState::NotRun && !record.route.idempotent)) {
        return {RetryOutcome::Refused, refusal};
    }
    // A retry of a request that a draining or not ready instance refused adds no load, so the retry ratio does not
    // limit it. Otherwise the ratio could make requests fail during a shutdown.
    const bool draining = reply.refusal == RefusalKind::Draining || reply.refusal == RefusalKind::NotReady;
    return retryOrRefuse(record, refusal, !draining);
}

RetryDecision Egress::retryOrRefuse(Record &record, const Refusal &refusal, bool countsAgainstRatio)
{
    Refusal combined = refusal;
    if (record.mayHaveRun) {
        combined.runState = RunState::Unknown;
    }
    const bool inTime = m_dependencies.clock.now() < record.context.deadline - HopOverhead;
    const bool granted = inTime
        && (!countsAgainstRatio || m_dependencies.retryBudget.tryAcquireRetry(record.route.service))
        && m_dependencies.ledger.tryAcquireRetry(record.owner);
    return granted ? RetryDecision{RetryOutcome::Retry, {}} : RetryDecision{RetryOutcome::Refused, combined};
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
        // The request was ended while an attempt was in flight.
        m_dependencies.router.finish(
            record.route.service, record.current->node, AttemptOutcome::Cancelled, Duration::zero());
        m_dependencies.ledger.markCallLost(record.owner, record.current->call);
    }
    settleClaim(record, answer, refusal);
    const bool refused = refusal.kind != RefusalKind::None;
    if (refused) {
        recordRefusal(record, refusal);
    }
    if (!record.isRoot) {
        m_dependencies.ingress.endInnerCall(record.owner, refused || answer.status >= 500, record.levels);
        return;
    }
    m_dependencies.ledger.close(id);
    const Duration latency = m_dependencies.clock.now() - record.enteredAt;
    m_dependencies.metrics.countRequest(record.route.name, record.context.workspace, answer.status, latency);
    m_dependencies.burn.record(
        {record.route.name, record.context.workspace, refusal.kind, answer.status, latency, record.insideRate});
}

void Egress::settleClaim(const Record &record, const StoredAnswer &answer, const Refusal &refusal)
{
    if (record.claimId.empty()) {
        return;
    }
    if (refusal.kind == RefusalKind::None) {
        m_dependencies.claims.complete(record.claimId, answer);
    } else if (!record.mayHaveRun && refusal.runState == RunState::NotRun && !record.current) {
        m_dependencies.claims.release(record.claimId);
    } else {
        m_dependencies.claims.keepUnresolved(record.claimId);
    }
}

void Egress::recordRefusal(const Record &record, const Refusal &refusal)
{
    m_dependencies.metrics.countRefusal(refusal.kind, record.context.priority);
    const auto wallTime = m_dependencies.clock.wallNow().time_since_epoch();
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
