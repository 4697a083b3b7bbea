#pragma once

#include "http/http.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>

namespace vanillatack {

using ClientCallId = NumericId<struct ClientCallTag>;

/// How a request of the client ended.
enum class ClientOutcome {
    Complete, ///< A whole response.
    NotSent, ///< No connection; no byte can have reached the server.
    Broken, ///< The connection ended, or sent bytes that are no response. The request may have run.
    TimedOut, ///< The deadline passed. The request may have run when anything was sent.
};

struct ClientResult {
    ClientOutcome outcome = ClientOutcome::NotSent;
    bool sentAnything = false; ///< A byte of the request may have reached the server.
    HttpResponse response; ///< Valid when complete.
};

using ClientCompletion = std::function<void(ClientResult)>;

struct HttpClientSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleLifetime = std::chrono::seconds(8); ///< Unless the server names a shorter one.
    std::size_t maxBodyBytes = std::size_t{64} << 20; ///< A longer response counts as broken.
    std::size_t maxIdle = 256; ///< Connections kept for each server.
};

/// A header that the server repeats in its answer. Answers with another value belong to an earlier request; they are
/// dropped, and the right one is waited for.
struct EchoedHeader {
    std::string name; ///< Empty: any answer is taken.
    std::string value;
};

/// Event-driven HTTP/1.1 client with kept connections. Never sends a request twice.
class IHttpClient
{
public:
    virtual ~IHttpClient() = default;

    /// The completion is called once, later, on the loop's thread, unless the call is cancelled.
    virtual ClientCallId send(const Endpoint &server,
                              const HttpRequest &request,
                              Duration timeout,
                              const EchoedHeader &echoed,
                              ClientCompletion completion) = 0;

    /// Closes the connection of a call, which tells the server to stop. Unknown calls are ignored.
    virtual void cancel(ClientCallId call) = 0;

    /// Closes kept connections to the server.
    virtual void closeIdle(const Endpoint &server) = 0;

    /// Connections opened so far.
    [[nodiscard]] virtual std::uint64_t connectionsOpened() const = 0;
};

std::unique_ptr<IHttpClient> makeHttpClient(EventLoop &loop, const HttpClientSettings &settings);

} // namespace vanillatack
