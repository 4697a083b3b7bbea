#include "standin/internal/restartablehttpserver.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr std::size_t MaxRequestsPerConnection = 1'000'000;
// stop() waits this long for idle connections. Longer than the polling interval of a node.
constexpr time_t KeepAliveTimeoutSeconds = 2;
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;

} // namespace

RestartableHttpServer::RestartableHttpServer(std::string address, int port, int threads, Setup setup)
    : m_address(std::move(address))
    , m_port(port)
    , m_threads(threads)
    , m_setup(std::move(setup))
{
}

RestartableHttpServer::~RestartableHttpServer()
{
    stop();
}

Result<void> RestartableHttpServer::start()
{
    if (m_server) {
        return success();
    }
    auto server = std::make_unique<httplib::Server>();
    server->new_task_queue = [threads = m_threads] {
        return new httplib::ThreadPool(static_cast<std::size_t>(threads));
    };
    server->set_keep_alive_max_count(MaxRequestsPerConnection);
    server->set_keep_alive_timeout(KeepAliveTimeoutSeconds);
    server->set_payload_max_length(MaxBodyBytes);
    server->set_tcp_nodelay(true);
    m_setup(*server);
    if (m_port == 0) {
        m_port = server->bind_to_any_port(m_address);
    } else if (!server->bind_to_port(m_address, m_port)) {
        return makeError(ErrorKind::Unavailable,
                         "Port " + std::to_string(m_port) + " of " + m_address + " cannot be bound.",
                         "Choose a free port or stop the process that uses it.");
    }
    m_server = std::move(server);
    m_thread = std::thread([this] {
        m_server->listen_after_bind();
    });
    // stop() has no effect on a server that does not listen yet.
    while (!m_server->is_running()) {
        std::this_thread::yield();
    }
    return success();
}

void RestartableHttpServer::stop()
{
    if (!m_server) {
        return;
    }
    m_server->stop();
    m_thread.join();
    m_server.reset();
}

} // namespace vanillatack
