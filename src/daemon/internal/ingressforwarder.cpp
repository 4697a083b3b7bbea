#include "daemon/internal/ingressforwarder.h"

#include <absl/strings/match.h>

namespace vanillatack {

namespace {

/// Interval at which a queued call checks whether its caller has hung up.
constexpr std::chrono::milliseconds HangUpCheckInterval{50};

HttpRequest toUpstreamRequest(const CallRequest &call, const UpstreamCall &upstreamCall, TimePoint now)
{
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(upstreamCall.deadline - now).count();
    HttpRequest request{call.method, call.target, call.headers, call.body};
    request.headers.emplace_back("Vanillatack-Request", upstreamCall.token);
    request.headers.emplace_back("Vanillatack-Deadline-Ms", std::to_string(remainingMs));
    request.headers.emplace_back("Vanillatack-Workspace", upstreamCall.workspace.value);
    return request;
}

HeaderList returnedHeaders(const HeaderList &headers)
{
    HeaderList returned;
    for (const auto &header : headers) {
        if (!absl::StartsWithIgnoreCase(header.first, "vanillatack-")) {
            returned.push_back(header);
        }
    }
    return returned;
}

} // namespace

IngressForwarder::IngressForwarder(IClock &clock, NodeLock &lock, INode &node, IUpstreamClient &upstream)
    : m_clock(clock)
    , m_lock(lock)
    , m_node(node)
    , m_upstream(upstream)
{
}

CallReply IngressForwarder::run(const CallRequest &request, int peerSocket)
{
    auto lock = m_lock.acquire();
    IngressDecision decision = m_node.offer(request);
    if (decision.outcome == AdmissionOutcome::Refused) {
        return std::move(decision.refusal);
    }
    if (decision.outcome == AdmissionOutcome::Queued) {
        if (auto refusal = waitForAdmission(lock, decision.ticket, peerSocket)) {
            return std::move(*refusal);
        }
    }
    const UpstreamCall upstreamCall = m_node.start(decision.ticket);
    lock.unlock();
    UpstreamAnswer answer = m_upstream.send(upstreamCall.upstream,
                                            toUpstreamRequest(request, upstreamCall, m_clock.now()),
                                            upstreamCall.deadline,
                                            peerSocket);
    lock.lock();
    CallReply reply = m_node.finish(
        decision.ticket,
        {answer.complete, answer.sentAnything, answer.cancelled, answer.timedOut, answer.response.status});
    lock.unlock();
    reply.headers = returnedHeaders(answer.response.headers);
    reply.body = std::move(answer.response.body);
    return reply;
}

std::optional<CallReply>
IngressForwarder::waitForAdmission(std::unique_lock<std::mutex> &lock, TicketId ticket, int peerSocket)
{
    while (!m_node.isAdmitted(ticket)) {
        if (auto refusal = m_node.ticketRefusal(ticket)) {
            return refusal;
        }
        if (isHungUp(peerSocket)) {
            m_node.cancelTicket(ticket);
            CallReply reply;
            reply.refusal = RefusalKind::Cancelled;
            reply.runState = RunState::NotRun;
            return reply;
        }
        m_lock.waitForTicket(lock, ticket, m_clock.now() + HangUpCheckInterval);
    }
    return std::nullopt;
}

} // namespace vanillatack
