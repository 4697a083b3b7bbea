#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace vanillatack {

/// Event loop of a node. Serves all connections and makes all decisions on the one thread that calls run().
class EventLoop
{
public:
    using TimerId = std::uint64_t;

    EventLoop();

    /// Calls the function once on the loop's thread after the delay.
    TimerId callAfter(Duration delay, std::function<void()> function);

    /// Unknown timers are ignored.
    void cancel(TimerId timer);

    void run();
    void stop();

    [[nodiscard]] boost::asio::io_context &context()
    {
        return m_context;
    }

private:
    boost::asio::io_context m_context;
    std::map<TimerId, boost::asio::steady_timer> m_timers;
    TimerId m_lastTimer = 0;
};

/// Converts an endpoint to Asio's type. Invalid addresses become 0.0.0.0.
boost::asio::ip::tcp::endpoint toTcpEndpoint(const struct Endpoint &endpoint);

/// Sets TCP_USER_TIMEOUT: the kernel closes the connection when sent bytes stay unacknowledged for this time.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

} // namespace vanillatack
