#pragma once

#include "node/inode.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace vanillatack {

/// The one lock under which a node's decisions run, with the threads that wait for them.
class NodeLock : public INodeListener
{
public:
    /// Held while the node is called.
    std::unique_lock<std::mutex> acquire();

    /// Waits until the ticket was admitted or refused, or until the time. The lock must be held.
    void waitForTicket(std::unique_lock<std::mutex> &lock, TicketId ticket, TimePoint until);

    /// Waits until tokens of the workspace arrived, or until the time. The lock must be held.
    void waitForTokens(std::unique_lock<std::mutex> &lock, const WorkspaceName &workspace, TimePoint until);

    void onTicketDecided(TicketId ticket) override;
    void onTokensAvailable(const WorkspaceName &workspace) override;

private:
    struct Waiter {
        std::condition_variable wake;
        bool done = false;
    };

    std::mutex m_mutex;
    std::map<TicketId, Waiter *> m_tickets;
    std::multimap<WorkspaceName, Waiter *> m_tokens;
};

} // namespace vanillatack
