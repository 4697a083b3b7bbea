#pragma once

#include "base/clock.h"
#include "model/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// A part of a route's traffic.
struct WeightedService {
    ServiceName service;
    int weight = 1;
};

/// Where requests of one host and path prefix go, and how they may be treated.
struct TrafficRoute {
    RouteName name;
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<WeightedService> services; ///< At least one.
    bool idempotent = false; ///< The request may run more than once.
    bool open = false; ///< Needs no key.
    int rank = 0; ///< Importance; 0 is shed last.
    int maxAttempts = 1; ///< Instances to which one request may be sent.
    Duration timeout{0}; ///< Longest time to an answer.
    Duration targetLatency{0}; ///< Time within which an answer has its full use.
};

struct HostRoutes {
    std::string host; ///< Lower case, without port.
    std::vector<TrafficRoute> routes;
};

/// A workspace with its keys and its rate over the whole fleet.
struct TrafficWorkspace {
    WorkspaceName name;
    std::vector<std::string> keys;
    std::optional<int> rank; ///< Replaces the route's rank.
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0; ///< Requests.
};

/// What callers may send.
struct CallerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = std::size_t{64} << 20;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the routes, workspaces and limits, as declared by operators.
struct TrafficConfig {
    std::uint64_t version = 0; ///< Grows with each change, in uneven steps. 0: none known yet.
    std::vector<HostRoutes> hosts;
    std::vector<TrafficWorkspace> workspaces; ///< Empty: requests need no key.
    CallerLimits limits;
};

} // namespace vanillatack
