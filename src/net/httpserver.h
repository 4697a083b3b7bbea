#pragma once

#include "base/error.h"
#include "base/memorybudget.h"
#include "http/http.h"
#include "net/eventloop.h"

#include <memory>

namespace vanillatack {

/// A request of a caller and its response. Valid until the response is given or the exchange is abandoned.
using ExchangeId = NumericId<struct ExchangeTag>;

struct HttpServerLimits {
    std::size_t headBytes = 16384; ///< Request line and headers; larger ones are answered with 431.
    std::size_t bodyBytes = std::size_t{64} << 20; ///< Larger bodies are answered with 413.
    /// Above this number the longest idle connections are closed, and then those that have waited longest for a
    /// complete request.
    std::size_t connections = 3000;
    /// The time limit for receiving a request, head and body, is headTimeout + idleTimeout from its first byte.
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15); ///< Maximum time between two requests of a connection.
};

/// Receives the requests of a server. Called on the loop's thread.
class IHttpListener
{
public:
    virtual ~IHttpListener() = default;

    /// Receives a complete request. Answer it with IHttpServer::respond(), during the call or later.
    virtual void onRequest(ExchangeId exchange, HttpRequest request, const std::string &peerAddress) = 0;

    /// The connection was closed before the response was given. Neither this exchange nor another one of the connection
    /// is valid any more; responses to them are ignored. Never called from within IHttpServer::respond().
    virtual void onExchangeAbandoned(ExchangeId exchange) = 0;
};

/// Event-driven HTTP/1.1 server of vanillatack-sidecar; vanillatackd uses IThreadedHttpServer. Requests are read
/// completely; pipelined requests are processed concurrently and answered in order. All bytes that are held for callers
/// are charged to the memory budget: connections, heads, bodies, responses and the kernel's buffers. A request for
/// which there is no room is answered with 503, before its body is read if its length is known. When there is
/// no room, callers that do not get on with sending a request or reading a response are cut off.
class IHttpServer
{
public:
    virtual ~IHttpServer() = default;

    /// Errors: Unavailable when the address cannot be bound.
    virtual Result<void> listen(const Endpoint &endpoint) = 0;

    /// Sends the response of an exchange. Abandoned exchanges are ignored.
    virtual void respond(ExchangeId exchange, HttpResponse response) = 0;

    virtual void setLimits(const HttpServerLimits &limits) = 0;

    /// From now on closes each connection after its received requests are answered; the last response has
    /// "Connection: close". Idle connections stay open until their next request or their timeout.
    virtual void startDraining() = 0;

    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// Whether a received request has no response yet, or bytes of a response have not been taken by the caller's
    /// connection.
    [[nodiscard]] virtual bool hasUnsentResponses() const = 0;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

/// The loop and the listener must outlive the server. Without a memory budget the server has one of its own.
std::unique_ptr<IHttpServer>
makeHttpServer(EventLoop &loop, IHttpListener &listener, std::shared_ptr<MemoryBudget> memory = nullptr);

/// Reason phrase of a status code.
std::string_view reasonPhrase(int status);

} // namespace vanillatack
