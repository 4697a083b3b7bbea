#pragma once

#include "routes/trafficconfig.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string_view>

namespace vanillatack {

/// Looks up routes and keys of one configuration version.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(TrafficConfig config);

    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;
    RouteTable(RouteTable &&) = default;
    RouteTable &operator=(RouteTable &&) = default;

    /// The route of the host with the longest prefix of the target's path, or nullptr. The host may carry a port; the
    /// target may carry a query.
    [[nodiscard]] const TrafficRoute *find(std::string_view host, std::string_view target) const;

    /// The workspace that holds the key, or nullptr.
    [[nodiscard]] const TrafficWorkspace *workspaceOf(std::string_view key) const;

    /// The service for the next request of the route. Parts of a split get exactly their share over time.
    [[nodiscard]] ServiceName nextService(const TrafficRoute &route);

    [[nodiscard]] const TrafficConfig &config() const
    {
        return m_config;
    }

private:
    TrafficConfig m_config;
    absl::flat_hash_map<std::string, const HostRoutes *> m_hosts;
    absl::flat_hash_map<std::string, const TrafficWorkspace *> m_keys;
    std::map<RouteName, std::vector<int>> m_splitCredits; ///< Smooth weighted round robin.
};

} // namespace vanillatack
