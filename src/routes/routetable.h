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
    /// target a query. Takes time proportional to the depth of the path, not to the number of routes. Of several routes
    /// with the same prefix, the first one is found.
    [[nodiscard]] const TrafficRoute *find(std::string_view host, std::string_view target) const;

    /// The route with the name, or nullptr.
    [[nodiscard]] const TrafficRoute *findByName(const RouteName &name) const;

    /// The workspace to which the API key belongs, or nullptr.
    [[nodiscard]] const TrafficWorkspace *workspaceOf(std::string_view key) const;

    /// Selects the service for the next request of the route, which must have services. Over time, each service gets
    /// exactly its weighted share.
    [[nodiscard]] ServiceName nextService(const TrafficRoute &route);

    [[nodiscard]] const TrafficConfig &config() const
    {
        return m_config;
    }

private:
    struct HostIndex {
        absl::flat_hash_map<std::string, const TrafficRoute *> routes; ///< By prefix.
        std::size_t longestPrefix = 0; ///< Bytes.
    };

    TrafficConfig m_config;
    absl::flat_hash_map<std::string, HostIndex> m_hosts;
    absl::flat_hash_map<std::string, const TrafficRoute *> m_names;
    absl::flat_hash_map<std::string, const TrafficWorkspace *> m_keys;
    std::map<RouteName, std::vector<int>> m_splitCredits; ///< State of smooth weighted round robin.
};

} // namespace vanillatack
