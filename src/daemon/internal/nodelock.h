#pragma once

#include "node/inode.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace vanillatack {

/// Mutex that must be held for every call of INode. Also wakes the threads that wait for a decision of the node.
class NodeLock : public INodeListener
{
public:
    std::unique_lock<std::mutex> acquire();

    /// Waits until the ticket is admitted or refused, or until the given time. The lock must be held; it is released
    /// while waiting.
    void waitForTicket(std::unique_lock<std::mutex> &lock, TicketId ticket, TimePoint until);

    /// Waits until tokens of the workspace arrive, or until the given time. The lock must be held; it is released while
    /// waiting.
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
