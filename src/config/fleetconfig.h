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

/// Section [defaults]: fleet-wide defaults.
struct FleetDefaults {
    Duration deadline = std::chrono::seconds(5); ///< Of a root request.
    int retryAllowance = 3; ///< Retries of one root request over its whole chain.
    int retryRatioPercent = 10; ///< Retries per 100 first attempts to a service.
    int queueLimit = 500;
    Duration queueTimeout = std::chrono::milliseconds(500);
    Duration deferrableQueueTimeout = std::chrono::seconds(30);
    Duration agingLimit = std::chrono::seconds(10);
    int backgroundPercent = 70;
    Duration cutoffKeyGrace = std::chrono::seconds(300);
    Duration claimRetention = std::chrono::hours(24);
    Duration withdrawalRetention = std::chrono::hours(24 * 7);
    int sharesPerZone = 2;
    bool earlyRefusal = true;

    bool operator==(const FleetDefaults &) const = default;
};

/// Section [zone NAME].
struct ZoneConfig {
    ZoneName name;
    std::string region;
    int quotaWeight = 1;
    bool stopped = false; ///< Only by an exception: the zone's quota shares go to the other zones.

    bool operator==(const ZoneConfig &) const = default;
};

/// Section [service NAME].
struct ServiceConfig {
    ServiceName name;
    std::optional<int> queueLimit;
    std::optional<Duration> queueTimeout;

    bool operator==(const ServiceConfig &) const = default;
};

/// Section [route NAME]. The longest matching path prefix wins.
struct RouteConfig {
    RouteName name;
    std::string method; ///< "*" for any.
    std::string pathPrefix;
    ServiceName service;
    PriorityClass priority = PriorityClass::Interactive;
    bool idempotent = true; ///< no: at most one run of a request.
    bool open = false; ///< yes: no key needed.
    std::optional<Duration> deadline;
    std::optional<int> retryAllowance;
    double objectivePercent = 0; ///< Share of good requests promised; 0 for no objective.
    Duration objectiveLatency{0}; ///< A good request is answered within this; 0 for any time.

    bool operator==(const RouteConfig &) const = default;
};

/// Section [workspace NAME].
struct WorkspaceConfig {
    WorkspaceName name;
    std::int64_t ratePerSecond = 0; ///< Requests per second over the whole fleet.
    std::int64_t burst = 0; ///< Requests.
    int weight = 1; ///< Of the max-min share under overload.

    bool operator==(const WorkspaceConfig &) const = default;
};

/// Section [exception NAME]: one setting of one object that differs from what is set elsewhere, and why.
struct ConfigException {
    std::string name;
    std::string target; ///< "route NAME", "service NAME", "workspace NAME" or "zone NAME".
    std::string setting;
    std::string value;
    std::string reason; ///< Mandatory.

    bool operator==(const ConfigException &) const = default;
};

/// A whole, valid configuration with its exceptions applied.
struct FleetConfig {
    FleetDefaults defaults;
    std::map<ZoneName, ZoneConfig> zones;
    std::map<ServiceName, ServiceConfig> services;
    std::map<RouteName, RouteConfig> routes;
    std::map<WorkspaceName, WorkspaceConfig> workspaces;
    std::vector<ConfigException> exceptions;

    /// The route for a method and a path, or nullptr.
    [[nodiscard]] const RouteConfig *findRoute(std::string_view method, std::string_view path) const;

    [[nodiscard]] Duration deadlineOf(const RouteConfig &route) const;
    [[nodiscard]] int retryAllowanceOf(const RouteConfig &route) const;

    bool operator==(const FleetConfig &) const = default;
};

/// Outcome of reading a configuration: a value, or every problem found.
struct ConfigParseResult {
    std::optional<FleetConfig> config;
    std::vector<TextProblem> problems;
};

/// Reads and validates a configuration text (INI). The file name is used in problems only.
ConfigParseResult parseFleetConfig(std::string_view text, std::string_view file);

/// One line per difference between two configurations, e.g. "route certificates: deadline 5s -> 2s".
std::vector<std::string> describeDifference(const FleetConfig &before, const FleetConfig &after);

} // namespace vanillatack
