#include "daemon/internal/nodelock.h"

namespace vanillatack {

std::unique_lock<std::mutex> NodeLock::acquire()
{
    return std::unique_lock(m_mutex);
}

void NodeLock::waitForTicket(std::unique_lock<std::mutex> &lock, TicketId ticket, TimePoint until)
{
    Waiter waiter;
    m_tickets[ticket] = &waiter;
    waiter.wake.wait_until(lock, until, [&waiter] {
        return waiter.done;
    });
    m_tickets.erase(ticket);
}

void NodeLock::waitForTokens(std::unique_lock<std::mutex> &lock, const WorkspaceName &workspace, TimePoint until)
{
    Waiter waiter;
    const auto entry = m_tokens.emplace(workspace, &waiter);
    waiter.wake.wait_until(lock, until, [&waiter] {
        return waiter.done;
    });
    m_tokens.erase(entry);
}

void NodeLock::onTicketDecided(TicketId ticket)
{
    const auto entry = m_tickets.find(ticket);
    if (entry != m_tickets.end()) {
        entry->second->done = true;
        entry->second->wake.notify_one();
    }
}

void NodeLock::onTokensAvailable(const WorkspaceName &workspace)
{
    const auto [first, last] = m_tokens.equal_range(workspace);
    for (auto entry = first; entry != last; ++entry) {
        entry->second->done = true;
        entry->second->wake.notify_one();
    }
}

} // namespace vanillatack
