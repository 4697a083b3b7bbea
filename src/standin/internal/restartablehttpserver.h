#pragma once

#include "base/error.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <thread>

namespace vanillatack {

/// HTTP server that runs in its own thread and can be restarted on the same port.
class RestartableHttpServer
{
public:
    using Setup = std::function<void(httplib::Server &)>;

    RestartableHttpServer(std::string address, int port, int threads, Setup setup);
    ~RestartableHttpServer();

    RestartableHttpServer(const RestartableHttpServer &) = delete;
    RestartableHttpServer &operator=(const RestartableHttpServer &) = delete;

    /// Errors: Unavailable when the port cannot be bound.
    Result<void> start();
    void stop();

    [[nodiscard]] int port() const
    {
        return m_port;
    }

private:
    std::string m_address;
    int m_port;
    int m_threads;
    Setup m_setup;
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
};

} // namespace vanillatack
