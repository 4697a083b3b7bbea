#include "net/eventloop.h"

#include "model/ids.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillatack {

EventLoop::EventLoop()
    : m_context(1)
{
}

EventLoop::TimerId EventLoop::callAfter(Duration delay, std::function<void()> function)
{
    const TimerId id = ++m_lastTimer;
    auto [entry, inserted] = m_timers.emplace(id, m_context);
    entry->second.expires_after(delay);
    entry->second.async_wait([this, id, function = std::move(function)](const boost::system::error_code &error) {
        // Asio reports success for a timer that was cancelled after it had expired.
        if (m_timers.erase(id) == 1 && !error) {
            function();
        }
    });
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    m_timers.erase(timer);
}

void EventLoop::run()
{
    m_context.run();
}

void EventLoop::stop()
{
    m_context.stop();
}

boost::asio::ip::tcp::endpoint toTcpEndpoint(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(endpoint.address, error);
    return {error ? boost::asio::ip::address_v4::any() : address, endpoint.port};
}

void setTcpUserTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout)
{
    const auto milliseconds =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    // Fails only on closed sockets; their next operation reports the error.
    (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

} // namespace vanillatack
