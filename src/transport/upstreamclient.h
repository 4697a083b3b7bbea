#pragma once

#include "base/error.h"
#include "http/http.h"
#include "transport/socket.h"

#include <memory>

namespace vanillatack {

/// How a request to an upstream ended.
struct UpstreamAnswer {
    bool complete = false; ///< The whole response arrived.
    bool sentAnything = false; ///< A byte of the request may have reached the upstream.
    bool cancelled = false; ///< The peer of the cancel socket went away.
    bool timedOut = false;
    HttpResponse response; ///< Valid when complete.
};

/// HTTP client for the upstream on this VM, with a pool of keep-alive connections. Thread-safe.
class IUpstreamClient
{
public:
    virtual ~IUpstreamClient() = default;

    /// Sends the request and waits for the whole response. Closes the connection, which cancels the work, when the
    /// deadline passes or the peer of cancelSocket hangs up. Never sends a request twice.
    virtual UpstreamAnswer
    send(const Endpoint &upstream, const HttpRequest &request, TimePoint deadline, int cancelSocket) = 0;
};

struct UpstreamClientSettings {
    Duration connectTimeout = std::chrono::milliseconds(1000);
    Duration idleLifetime = std::chrono::seconds(4); ///< Below the keep-alive timeout of upstreams.
    std::size_t maxIdle = 512;
    std::size_t maxBodyBytes = std::size_t{16} << 20; ///< A larger response counts as broken.
};

std::unique_ptr<IUpstreamClient> makeUpstreamClient(const UpstreamClientSettings &settings);

} // namespace vanillatack
