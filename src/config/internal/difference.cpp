#include "base/text.h"
#include "config/fleetconfig.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace vanillatack {

namespace {

using SettingTexts = std::vector<std::pair<std::string, std::string>>;

std::string formatValue(bool value)
{
    return value ? "yes" : "no";
}

std::string formatValue(Duration value)
{
    return formatDuration(value);
}

template<class Number>
std::string formatValue(Number value)
{
    return absl::StrCat(value);
}

template<class Value>
std::string formatValue(const std::optional<Value> &value)
{
    return value ? formatValue(*value) : "(default)";
}

SettingTexts settingTexts(const FleetDefaults &defaults)
{
    return {
        {"deadline", formatValue(defaults.deadline)},
        {"retry_allowance", formatValue(defaults.retryAllowance)},
        {"retry_ratio_percent", formatValue(defaults.retryRatioPercent)},
        {"queue_limit", formatValue(defaults.queueLimit)},
        {"queue_timeout", formatValue(defaults.queueTimeout)},
        {"deferrable_queue_timeout", formatValue(defaults.deferrableQueueTimeout)},
        {"aging_limit", formatValue(defaults.agingLimit)},
        {"background_percent", formatValue(defaults.backgroundPercent)},
        {"cutoff_key_grace", formatValue(defaults.cutoffKeyGrace)},
        {"claim_retention", formatValue(defaults.claimRetention)},
        {"withdrawal_retention", formatValue(defaults.withdrawalRetention)},
        {"shares_per_zone", formatValue(defaults.sharesPerZone)},
        {"early_refusal", formatValue(defaults.earlyRefusal)},
    };
}

SettingTexts settingTexts(const ZoneConfig &zone)
{
    return {{"region", zone.region},
            {"quota_weight", formatValue(zone.quotaWeight)},
            {"stopped", formatValue(zone.stopped)}};
}

SettingTexts settingTexts(const ServiceConfig &service)
{
    return {{"queue_limit", formatValue(service.queueLimit)}, {"queue_timeout", formatValue(service.queueTimeout)}};
}

SettingTexts settingTexts(const RouteConfig &route)
{
    return {
        {"method", route.method},
        {"path", route.pathPrefix},
        {"service", route.service.value},
        {"class", std::string(PriorityClassNames.name(route.priority))},
        {"idempotent", formatValue(route.idempotent)},
        {"open", formatValue(route.open)},
        {"deadline", formatValue(route.deadline)},
        {"retry_allowance", formatValue(route.retryAllowance)},
        {"objective_percent", route.objectivePercent > 0 ? formatValue(route.objectivePercent) : "(none)"},
        {"objective_latency",
         route.objectiveLatency > Duration::zero() ? formatValue(route.objectiveLatency) : "(any)"},
    };
}

SettingTexts settingTexts(const WorkspaceConfig &workspace)
{
    return {
        {"rate", formatValue(workspace.ratePerSecond)},
        {"burst", formatValue(workspace.burst)},
        {"weight", formatValue(workspace.weight)},
    };
}

SettingTexts settingTexts(const ConfigException &exception)
{
    return {
        {"target", exception.target},
        {"setting", exception.setting},
        {"value", exception.value},
        {"reason", exception.reason},
    };
}

std::string joinSettings(const SettingTexts &settings)
{
    std::string text;
    for (const auto &[name, value] : settings) {
        absl::StrAppend(&text, text.empty() ? "" : ", ", name, " ", value);
    }
    return text;
}

void addChanges(std::vector<std::string> &lines,
                const std::string &title,
                const SettingTexts &before,
                const SettingTexts &after)
{
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            lines.push_back(absl::StrCat(title, ": ", before[i].first, " ", before[i].second, " -> ", after[i].second));
        }
    }
}

template<class Object>
void addObjectChanges(std::vector<std::string> &lines,
                      const std::string &kind,
                      const std::map<std::string, Object> &before,
                      const std::map<std::string, Object> &after)
{
    for (const auto &[name, object] : before) {
        const std::string title = absl::StrCat(kind, " ", name);
        const auto other = after.find(name);
        if (other == after.end()) {
            lines.push_back(absl::StrCat(title, ": removed (", joinSettings(settingTexts(object)), ")"));
        } else {
            addChanges(lines, title, settingTexts(object), settingTexts(other->second));
        }
    }
    for (const auto &[name, object] : after) {
        if (!before.contains(name)) {
            lines.push_back(absl::StrCat(kind, " ", name, ": added (", joinSettings(settingTexts(object)), ")"));
        }
    }
}

template<class Id, class Object>
std::map<std::string, Object> keyedByName(const std::map<Id, Object> &objects)
{
    std::map<std::string, Object> result;
    for (const auto &[id, object] : objects) {
        result.emplace(id.value, object);
    }
    return result;
}

std::map<std::string, ConfigException> keyedByName(const std::vector<ConfigException> &exceptions)
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
    addChanges(lines, "defaults", settingTexts(before.defaults), settingTexts(after.defaults));
    addObjectChanges(lines, "zone", keyedByName(before.zones), keyedByName(after.zones));
    addObjectChanges(lines, "service", keyedByName(before.services), keyedByName(after.services));
    addObjectChanges(lines, "route", keyedByName(before.routes), keyedByName(after.routes));
    addObjectChanges(lines, "workspace", keyedByName(before.workspaces), keyedByName(after.workspaces));
    addObjectChanges(lines, "exception", keyedByName(before.exceptions), keyedByName(after.exceptions));
    return lines;
}

} // namespace vanillatack
