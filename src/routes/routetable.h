#pragma once

#include "routes/trafficconfig.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string_view>

namespace vanillatack {

/// Looks up the routes and API keys of one configuration version.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(TrafficConfig config);

    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;
    RouteTable(RouteTable &&) = default;
    RouteTable &operator=(RouteTable &&) = default;

    /// The route of the host with the longest matching path prefix, or nullptr. The host may include a port and the
    /// target a query.
    [[nodiscard]] const TrafficRoute *find(std::string_view host, std::string_view target) const;

    /// The workspace to which the API key belongs, or nullptr.
    [[nodiscard]] const TrafficWorkspace *workspaceOf(std::string_view key) const;

    /// Selects the service for the next request of the route. Over time, each service gets exactly its weighted share.
    [[nodiscard]] ServiceName nextService(const TrafficRoute &route);

    [[nodiscard]] const TrafficConfig &config() const
    {
        return m_config;
    }

private:
    TrafficConfig m_config;
    absl::flat_hash_map<std::string, const HostRoutes *> m_hosts;
    absl::flat_hash_map<std::string, const TrafficWorkspace *> m_keys;
    std::map<RouteName, std::vector<int>> m_splitCredits; ///< State of smooth weighted round robin.
};

} // namespace vanillatack
