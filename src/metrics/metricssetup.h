#pragma once

#include "base/error.h"
#include "metrics/imetrics.h"

#include <array>
#include <memory>
#include <string_view>

namespace vanillatack {

/// A gauge accepted by IMetrics::setGauge(). The name of its metric has the prefix "vanillatack_".
struct GaugeDescription {
    std::string_view name;
    std::string_view help;
};

inline constexpr std::array<GaugeDescription, 22> GaugeDescriptions = {{
    {"ready", "1 when the node is ready: documents loaded, upstream announced, not draining."},
    {"draining", "1 while the node drains."},
    {"zone_cut_off", "1 while neither another availability zone nor the platform has been heard."},
    {"keys_accepted", "0 when a cut-off node no longer accepts keys."},
    {"config_version", "Version of the configuration in force."},
    {"keys_version", "Version of the key document in force."},
    {"withdrawn_keys", "Keys in the set of revoked keys."},
    {"zone_members", "Nodes alive in the own availability zone."},
    {"reachable_zones", "Availability zones heard from within 5 s, with the own one."},
    {"platform_silence_seconds", "Time since the platform last answered."},
    {"store_era", "Era of the platform's store; rises when the store comes back from an older copy."},
    {"concurrency_limit", "Requests that the upstream may run at once."},
    {"running_requests", "Requests at the upstream."},
    {"queued_requests", "Requests in the admission queue."},
    {"open_caller_connections", "Connections of callers."},
    {"open_node_connections", "Connections to other nodes."},
    {"quota_owned_rate", "Sum of the owned shares of all workspaces, requests per second."},
    {"quota_lent_rate", "Sum of the rates lent to other nodes, requests per second."},
    {"quota_borrowed_rate", "Sum of the rates borrowed from other nodes, requests per second."},
    {"dropped_log_lines", "Log lines dropped since the start because their reader does not keep up."},
    {"resident_memory_bytes", "Resident memory of the process."},
    {"control_cpu_ratio", "Part of one core used by control work."},
}};

/// Limits on the number of time series, so that names from outside cannot exhaust the memory.
struct MetricsLimits {
    std::size_t requestSeries = 2000; ///< Combinations of route, workspace and status class.
    std::size_t names = 500; ///< Routes of the latency histogram, and services of the attempt counter.
};

/// Label value that aggregates all series above the limits.
inline constexpr std::string_view OtherLabel = "other";

/// Owns the metrics of a node and the HTTP server that exposes them. The calls of metrics() are thread-safe.
class MetricsSetup
{
public:
    explicit MetricsSetup(const MetricsLimits &limits = {});
    ~MetricsSetup();
    MetricsSetup(const MetricsSetup &) = delete;
    MetricsSetup &operator=(const MetricsSetup &) = delete;

    [[nodiscard]] IMetrics &metrics();

    /// Serves GET /metrics until this object is destroyed. Port 0 selects a free port. Returns the port.
    /// Errors: Unavailable when the address cannot be bound.
    Result<std::uint16_t> startServer(const Endpoint &endpoint);

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace vanillatack
