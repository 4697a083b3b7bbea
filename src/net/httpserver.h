#pragma once

#include "base/error.h"
#include "http/http.h"
#include "net/eventloop.h"

#include <memory>

namespace vanillatack {

/// One request of a caller's connection until it is answered.
using ExchangeId = NumericId<struct ExchangeTag>;

struct HttpServerLimits {
    std::size_t headBytes = 16384; ///< Request line and headers; more is answered with 431.
    std::size_t bodyBytes = std::size_t{64} << 20; ///< More is answered with 413.
    /// Above this the longest idle ones are closed for new ones. Leaves a quarter of the 4,100 descriptors of a small
    /// VM.
    std::size_t connections = 3000;
    std::size_t memoryBytes = std::size_t{96} << 20; ///< Held for all callers together; more is refused with 503.
    Duration headTimeout = std::chrono::seconds(3); ///< To receive a request once its first byte has come.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between two requests of a connection.
};

/// Takes the requests of a server. Called on the loop's thread.
class IHttpListener
{
public:
    virtual ~IHttpListener() = default;

    /// A whole request. It is answered by IHttpServer::respond(), at once or later.
    virtual void onRequest(ExchangeId exchange, HttpRequest request, const std::string &peerAddress) = 0;

    /// The caller has closed its connection before the answer. The exchange is over.
    virtual void onExchangeAbandoned(ExchangeId exchange) = 0;
};

/// Event-driven HTTP/1.1 server. Requests are read whole; pipelined ones are handled at the same time and answered in
/// their order.
class IHttpServer
{
public:
    virtual ~IHttpServer() = default;

    /// Errors: Unavailable when the address cannot be bound.
    virtual Result<void> listen(const Endpoint &endpoint) = 0;

    /// Answers an exchange. Exchanges whose caller has gone are ignored.
    virtual void respond(ExchangeId exchange, HttpResponse response) = 0;

    virtual void setLimits(const HttpServerLimits &limits) = 0;

    /// From now on each response asks the caller to close its connection.
    virtual void startDraining() = 0;

    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// Bytes of requests and answers that are held for callers.
    [[nodiscard]] virtual std::size_t bytesHeld() const = 0;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

/// The loop and the listener must outlive the server.
std::unique_ptr<IHttpServer> makeHttpServer(EventLoop &loop, IHttpListener &listener);

/// The status line's text for a status code.
std::string_view reasonPhrase(int status);

} // namespace vanillatack
