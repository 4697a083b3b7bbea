#include "daemon/internal/egressforwarder.h"

#include "base/digest.h"
#include "daemon/internal/problem.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace vanillatack {

namespace {

/// Longest wait for a quota loan; a loan takes one round trip to a node of the same or a nearby zone.
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

/// Headers that go on to the upstream. The caller's key ends here.
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

HttpResponse EgressForwarder::run(const HttpRequest &request, const EgressRequest &entry, int callerSocket)
{
    Running running;
    bool needsClaim = false;
    if (auto response = enter(entry, running, needsClaim)) {
        return std::move(*response);
    }
    if (needsClaim) {
        if (auto response = claim(request, running)) {
            return std::move(*response);
        }
    }
    return attempt(request, running, callerSocket);
}

std::optional<HttpResponse> EgressForwarder::enter(const EgressRequest &entry, Running &running, bool &needsClaim)
{
    auto lock = m_lock.acquire();
    EgressDecision decision = m_node.beginRequest(entry);
    const TimePoint patience = m_clock.now() + MaxTokenWait;
    while (decision.outcome == EgressOutcome::WaitForTokens) {
        m_lock.waitForTokens(lock, decision.workspace, patience);
        decision = m_node.resumeRequest(decision.request, m_clock.now() >= patience);
    }
    if (decision.outcome == EgressOutcome::Refused) {
        lock.unlock();
        return makeProblem(decision.refusal, decision.rootId);
    }
    running = {decision.request, decision.rootId, decision.deadline};
    needsClaim = decision.needsClaim;
    return std::nullopt;
}

std::optional<HttpResponse> EgressForwarder::claim(const HttpRequest &request, const Running &running)
{
    // Outlives this call when the completion comes after the deadline.
    struct Pending {
        std::condition_variable wake;
        std::optional<ClaimResult> result;
    };
    const auto pending = std::make_shared<Pending>();
    const std::string digest = sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
    auto lock = m_lock.acquire();
    m_node.claim(running.id, digest, [pending](const ClaimResult &result) {
        pending->result = result;
        pending->wake.notify_one();
    });
    pending->wake.wait_until(lock, running.deadline, [&pending] {
        return pending->result.has_value();
    });
    const ClaimResult result = pending->result.value_or(ClaimResult{});
    lock.unlock();
    if (result.outcome == ClaimOutcome::Acquired) {
        return std::nullopt;
    }
    if (result.outcome == ClaimOutcome::Answered) {
        lock.lock();
        m_node.endRequest(running.id, result.answer, {});
        lock.unlock();
        return toResponse(result.answer, running.rootId);
    }
    return leaveRefused(running, claimRefusal(result));
}

HttpResponse EgressForwarder::attempt(const HttpRequest &request, const Running &running, int callerSocket)
{
    const HeaderList headers = forwardedHeaders(request.headers);
    while (true) {
        auto lock = m_lock.acquire();
        AttemptPlan plan = m_node.planAttempt(running.id);
        lock.unlock();
        if (plan.outcome == PlanOutcome::Refused) {
            return leaveRefused(running, plan.refusal);
        }
        plan.message.method = request.method;
        plan.message.target = request.target;
        plan.message.headers = headers;
        plan.message.body = request.body;
        CallAttempt attempt = m_link.call(plan.node, plan.message, running.deadline, callerSocket);
        lock.lock();
        const RetryDecision verdict =
            m_node.endAttempt(running.id, plan.call, toTransportOutcome(attempt.outcome), attempt.reply);
        lock.unlock();
        if (verdict.outcome == RetryOutcome::Answer) {
            return leaveAnswered(running, std::move(attempt.reply));
        }
        if (verdict.outcome == RetryOutcome::Refused) {
            return leaveRefused(running, verdict.refusal);
        }
    }
}

HttpResponse EgressForwarder::leaveRefused(const Running &running, const Refusal &refusal)
{
    HttpResponse response = makeProblem(refusal, running.rootId);
    auto lock = m_lock.acquire();
    m_node.endRequest(running.id, {response.status, {}, {}}, refusal);
    return response;
}

HttpResponse EgressForwarder::leaveAnswered(const Running &running, CallReply reply)
{
    StoredAnswer answer{reply.status, std::move(reply.headers), std::move(reply.body)};
    auto lock = m_lock.acquire();
    m_node.endRequest(running.id, answer, {});
    lock.unlock();
    return toResponse(std::move(answer), running.rootId);
}

} // namespace vanillatack
