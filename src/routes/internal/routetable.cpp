#include "routes/routetable.h"

#include "base/text.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace vanillatack {

RouteTable::RouteTable(TrafficConfig config)
    : m_config(std::move(config))
{
    for (const HostRoutes &host : m_config.hosts) {
        HostIndex &index = m_hosts[host.host];
        for (const TrafficRoute &route : host.routes) {
            index.routes.emplace(route.prefix, &route);
            index.longestPrefix = std::max(index.longestPrefix, route.prefix.size());
            m_names[route.name.value] = &route;
        }
    }
    for (const TrafficWorkspace &workspace : m_config.workspaces) {
        for (const std::string &key : workspace.keys) {
            m_keys[key] = &workspace;
        }
    }
}

const TrafficRoute *RouteTable::find(std::string_view host, std::string_view target) const
{
    const std::string name = absl::AsciiStrToLower(std::string(host.substr(0, host.find(':'))));
    const auto entry = m_hosts.find(name);
    if (entry == m_hosts.end()) {
        return nullptr;
    }
    const HostIndex &index = entry->second;
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    std::size_t slash = std::min(path.size(), index.longestPrefix);
    while (slash > 0 && (slash = path.rfind('/', slash - 1)) != std::string_view::npos) {
        const auto route = index.routes.find(asAbsl(path.substr(0, slash + 1)));
        if (route != index.routes.end()) {
            return route->second;
        }
    }
    return nullptr;
}

const TrafficRoute *RouteTable::findByName(const RouteName &name) const
{
    const auto entry = m_names.find(name.value);
    return entry == m_names.end() ? nullptr : entry->second;
}

const TrafficWorkspace *RouteTable::workspaceOf(std::string_view key) const
{
    const auto entry = m_keys.find(asAbsl(key));
    return entry == m_keys.end() ? nullptr : entry->second;
}

ServiceName RouteTable::nextService(const TrafficRoute &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::vector<int> &credits = m_splitCredits[route.name];
    credits.resize(route.services.size());
    int total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < credits.size(); ++index) {
        credits[index] += route.services[index].weight;
        total += route.services[index].weight;
        if (credits[index] > credits[best]) {
            best = index;
        }
    }
    credits[best] -= total;
    return route.services[best].service;
}

} // namespace vanillatack
