#include "transport/internal/idleconnections.h"

#include <sys/socket.h>

#include <algorithm>

namespace vanillatack {

bool IdleConnections::add(int socket)
{
    const std::lock_guard lock(m_mutex);
    if (!m_closed) {
        m_since[socket] = std::chrono::steady_clock::now();
    }
    return !m_closed;
}

void IdleConnections::remove(int socket)
{
    const std::lock_guard lock(m_mutex);
    m_since.erase(socket);
}

void IdleConnections::closeOldest()
{
    const std::lock_guard lock(m_mutex);
    const auto oldest = std::min_element(m_since.begin(), m_since.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    if (oldest != m_since.end()) {
        ::shutdown(oldest->first, SHUT_RD);
        m_since.erase(oldest);
    }
}

void IdleConnections::closeAll()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    for (const auto &[socket, since] : m_since) {
        // Received bytes stay readable, so that a request that is already in the socket buffer is not lost.
        ::shutdown(socket, SHUT_RD);
    }
    m_since.clear();
}

} // namespace vanillatack
