#include "daemon/internal/egressforwarder.h"

#include "base/digest.h"
#include "daemon/internal/problem.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace vanillatack {

namespace {

/// Longest wait for a quota loan, which takes one round trip to a node of the same or a nearby zone.
constexpr std::chrono::milliseconds MaxTokenWait{30};

TransportOutcome toTransportOutcome(LinkCallOutcome outcome)
{
    switch (outcome) {
    case LinkCallOutcome::Replied:
        return TransportOutcome::Replied;
    case LinkCallOutcome::NotSent:
        return TransportOutcome::NotSent;
    case LinkCallOutcome::Broken:
        return TransportOutcome::Broken;
    case LinkCallOutcome::Cancelled:
        return TransportOutcome::Cancelled;
    }
    return TransportOutcome::Broken;
}

/// Headers that are forwarded to the upstream. Leaves out the Authorization header, so that no upstream receives the
/// key of a caller.
HeaderList forwardedHeaders(const HeaderList &headers)
{
    HeaderList forwarded;
    for (const auto &header : headers) {
        const bool internal = absl::StartsWithIgnoreCase(header.first, "vanillatack-");
        if (!internal && !isHopByHopHeader(header.first) && !sameHeader(header.first, "authorization")) {
            forwarded.push_back(header);
        }
    }
    return forwarded;
}

Refusal claimRefusal(const ClaimResult &result)
{
    switch (result.outcome) {
    case ClaimOutcome::InProgress:
        return {RefusalKind::DuplicateInProgress, RunState::Unknown, result.retryAfter};
    case ClaimOutcome::Mismatch:
        return {RefusalKind::IdempotencyMismatch, RunState::NotRun, Duration::zero()};
    default:
        return {RefusalKind::StoreUnavailable,
                RunState::NotRun,
                std::max<Duration>(result.retryAfter, std::chrono::seconds(1))};
    }
}

HttpResponse toResponse(StoredAnswer answer, const std::string &rootId)
{
    HttpResponse response{answer.status, std::move(answer.headers), std::move(answer.body), false};
    response.headers.emplace_back("Vanillatack-Request-Id", rootId);
    return response;
}

} // namespace

EgressForwarder::EgressForwarder(IClock &clock, NodeLock &lock, INode &node, IThreadedPeerLink &link)
    : m_clock(clock)
    , m_lock(lock)
    , m_node(node)
    , m_link(link)
{
}

HttpResponse EgressForwarder::run(const HttpRequest &request, const EgressRequest &egressRequest, int callerSocket)
{
    ActiveRequest active;
    bool needsClaim = false;
    if (auto response = begin(egressRequest, active, needsClaim)) {
        return std::move(*response);
    }
    if (needsClaim) {
        if (auto response = claim(request, active)) {
            return std::move(*response);
        }
    }
    return runAttempts(request, active, callerSocket);
}

std::optional<HttpResponse>
EgressForwarder::begin(const EgressRequest &egressRequest, ActiveRequest &active, bool &needsClaim)
{
    auto lock = m_lock.acquire();
    EgressDecision decision = m_node.beginRequest(egressRequest);
    const TimePoint waitLimit = m_clock.now() + MaxTokenWait;
    while (decision.outcome == EgressOutcome::WaitForTokens) {
        m_lock.waitForTokens(lock, decision.workspace, waitLimit);
        decision = m_node.resumeRequest(decision.request, m_clock.now() >= waitLimit);
    }
    if (decision.outcome == EgressOutcome::Refused) {
        lock.unlock();
        return makeProblem(decision.refusal, decision.rootId);
    }
    active = {decision.request, decision.rootId, decision.deadline};
    needsClaim = decision.needsClaim;
    return std::nullopt;
}

std::optional<HttpResponse> EgressForwarder::claim(const HttpRequest &request, const ActiveRequest &active)
{
    // Shared with the completion, which may be called after the deadline, when this function has returned.
    struct Pending {
        std::condition_variable wake;
        std::optional<ClaimResult> result;
    };
    const auto pending = std::make_shared<Pending>();
    const std::string digest = sha256Hex(request.method + "\n" + request.target + "\n" + request.body.bytes());
    auto lock = m_lock.acquire();
    m_node.claim(active.id, digest, [pending](const ClaimResult &result) {
        pending->result = result;
        pending->wake.notify_one();
    });
    pending->wake.wait_until(lock, active.deadline, [&pending] {
        return pending->result.has_value();
    });
    // Without a result by the deadline, the default outcome Unavailable refuses the request as store-unavailable.
    const ClaimResult result = pending->result.value_or(ClaimResult{});
    lock.unlock();
    if (result.outcome == ClaimOutcome::Acquired) {
        return std::nullopt;
    }
    if (result.outcome == ClaimOutcome::Answered) {
        lock.lock();
        m_node.endRequest(active.id, result.answer, {});
        lock.unlock();
        return toResponse(result.answer, active.rootId);
    }
    return endRefused(active, claimRefusal(result));
}

HttpResponse EgressForwarder::runAttempts(const HttpRequest &request, const ActiveRequest &active, int callerSocket)
{
    const HeaderList headers = forwardedHeaders(request.headers);
    while (true) {
        auto lock = m_lock.acquire();
        AttemptPlan plan = m_node.planAttempt(active.id);
        lock.unlock();
        if (plan.outcome == PlanOutcome::Refused) {
            return endRefused(active, plan.refusal);
        }
        plan.message.method = request.method;
        plan.message.target = request.target;
        plan.message.headers = headers;
        plan.message.body = request.body;
        CallAttempt attempt = m_link.call(plan.node, plan.message, active.deadline, callerSocket);
        lock.lock();
        const RetryDecision decision =
            m_node.endAttempt(active.id, plan.call, toTransportOutcome(attempt.outcome), attempt.reply);
        lock.unlock();
        if (decision.outcome == RetryOutcome::Answer) {
            return endAnswered(active, std::move(attempt.reply));
        }
        if (decision.outcome == RetryOutcome::Refused) {
            return endRefused(active, decision.refusal);
        }
    }
}

HttpResponse EgressForwarder::endRefused(const ActiveRequest &active, const Refusal &refusal)
{
    HttpResponse response = makeProblem(refusal, active.rootId);
    auto lock = m_lock.acquire();
    m_node.endRequest(active.id, {response.status, {}, {}}, refusal);
    return response;
}

HttpResponse EgressForwarder::endAnswered(const ActiveRequest &active, CallReply reply)
{
    StoredAnswer answer{reply.status, std::move(reply.headers), reply.body.release()};
    auto lock = m_lock.acquire();
    m_node.endRequest(active.id, answer, {});
    lock.unlock();
    return toResponse(std::move(answer), active.rootId);
}

} // namespace vanillatack
