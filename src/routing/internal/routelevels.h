#pragma once

#include "base/random.h"
#include "model/request.h"
#include "routing/routingsetup.h"

#include <array>
#include <map>
#include <vector>

namespace vanillatack {

/// Service levels received for one root route, for early refusal.
class RouteLevels
{
public:
    void record(const std::vector<ServiceLevel> &levels, const RoutingSettings &settings, TimePoint now);

    bool refuses(PriorityClass priority, const RoutingSettings &settings, IRandom &random, TimePoint now);

private:
    struct ServiceEntry {
        std::array<double, PriorityClassCount> admitted{}; ///< Smoothed admitted share of each class, 0 to 1.
        double presence = 0; ///< Smoothed share of replies that name the service.
        TimePoint updatedAt;
    };

    std::map<ServiceName, ServiceEntry> m_services;
    TimePoint m_lastProbe;
};

} // namespace vanillatack
