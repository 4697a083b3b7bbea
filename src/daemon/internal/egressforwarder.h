#pragma once

#include "daemon/internal/nodelock.h"
#include "http/http.h"
#include "transport/threadedpeerlink.h"

#include <optional>

namespace vanillatack {

/// Forwards root requests and inner calls as the node decides: admission, claim, attempts and the final response.
class EgressForwarder
{
public:
    EgressForwarder(IClock &clock, NodeLock &lock, INode &node, IThreadedPeerLink &link);

    /// Blocks until the complete response has been received, the request is refused, or the caller hangs up.
    HttpResponse run(const HttpRequest &request, const EgressRequest &egressRequest, int callerSocket);

private:
    struct ActiveRequest {
        RequestId id;
        std::string rootId;
        TimePoint deadline;
    };

    /// Has the node admit the request. Returns the response that ends it, or nullopt when it was admitted.
    std::optional<HttpResponse> begin(const EgressRequest &egressRequest, ActiveRequest &active, bool &needsClaim);

    /// Claims a non-idempotent operation. Returns the response that ends the request, or nullopt when the claim was
    /// acquired.
    std::optional<HttpResponse> claim(const HttpRequest &request, const ActiveRequest &active);

    /// Makes attempts until one is answered or the request is refused.
    HttpResponse runAttempts(const HttpRequest &request, const ActiveRequest &active, int callerSocket);
    HttpResponse endRefused(const ActiveRequest &active, const Refusal &refusal);
    HttpResponse endAnswered(const ActiveRequest &active, CallReply reply);

    IClock &m_clock;
    NodeLock &m_lock;
    INode &m_node;
    IThreadedPeerLink &m_link;
};

} // namespace vanillatack
