#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace vanillatack {

/// The one thread on which a node serves all its connections and makes all its decisions.
class EventLoop
{
public:
    using TimerId = std::uint64_t;

    EventLoop();

    /// Calls the function once, after the delay, on the loop's thread.
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

/// Asio's form of an endpoint. Addresses that cannot be read become 0.0.0.0.
boost::asio::ip::tcp::endpoint toTcp(const struct Endpoint &endpoint);

/// Time-outs of the kernel for a connection whose peer has vanished.
void setDeadPeerDetection(boost::asio::ip::tcp::socket &socket, Duration timeout);

} // namespace vanillatack
