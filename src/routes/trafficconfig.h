#pragma once

#include "base/clock.h"
#include "base/nametable.h"
#include "model/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// A service that receives a share of a route's requests, proportional to its weight.
struct WeightedService {
    ServiceName service;
    int weight = 1;
};

/// What may be done with the requests of a route.
enum class RouteKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Run at most once per attempt of the caller.
    Upload, ///< Non-idempotent requests with large bodies.
};

inline constexpr auto RouteKindNames = makeNameTable<RouteKind, 3>({
    {RouteKind::Idempotent, "idempotent"},
    {RouteKind::NonIdempotent, "non-idempotent"},
    {RouteKind::Upload, "upload"},
});

/// Destination and handling of the requests of one host and path prefix.
struct TrafficRoute {
    RouteName name;
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    /// Empty if the destination could not be read; the requests are then refused as not run.
    std::vector<WeightedService> services;
    RouteKind kind = RouteKind::NonIdempotent;
    bool open = false; ///< No API key is required.
    int rank = 0; ///< Rank of importance; 0 is the most important and shed last.
    /// Maximum number of attempts of an idempotent request that may have run; refused and undelivered attempts do not
    /// count.
    int maxAttempts = 1;
    Duration timeout{0}; ///< Maximum time until the answer.
    Duration targetLatency{0}; ///< Latency objective; 0 if the route has none.

    [[nodiscard]] bool isIdempotent() const
    {
        return kind == RouteKind::Idempotent;
    }
};

struct HostRoutes {
    std::string host; ///< Lower case, without port.
    std::vector<TrafficRoute> routes;
};

/// A workspace with its API keys and its fleet-wide rate limit.
struct TrafficWorkspace {
    WorkspaceName name;
    std::vector<std::string> keys;
    std::optional<int> rank; ///< Overrides the route's rank.
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0; ///< Requests.
    /// The name or the rate limit could not be read; requests with its keys are refused as not run.
    bool suspended = false;
};

/// Size limits and timeouts for requests of callers.
struct CallerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = std::size_t{64} << 20;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the routes, workspaces and limits that operators have configured.
struct TrafficConfig {
    std::uint64_t version = 0; ///< Increases with each change, not always by 1. 0: no configuration received yet.
    std::vector<HostRoutes> hosts;
    std::vector<TrafficWorkspace> workspaces; ///< Empty: requests need no key.
    CallerLimits limits;
};

} // namespace vanillatack
