#pragma once

#include "base/error.h"
#include "base/memorybudget.h"
#include "http/http.h"

#include <memory>

namespace vanillatack {

struct ThreadedHttpServerSettings {
    Endpoint listen;
    std::size_t maxConnections = 2000;
    std::size_t maxHeadBytes = std::size_t{32} << 10; ///< Request line and headers; larger ones get 431.
    std::size_t maxBodyBytes = std::size_t{1} << 20; ///< Larger bodies get 413.
    Duration idleTimeout = std::chrono::seconds(60); ///< Maximum time between two requests.
    /// Time limit for receiving a request, and for sending a response.
    Duration messageTimeout = std::chrono::seconds(10);
    /// Charged with bodies. A request whose body does not fit gets 503, as not run. If null, the server has its own.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

/// HTTP/1.1 server on top of cpp-httplib, with one thread per connection. Used by vanillatackd; vanillatack-sidecar
/// uses the event-driven IHttpServer.
class IThreadedHttpServer
{
public:
    virtual ~IThreadedHttpServer() = default;

    /// Starts accepting connections. Errors: Unavailable when the address cannot be bound.
    virtual Result<void> start() = 0;

    /// Makes every further response close its connection, so that callers move to other nodes.
    virtual void startDraining() = 0;

    /// Stops accepting, closes idle connections, and waits until running requests and all threads have ended.
    virtual void stop() = 0;

    /// Listening port; assigned by the kernel when the configured port is 0.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    [[nodiscard]] virtual std::size_t connections() const = 0;
};

/// The handler must outlive the server.
std::unique_ptr<IThreadedHttpServer> makeThreadedHttpServer(const ThreadedHttpServerSettings &settings,
                                                            IHttpHandler &handler);

} // namespace vanillatack
