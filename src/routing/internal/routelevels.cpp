#include "routing/internal/routelevels.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

/// Weight of one reply in the presence of a service.
constexpr double PresenceSampleWeight = 0.05;
/// Presence below which a service is removed.
constexpr double MinPresence = 0.01;
/// Lower limit for the weight of a received level, which grows with the time since the previous one.
constexpr double MinLevelSampleWeight = 0.05;

double admittedShare(const ServiceLevel &level, int priority)
{
    const int lowest = static_cast<int>(level.lowestAdmitted);
    if (priority == lowest) {
        return std::clamp(level.admittedPermille, 0, 1000) / 1000.0;
    }
    return priority < lowest ? 1.0 : 0.0;
}

} // namespace

void RouteLevels::record(const std::vector<ServiceLevel> &levels, const RoutingSettings &settings, TimePoint now)
{
    if (levels.empty()) {
        return;
    }
    const bool first = m_services.empty();
    for (auto &[service, entry] : m_services) {
        entry.presence *= 1 - PresenceSampleWeight;
    }
    std::map<ServiceName, const ServiceLevel *> named;
    for (const ServiceLevel &level : levels) {
        named[level.service] = &level;
    }
    for (const auto &[service, level] : named) {
        const auto [found, added] = m_services.try_emplace(service);
        ServiceEntry &entry = found->second;
        entry.presence += first ? 1 : PresenceSampleWeight;
        const double age = std::chrono::duration<double>(now - entry.updatedAt) / settings.levelSmoothing;
        const bool stale = added || now - entry.updatedAt > settings.levelLifetime;
        const double weight = stale ? 1 : std::max(MinLevelSampleWeight, 1 - std::exp(-age));
        for (int priority = 0; priority < PriorityClassCount; ++priority) {
            double &admitted = entry.admitted.at(static_cast<std::size_t>(priority));
            admitted += weight * (admittedShare(*level, priority) - admitted);
        }
        entry.updatedAt = now;
    }
    std::erase_if(m_services, [](const auto &entry) {
        return entry.second.presence < MinPresence;
    });
}

bool RouteLevels::refuses(PriorityClass priority, const RoutingSettings &settings, IRandom &random, TimePoint now)
{
    double admitted = 1;
    bool old = false;
    for (const auto &[service, entry] : m_services) {
        if (entry.presence < settings.usualPathRatio || now - entry.updatedAt > settings.levelLifetime) {
            continue;
        }
        admitted = std::min(admitted, entry.admitted.at(static_cast<std::size_t>(priority)));
        old = old || now - entry.updatedAt > settings.levelProbeAge;
    }
    if (admitted >= 1 || random.fraction() < admitted) {
        return false;
    }
    // Replies to admitted requests refresh the levels; without any, a probe is let through to refresh them.
    const bool probe = old && now - m_lastProbe > settings.levelProbeAge;
    if (probe || random.below(static_cast<std::uint64_t>(settings.refusalsPerProbe)) == 0) {
        m_lastProbe = now;
        return false;
    }
    return true;
}

} // namespace vanillatack
