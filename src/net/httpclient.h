#pragma once

#include "base/memorybudget.h"
#include "http/http.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>

namespace vanillatack {

using ClientCallId = NumericId<struct ClientCallTag>;

enum class ClientOutcome {
    Complete, ///< A complete response was received.
    NotSent, ///< The connection could not be opened; no byte reached the server.
    Broken, ///< The connection was closed early or the response is malformed. The request may have run.
    TimedOut, ///< The timeout expired. The request may have run if sentAnything is set.
};

struct ClientResult {
    ClientOutcome outcome = ClientOutcome::NotSent;
    bool sentAnything = false; ///< A byte of the request may have reached the server.
    HttpResponse response; ///< Valid if the outcome is Complete.
};

using ClientCompletion = std::function<void(ClientResult)>;

struct HttpClientSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    /// Maximum idle time; a shorter timeout in the server's Keep-Alive header, less 1 s, takes precedence.
    Duration idleLifetime = std::chrono::seconds(8);
    std::size_t maxBodyBytes = std::size_t{64} << 20; ///< Longer responses end as Broken.
    /// Charged with the heads of requests and with responses. A response of known length for which there is no room
    /// waits unread; one of unknown length that outgrows it ends as Broken. If null, the client has one of its own.
    std::shared_ptr<MemoryBudget> memory = nullptr;
    MemoryOwner owner = MemoryOwner::Instance; ///< Whom the memory is held for.
    std::size_t maxIdle = 256; ///< Idle connections kept per server.
};

/// A header that the server repeats in its response. Responses with another value belong to an earlier request; the
/// client discards them and waits for the matching one. Responses without the header are accepted.
struct EchoedHeader {
    std::string name; ///< If empty, any response is accepted.
    std::string value;
};

/// Event-driven HTTP/1.1 client with persistent connections. Never retries a request.
class IHttpClient
{
public:
    virtual ~IHttpClient() = default;

    /// The completion is called once on the loop's thread, after send() has returned, unless the call is cancelled.
    virtual ClientCallId send(const Endpoint &server,
                              const HttpRequest &request,
                              Duration timeout,
                              const EchoedHeader &echoed,
                              ClientCompletion completion) = 0;

    /// Closes the connection of a call, which signals the server to stop. Unknown calls are ignored.
    virtual void cancel(ClientCallId call) = 0;

    /// Closes the idle connections to the server.
    virtual void closeIdle(const Endpoint &server) = 0;

    /// Closes the idle connections to the server, and ends as Broken the calls that were sent before the given time and
    /// on whose connection nothing was received since. To be used when a call was not answered: what silenced its
    /// connection may have silenced these too.
    virtual void closeSilent(const Endpoint &server, TimePoint since) = 0;

    /// Number of connection attempts so far.
    [[nodiscard]] virtual std::uint64_t connectionsOpened() const = 0;
};

std::unique_ptr<IHttpClient> makeHttpClient(EventLoop &loop, const HttpClientSettings &settings);

} // namespace vanillatack
