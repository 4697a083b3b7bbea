#pragma once

#include "base/error.h"
#include "http/http.h"

#include <memory>

namespace vanillatack {

struct ThreadedHttpServerSettings {
    Endpoint listen;
    std::size_t maxConnections = 2000;
    std::size_t maxHeadBytes = std::size_t{32} << 10; ///< Request line and headers; more is answered with 431.
    std::size_t maxBodyBytes = std::size_t{1} << 20; ///< More is answered with 413.
    Duration idleTimeout = std::chrono::seconds(60); ///< Between two requests of a connection.
    Duration messageTimeout = std::chrono::seconds(10); ///< To receive one request or send one response.
};

/// An HTTP/1.1 server over cpp-httplib with one thread per connection.
class IThreadedHttpServer
{
public:
    virtual ~IThreadedHttpServer() = default;

    /// Starts to accept connections. Errors: Unavailable when the address cannot be bound.
    virtual Result<void> start() = 0;

    /// From now on every response closes its connection, so that callers move to other nodes.
    virtual void startDraining() = 0;

    /// Stops accepting, lets running requests finish, closes idle connections and joins all threads.
    virtual void stop() = 0;

    /// The port that is listened at; differs from the setting when that is 0.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    [[nodiscard]] virtual std::size_t connections() const = 0;
};

/// The handler must outlive the server.
std::unique_ptr<IThreadedHttpServer> makeThreadedHttpServer(const ThreadedHttpServerSettings &settings,
                                                            IHttpHandler &handler);

} // namespace vanillatack
