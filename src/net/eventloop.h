#pragma once

#include "base/clock.h"

#include <absl/container/flat_hash_map.h>
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

    /// Runs until stop(). An exception that leaves a handler is logged and ends only this handler.
    void run();
    void stop();

    [[nodiscard]] boost::asio::io_context &context()
    {
        return m_context;
    }

private:
    using Expiry = std::chrono::steady_clock::time_point;

    void arm();
    void callExpired();

    boost::asio::io_context m_context;
    /// The one timer of the context, for the earliest expiry. A context timer for each call would cost a system call to
    /// start it and a further turn of the loop to cancel it, and most timers are cancelled.
    boost::asio::steady_timer m_timer{m_context};
    Expiry m_armedFor = Expiry::max(); ///< When m_timer expires; max() while it is not waited for.
    std::uint64_t m_lastWait = 0; ///< Number of waits for m_timer so far; earlier ones were replaced.
    std::map<std::pair<Expiry, TimerId>, std::function<void()>> m_timers; ///< By expiry.
    absl::flat_hash_map<TimerId, Expiry> m_expiries;
    TimerId m_lastTimer = 0;
};

/// Converts an endpoint to Asio's type. Invalid addresses become 0.0.0.0.
boost::asio::ip::tcp::endpoint toTcpEndpoint(const struct Endpoint &endpoint);

/// Registers a connected socket anew with the event loop. After async_connect() the loop reports not only received
/// bytes but also that the socket accepts bytes again, which wakes the thread once more for each read.
void watchForReadsOnly(boost::asio::ip::tcp::socket &socket);

/// Sets TCP_USER_TIMEOUT: the kernel closes the connection when sent bytes stay unacknowledged for this time.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

} // namespace vanillatack
