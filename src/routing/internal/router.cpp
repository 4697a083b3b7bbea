#include "routing/internal/routelevels.h"
#include "routing/internal/servicepeers.h"
#include "routing/routingsetup.h"

namespace vanillatack {

namespace {

class Router final : public IRouter
{
public:
    Router(IClock &clock, IRandom &random, const RoutingSettings &settings)
        : m_clock(clock)
        , m_random(random)
        , m_settings(settings)
    {
    }

    void setInstances(const ServiceName &service, const std::vector<Member> &instances) override
    {
        m_services.try_emplace(service, m_settings).first->second.setInstances(instances, m_clock.now());
    }

    Result<RoutingChoice> choose(const ServiceName &service, const std::set<NodeName> &excluded) override
    {
        const auto found = m_services.find(service);
        const Member *member =
            found == m_services.end() ? nullptr : found->second.choose(excluded, m_random, m_clock.now());
        if (!member) {
            return makeError(ErrorKind::NotFound,
                             "No instance of service \"" + service.value + "\" is available; "
                                 + std::to_string(excluded.size()) + " were excluded after attempts.",
                             "Check that its upstreams announce themselves and are not all draining, unless all were "
                             "excluded.");
        }
        return RoutingChoice{member->node, member->endpoint, member->zone};
    }

    void finish(const ServiceName &service, const NodeName &node, AttemptOutcome outcome, Duration latency) override
    {
        m_services.at(service).finish(node, outcome, latency, m_clock.now());
    }

    void recordLevels(const RouteName &rootRoute, const std::vector<ServiceLevel> &levels) override
    {
        m_levels[rootRoute].record(levels, m_settings, m_clock.now());
    }

    bool refusesEarly(const RouteName &rootRoute, PriorityClass priority) override
    {
        const auto found = m_levels.find(rootRoute);
        return found != m_levels.end() && found->second.refuses(priority, m_settings, m_random, m_clock.now());
    }

    [[nodiscard]] std::vector<InstanceStatus> instances(const ServiceName &service) const override
    {
        const auto found = m_services.find(service);
        return found == m_services.end() ? std::vector<InstanceStatus>{} : found->second.status(m_clock.now());
    }

private:
    IClock &m_clock;
    IRandom &m_random;
    const RoutingSettings m_settings;
    std::map<ServiceName, ServicePeers> m_services;
    std::map<RouteName, RouteLevels> m_levels;
};

} // namespace

std::unique_ptr<IRouter> makeRouter(IClock &clock, IRandom &random, const RoutingSettings &settings)
{
    return std::make_unique<Router>(clock, random, settings);
}

} // namespace vanillatack
