#pragma once

#include "base/error.h"
#include "base/memorybudget.h"
#include "http/http.h"
#include "transport/socket.h"

#include <memory>

namespace vanillatack {

/// Outcome of a request to an upstream.
struct UpstreamAnswer {
    bool complete = false; ///< A complete response was received.
    bool sentAnything = false; ///< A byte of the request may have reached the upstream.
    bool cancelled = false; ///< The peer of cancelSocket hung up.
    bool timedOut = false;
    HttpResponse response; ///< Set when complete.
};

/// HTTP client for the local instance, with a pool of keep-alive connections. Thread-safe.
class IUpstreamClient
{
public:
    virtual ~IUpstreamClient() = default;

    /// Sends the request and waits for the complete response. When the deadline passes or the peer of cancelSocket
    /// hangs up, closes the connection, which cancels the request at the upstream. Never sends a request twice.
    virtual UpstreamAnswer
    send(const Endpoint &upstream, const HttpRequest &request, TimePoint deadline, int cancelSocket) = 0;
};

struct UpstreamClientSettings {
    Duration connectTimeout = std::chrono::milliseconds(1000);
    /// Maximum idle time. Must be shorter than the keep-alive timeout of the upstreams.
    Duration idleLifetime = std::chrono::seconds(4);
    std::size_t maxIdle = 512; ///< Idle connections kept per upstream.
    std::size_t maxBodyBytes = std::size_t{16} << 20; ///< Larger responses count as incomplete.
    /// Charged with responses. One that does not fit counts as incomplete. If null, the client has its own.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

std::unique_ptr<IUpstreamClient> makeUpstreamClient(const UpstreamClientSettings &settings);

} // namespace vanillatack
