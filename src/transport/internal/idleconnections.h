#pragma once

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <mutex>

namespace vanillatack {

/// Connections that wait for their next request, so that they can be closed when threads run short or at shutdown.
class IdleConnections
{
public:
    /// False after closeAll(): the connection must end instead of waiting.
    bool enter(int socket);
    void leave(int socket);

    /// Ends the connection that has waited longest.
    void closeOldest();

    /// Ends all waiting connections and refuses new ones. Requests that have arrived already are still served.
    void closeAll();

private:
    std::mutex m_mutex;
    std::map<int, TimePoint> m_since;
    bool m_closed = false;
};

} // namespace vanillatack
