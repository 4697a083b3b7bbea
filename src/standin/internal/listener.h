#pragma once

#include "base/error.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <thread>

namespace vanillatack {

/// An HTTP server with its thread. Can be stopped and started again on the same port.
class Listener
{
public:
    using Setup = std::function<void(httplib::Server &)>;

    Listener(std::string address, int port, int threads, Setup setup);
    ~Listener();

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

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
