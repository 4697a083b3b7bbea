#pragma once

#include "daemon/internal/nodelock.h"
#include "http/http.h"
#include "transport/threadedpeerlink.h"

#include <optional>

namespace vanillatack {

/// Runs the requests of outside callers and of the own upstream: asks the node what to do and does it.
class EgressForwarder
{
public:
    EgressForwarder(IClock &clock, NodeLock &lock, INode &node, IThreadedPeerLink &link);

    /// Blocks until the whole answer is there, the request is refused, or the caller hangs up.
    HttpResponse run(const HttpRequest &request, const EgressRequest &entry, int callerSocket);

private:
    struct Running {
        RequestId id;
        std::string rootId;
        TimePoint deadline;
    };

    /// A response that ends the request early, or nullopt to go on.
    std::optional<HttpResponse> enter(const EgressRequest &entry, Running &running, bool &needsClaim);
    std::optional<HttpResponse> claim(const HttpRequest &request, const Running &running);
    HttpResponse attempt(const HttpRequest &request, const Running &running, int callerSocket);
    HttpResponse leaveRefused(const Running &running, const Refusal &refusal);
    HttpResponse leaveAnswered(const Running &running, CallReply reply);

    IClock &m_clock;
    NodeLock &m_lock;
    INode &m_node;
    IThreadedPeerLink &m_link;
};

} // namespace vanillatack
