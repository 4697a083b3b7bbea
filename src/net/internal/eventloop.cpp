#include "net/eventloop.h"

#include "base/log.h"
#include "model/ids.h"

#include <absl/cleanup/cleanup.h>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <exception>
#include <vector>

namespace vanillatack {

namespace {

constexpr Log EventLoopLog("loop");

} // namespace

EventLoop::EventLoop()
    : m_context(1)
{
}

EventLoop::TimerId EventLoop::callAfter(Duration delay, std::function<void()> function)
{
    const TimerId id = ++m_lastTimer;
    const Expiry expiry = std::chrono::steady_clock::now() + delay;
    m_timers.emplace(std::pair(expiry, id), std::move(function));
    m_expiries.emplace(id, expiry);
    if (expiry < m_armedFor) {
        arm();
    }
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto expiry = m_expiries.extract(timer);
    if (!expiry.empty()) {
        m_timers.erase({expiry.mapped(), timer});
    }
}

/// Waits for the earliest expiry.
void EventLoop::arm()
{
    m_armedFor = m_timers.begin()->first.first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this, wait = ++m_lastWait](const boost::system::error_code & /*error*/) {
        // Asio also calls the handler of a wait that was replaced.
        if (wait == m_lastWait) {
            callExpired();
        }
    });
}

void EventLoop::callExpired()
{
    m_armedFor = Expiry::max();
    const Expiry now = std::chrono::steady_clock::now();
    // The functions may start and cancel timers.
    std::vector<TimerId> expired;
    for (auto timer = m_timers.begin(); timer != m_timers.end() && timer->first.first <= now; ++timer) {
        expired.push_back(timer->first.second);
    }
    const absl::Cleanup armNext = [this] {
        if (!m_timers.empty() && m_timers.begin()->first.first < m_armedFor) {
            arm();
        }
    };
    for (const TimerId id : expired) {
        const auto expiry = m_expiries.extract(id);
        if (!expiry.empty()) {
            const auto timer = m_timers.extract({expiry.mapped(), id});
            timer.mapped()();
        }
    }
}

void EventLoop::run()
{
    while (true) {
        try {
            m_context.run();
            return;
        } catch (const std::exception &exception) {
            // Ends only the handler that threw. Ending the process would cut the requests of all callers.
            EventLoopLog.error("A handler of the event loop has failed; the loop goes on. Report this as a fault of "
                               "the program.",
                               {{"error", exception.what()}});
        }
    }
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

void watchForReadsOnly(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    const auto descriptor = socket.release(error);
    if (!error) {
        socket.assign(boost::asio::ip::tcp::v4(), descriptor, error);
    }
    if (error) {
        EventLoopLog.warning("Cannot register a connection with the event loop; it is closed.",
                             {{"error", error.message()}});
        (void)::close(descriptor);
    }
}

void setTcpUserTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout)
{
    const auto milliseconds =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    // Fails only on closed sockets; their next operation reports the error.
    (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

} // namespace vanillatack
