#pragma once

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <mutex>

namespace vanillatack {

/// Set of the connections that wait for their next request, so that they can be closed when the thread limit is reached
/// or at shutdown.
class IdleConnections
{
public:
    /// Adds a connection that starts to wait. False after closeAll(): the connection must be closed instead.
    bool add(int socket);
    void remove(int socket);

    /// Shuts down reading on the connection that has been idle longest, so that its thread closes it.
    void closeOldest();

    /// Shuts down reading on all idle connections, so that their threads close them, and rejects further ones. Requests
    /// that were received before are still served.
    void closeAll();

private:
    std::mutex m_mutex;
    std::map<int, TimePoint> m_since;
    bool m_closed = false;
};

} // namespace vanillatack
