#pragma once

#include "daemon/internal/nodelock.h"
#include "transport/upstreamclient.h"

namespace vanillatack {

/// Runs the calls of other nodes at the own upstream, as the node admits them.
class IngressForwarder
{
public:
    IngressForwarder(IClock &clock, NodeLock &lock, INode &node, IUpstreamClient &upstream);

    /// Blocks until the upstream answered, the call is refused, or the calling node hangs up.
    CallReply run(const CallRequest &request, int peerSocket);

private:
    /// The refusal, or nullopt when the ticket was admitted.
    std::optional<CallReply> waitForAdmission(std::unique_lock<std::mutex> &lock, TicketId ticket, int peerSocket);

    IClock &m_clock;
    NodeLock &m_lock;
    INode &m_node;
    IUpstreamClient &m_upstream;
};

} // namespace vanillatack
