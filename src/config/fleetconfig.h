#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/inidocument.h"
#include "model/request.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Section [defaults]: settings of the whole fleet and defaults of routes and services.
struct FleetDefaults {
    Duration deadline = std::chrono::seconds(5); ///< Time limit of a root request.
    int retryAllowance = 3; ///< Retries of one root request, summed over its whole call chain.
    int retryRatioPercent = 10; ///< Retries allowed per 100 first attempts to a service.
    int queueLimit = 500; ///< Queued requests at one instance, all classes together.
    Duration queueTimeout = std::chrono::milliseconds(500); ///< Queue time limit of all classes except deferrable.
    Duration deferrableQueueTimeout = std::chrono::seconds(30); ///< Queue time limit of deferrable requests.
    Duration agingLimit = std::chrono::seconds(10); ///< Queue time before a deferrable request rises by one class.
    int backgroundPercent = 70; ///< Percentage of the concurrency limit below which background requests are admitted.
    /// Time without contact to the platform and to other zones after which a node refuses keys.
    Duration cutoffKeyGrace = std::chrono::seconds(300);
    Duration claimRetention = std::chrono::hours(24); ///< Time for which claims and stored answers are kept.
    Duration withdrawalRetention = std::chrono::hours(24 * 7); ///< Time for which withdrawn keys are kept.
    int sharesPerZone = 2; ///< Quota share slots per zone.
    bool earlyRefusal = true; ///< Whether nodes refuse root requests that an overloaded service would refuse later.

    bool operator==(const FleetDefaults &) const = default;
};

/// Section [zone NAME].
struct ZoneConfig {
    ZoneName name;
    std::string region;
    int quotaWeight = 1;
    bool stopped = false; ///< yes: the zone's quota shares go to the other zones. Set by an exception only.

    bool operator==(const ZoneConfig &) const = default;
};

/// Section [service NAME].
struct ServiceConfig {
    ServiceName name;
    std::optional<int> queueLimit;
    std::optional<Duration> queueTimeout;

    bool operator==(const ServiceConfig &) const = default;
};

/// Section [route NAME]. Of the matching routes, the one with the longest path prefix applies.
struct RouteConfig {
    RouteName name;
    std::string method; ///< "*" matches any method.
    std::string pathPrefix;
    ServiceName service;
    PriorityClass priority = PriorityClass::Interactive;
    bool idempotent = true; ///< no: a request runs at most once.
    bool open = false; ///< yes: requests need no key.
    std::optional<Duration> deadline;
    std::optional<int> retryAllowance;
    double objectivePercent = 0; ///< Service level objective: percentage of good requests; 0 for none.
    Duration objectiveLatency{0}; ///< Longest response time of a good request; 0 for no limit.

    bool operator==(const RouteConfig &) const = default;
};

/// Section [workspace NAME].
struct WorkspaceConfig {
    WorkspaceName name;
    std::int64_t ratePerSecond = 0; ///< Requests per second over the whole fleet.
    std::int64_t burst = 0; ///< Capacity of the token bucket, in requests.
    int weight = 1; ///< Weight of the workspace in max-min fair sharing under overload.

    bool operator==(const WorkspaceConfig &) const = default;
};

/// Section [exception NAME]: overrides one setting of one object and states the reason.
struct ConfigException {
    std::string name;
    std::string target; ///< "route NAME", "service NAME", "workspace NAME" or "zone NAME".
    std::string setting;
    std::string value;
    std::string reason; ///< Explanation for other operators; mandatory.

    bool operator==(const ConfigException &) const = default;
};

/// A complete and valid configuration with its exceptions applied.
struct FleetConfig {
    FleetDefaults defaults;
    std::map<ZoneName, ZoneConfig> zones;
    std::map<ServiceName, ServiceConfig> services;
    std::map<RouteName, RouteConfig> routes;
    std::map<WorkspaceName, WorkspaceConfig> workspaces;
    std::vector<ConfigException> exceptions;

    /// Returns the route for a method and a path, or nullptr if none matches.
    [[nodiscard]] const RouteConfig *findRoute(std::string_view method, std::string_view path) const;

    [[nodiscard]] Duration deadlineOf(const RouteConfig &route) const;
    [[nodiscard]] int retryAllowanceOf(const RouteConfig &route) const;

    bool operator==(const FleetConfig &) const = default;
};

/// Result of parsing a configuration: the configuration, or all problems found.
struct ConfigParseResult {
    std::optional<FleetConfig> config;
    std::vector<TextProblem> problems;
};

/// Parses and validates a configuration in INI format. The file name appears in reported problems only.
ConfigParseResult parseFleetConfig(std::string_view text, std::string_view file);

/// Returns one line per difference between two configurations, e.g. "route certificates: deadline 5s -> 2s".
std::vector<std::string> describeDifference(const FleetConfig &before, const FleetConfig &after);

} // namespace vanillatack
