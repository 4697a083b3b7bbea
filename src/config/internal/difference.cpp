#include "base/text.h"
#include "config/fleetconfig.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace vanillatack {

namespace {

using Settings = std::vector<std::pair<std::string, std::string>>;

std::string textOf(bool value)
{
    return value ? "yes" : "no";
}

std::string textOf(Duration value)
{
    return formatDuration(value);
}

template<class Number>
std::string textOf(Number value)
{
    return absl::StrCat(value);
}

template<class Value>
std::string textOf(const std::optional<Value> &value)
{
    return value ? textOf(*value) : "(default)";
}

Settings settingsOf(const FleetDefaults &defaults)
{
    return {
        {"deadline", textOf(defaults.deadline)},
        {"retry_allowance", textOf(defaults.retryAllowance)},
        {"retry_ratio_percent", textOf(defaults.retryRatioPercent)},
        {"queue_limit", textOf(defaults.queueLimit)},
        {"queue_timeout", textOf(defaults.queueTimeout)},
        {"deferrable_queue_timeout", textOf(defaults.deferrableQueueTimeout)},
        {"aging_limit", textOf(defaults.agingLimit)},
        {"background_percent", textOf(defaults.backgroundPercent)},
        {"cutoff_key_grace", textOf(defaults.cutoffKeyGrace)},
        {"claim_retention", textOf(defaults.claimRetention)},
        {"withdrawal_retention", textOf(defaults.withdrawalRetention)},
        {"shares_per_zone", textOf(defaults.sharesPerZone)},
        {"early_refusal", textOf(defaults.earlyRefusal)},
    };
}

Settings settingsOf(const ZoneConfig &zone)
{
    return {{"region", zone.region}, {"quota_weight", textOf(zone.quotaWeight)}, {"stopped", textOf(zone.stopped)}};
}

Settings settingsOf(const ServiceConfig &service)
{
    return {{"queue_limit", textOf(service.queueLimit)}, {"queue_timeout", textOf(service.queueTimeout)}};
}

Settings settingsOf(const RouteConfig &route)
{
    return {
        {"method", route.method},
        {"path", route.pathPrefix},
        {"service", route.service.value},
        {"class", std::string(PriorityClassNames.name(route.priority))},
        {"idempotent", textOf(route.idempotent)},
        {"open", textOf(route.open)},
        {"deadline", textOf(route.deadline)},
        {"retry_allowance", textOf(route.retryAllowance)},
        {"objective_percent", route.objectivePercent > 0 ? textOf(route.objectivePercent) : "(none)"},
        {"objective_latency", route.objectiveLatency > Duration::zero() ? textOf(route.objectiveLatency) : "(any)"},
    };
}

Settings settingsOf(const WorkspaceConfig &workspace)
{
    return {
        {"rate", textOf(workspace.ratePerSecond)},
        {"burst", textOf(workspace.burst)},
        {"weight", textOf(workspace.weight)},
    };
}

Settings settingsOf(const ConfigException &exception)
{
    return {
        {"target", exception.target},
        {"setting", exception.setting},
        {"value", exception.value},
        {"reason", exception.reason},
    };
}

std::string listOf(const Settings &settings)
{
    std::string text;
    for (const auto &[name, value] : settings) {
        absl::StrAppend(&text, text.empty() ? "" : ", ", name, " ", value);
    }
    return text;
}

void addChanges(std::vector<std::string> &lines,
                const std::string &title,
                const Settings &before,
                const Settings &after)
{
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            lines.push_back(absl::StrCat(title, ": ", before[i].first, " ", before[i].second, " -> ", after[i].second));
        }
    }
}

template<class Object>
void addObjects(std::vector<std::string> &lines,
                const std::string &kind,
                const std::map<std::string, Object> &before,
                const std::map<std::string, Object> &after)
{
    for (const auto &[name, object] : before) {
        const std::string title = absl::StrCat(kind, " ", name);
        const auto other = after.find(name);
        if (other == after.end()) {
            lines.push_back(absl::StrCat(title, ": removed (", listOf(settingsOf(object)), ")"));
        } else {
            addChanges(lines, title, settingsOf(object), settingsOf(other->second));
        }
    }
    for (const auto &[name, object] : after) {
        if (!before.contains(name)) {
            lines.push_back(absl::StrCat(kind, " ", name, ": added (", listOf(settingsOf(object)), ")"));
        }
    }
}

template<class Id, class Object>
std::map<std::string, Object> byName(const std::map<Id, Object> &objects)
{
    std::map<std::string, Object> result;
    for (const auto &[id, object] : objects) {
        result.emplace(id.value, object);
    }
    return result;
}

std::map<std::string, ConfigException> byName(const std::vector<ConfigException> &exceptions)
{
    std::map<std::string, ConfigException> result;
    for (const ConfigException &exception : exceptions) {
        result.emplace(exception.name, exception);
    }
    return result;
}

} // namespace

std::vector<std::string> describeDifference(const FleetConfig &before, const FleetConfig &after)
{
    std::vector<std::string> lines;
    addChanges(lines, "defaults", settingsOf(before.defaults), settingsOf(after.defaults));
    addObjects(lines, "zone", byName(before.zones), byName(after.zones));
    addObjects(lines, "service", byName(before.services), byName(after.services));
    addObjects(lines, "route", byName(before.routes), byName(after.routes));
    addObjects(lines, "workspace", byName(before.workspaces), byName(after.workspaces));
    addObjects(lines, "exception", byName(before.exceptions), byName(after.exceptions));
    return lines;
}

} // namespace vanillatack
