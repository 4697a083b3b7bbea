#pragma once

#include "daemon/internal/nodelock.h"
#include "transport/upstreamclient.h"

namespace vanillatack {

/// Forwards calls of other nodes to the local instance once the node has admitted them.
class IngressForwarder
{
public:
    IngressForwarder(IClock &clock, NodeLock &lock, INode &node, IUpstreamClient &upstream);

    /// Blocks until the upstream has answered, the call is refused, or the calling node hangs up.
    CallReply run(const CallRequest &request, int peerSocket);

private:
    /// Waits for a queued ticket. Returns the refusal, or nullopt when the ticket was admitted.
    std::optional<CallReply> waitForAdmission(std::unique_lock<std::mutex> &lock, TicketId ticket, int peerSocket);

    IClock &m_clock;
    NodeLock &m_lock;
    INode &m_node;
    IUpstreamClient &m_upstream;
};

} // namespace vanillatack
