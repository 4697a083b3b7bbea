#include "config/internal/configreader.h"

#include "base/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace vanillatack {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t MaxNameLength = 40;
constexpr std::size_t MaxReasonLength = 400;
// Request amounts are multiplied by 1e6 tokens, by zone weights and by share slots; this limit keeps the product within
// 64 bits.
constexpr std::int64_t MaxRequestAmount = 10'000'000;
constexpr int MaxWeight = 100;

struct SectionRule {
    std::string_view kind;
    bool takesName;
    std::array<std::string_view, 9> exceptionSettings; ///< Settings that an exception may override.
};

// Exceptions cannot change a method, path or region, since these identify a route or a zone.
constexpr std::array<SectionRule, 6> SectionRules = {{
    {"defaults", false, {}},
    {"zone", true, {"quota_weight", "stopped"}},
    {"service", true, {"queue_limit", "queue_timeout"}},
    {"route",
     true,
     {"service",
      "class",
      "idempotent",
      "open",
      "deadline",
      "retry_allowance",
      "objective_percent",
      "objective_latency"}},
    {"workspace", true, {"rate", "burst", "weight"}},
    {"exception", true, {}},
}};

const SectionRule *findRule(std::string_view kind)
{
    const auto rule = std::find_if(SectionRules.begin(), SectionRules.end(), [kind](const SectionRule &candidate) {
        return candidate.kind == kind;
    });
    return rule == SectionRules.end() ? nullptr : &*rule;
}

std::string sectionTitle(const IniSection &section)
{
    return absl::StrCat(section.kind, section.name.empty() ? "" : " ", section.name);
}

template<class Value, class Read>
void readOptional(IniSectionReader &reader, std::string_view name, std::optional<Value> &target, Read read)
{
    Value value{};
    read(value);
    if (reader.has(name)) {
        target = value;
    }
}

void readQueueLimit(IniSectionReader &reader, std::optional<int> &target)
{
    readOptional(reader, "queue_limit", target, [&reader](int &value) {
        reader.readInteger("queue_limit", value, 0, 100'000);
    });
}

bool isValidMethod(const std::string &method)
{
    return method == "*" || (!method.empty() && std::all_of(method.begin(), method.end(), [](char c) {
               return c >= 'A' && c <= 'Z';
           }));
}

} // namespace

bool isConfigName(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), allowed)
        && name.front() != '-' && name.back() != '-';
}

ConfigReader::ConfigReader(std::string_view text, std::string_view file)
    : m_document(IniDocument::parse(text, file, m_problems))
{
}

ConfigParseResult ConfigReader::read()
{
    checkSections();
    readExceptions();
    for (const IniSection &original : m_document.sections()) {
        const IniSection section = withExceptions(original);
        if (section.kind == "defaults") {
            readDefaults(section);
        } else if (section.kind == "zone") {
            readZone(section);
        } else if (section.kind == "service") {
            readService(section);
        } else if (section.kind == "route") {
            readRoute(section);
        } else if (section.kind == "workspace") {
            readWorkspace(section);
        }
    }
    checkRoutes();
    checkZones();
    std::stable_sort(m_problems.begin(), m_problems.end(), [](const TextProblem &left, const TextProblem &right) {
        return left.line < right.line;
    });
    return m_problems.empty() ? ConfigParseResult{std::move(m_config), {}}
                              : ConfigParseResult{std::nullopt, std::move(m_problems)};
}

void ConfigReader::report(int line, std::string message, std::string remedy)
{
    m_problems.push_back({m_document.file(), line, std::move(message), std::move(remedy)});
}

int ConfigReader::lineOf(std::string_view kind, const std::string &name) const
{
    for (const IniSection &section : m_document.sections()) {
        if (section.kind == kind && section.name == name) {
            return section.line;
        }
    }
    return 0;
}

void ConfigReader::checkSections()
{
    std::map<std::string, int> firstLines;
    for (const IniSection &section : m_document.sections()) {
        const SectionRule *rule = findRule(section.kind);
        if (!rule) {
            report(section.line,
                   section.kind.empty() ? "There are entries before the first section."
                                        : absl::StrCat("Section kind \"", section.kind, "\" is unknown."),
                   "Use defaults, zone, service, route, workspace or exception.");
            continue;
        }
        if (rule->takesName && !isConfigName(section.name)) {
            report(section.line,
                   absl::StrCat("\"", section.name, "\" is not a valid name for a ", section.kind, "."),
                   "Use 1 to 40 characters of a-z, 0-9 and -, without - at either end.");
        } else if (!rule->takesName && !section.name.empty()) {
            report(section.line, absl::StrCat("[", section.kind, "] does not take a name."), "Remove the name.");
        }
        if (section.kind == "zone") {
            checkStoppedOnlyByException(section);
        }
        const auto [first, added] = firstLines.try_emplace(sectionTitle(section), section.line);
        if (!added) {
            report(section.line,
                   absl::StrCat(
                       "[", sectionTitle(section), "] is a duplicate of the section at line ", first->second, "."),
                   "Remove or rename one of the sections.");
        }
    }
}

void ConfigReader::readExceptions()
{
    for (const IniSection &section : m_document.sections()) {
        if (section.kind == "exception") {
            readException(section);
        }
    }
}

void ConfigReader::readException(const IniSection &section)
{
    const std::size_t before = m_problems.size();
    IniSectionReader reader(m_document, section, m_problems);
    ConfigException exception;
    exception.name = section.name;
    reader.require("target", "Add target = KIND NAME, e.g. target = workspace north-heating.");
    reader.require("setting", "Add setting = NAME of the setting that differs.");
    reader.require("value", "Add value = VALUE.");
    reader.require("reason", "Add reason = TEXT that explains to other operators why the setting differs.");
    reader.readString("target", exception.target);
    reader.readString("setting", exception.setting);
    reader.readString("value", exception.value);
    reader.readString("reason", exception.reason);
    reader.reportUnknown();
    if (reader.has("reason") && (exception.reason.empty() || exception.reason.size() > MaxReasonLength)) {
        reader.reportAt("reason",
                        absl::StrCat("The reason has ", exception.reason.size(), " characters."),
                        "Write 1 to 400 characters.");
    }
    if (m_problems.size() != before) {
        return;
    }
    const std::pair<std::string, std::string> target = absl::StrSplit(exception.target, absl::MaxSplits(' ', 1));
    const SectionRule *rule = findRule(target.first);
    if (!rule || rule->exceptionSettings[0].empty()) {
        reader.reportAt("target",
                        absl::StrCat("\"", exception.target, "\" is not a valid target."),
                        "Use zone, service, route or workspace and a name.");
        return;
    }
    if (lineOf(target.first, target.second) == 0) {
        reader.reportAt("target",
                        absl::StrCat("Section [", exception.target, "] does not exist."),
                        "Correct the target or add the section.");
        return;
    }
    const auto &settings = rule->exceptionSettings;
    if (exception.setting.empty() || std::find(settings.begin(), settings.end(), exception.setting) == settings.end()) {
        const auto end = std::find(settings.begin(), settings.end(), std::string_view());
        const std::string names = absl::StrJoin(settings.begin(), end, ", ", [](std::string *out, std::string_view s) {
            out->append(s);
        });
        reader.reportAt("setting",
                        absl::StrCat("An exception cannot set \"", exception.setting, "\" of a ", target.first, "."),
                        absl::StrCat("Use one of: ", names, "."));
        return;
    }
    std::vector<IniEntry> &overrides = m_overrides[exception.target];
    const bool alreadySet = std::any_of(overrides.begin(), overrides.end(), [&exception](const IniEntry &entry) {
        return entry.name == exception.setting;
    });
    if (alreadySet) {
        reader.reportAt("setting",
                        absl::StrCat("Another exception sets ", exception.setting, " of ", exception.target, "."),
                        "Remove one of the exceptions.");
        return;
    }
    const auto value = std::find_if(section.entries.begin(), section.entries.end(), [](const IniEntry &entry) {
        return entry.name == "value";
    });
    overrides.push_back({exception.setting, exception.value, value->line});
    m_config.exceptions.push_back(std::move(exception));
}

IniSection ConfigReader::withExceptions(const IniSection &section) const
{
    IniSection merged = section;
    const auto overrides = m_overrides.find(sectionTitle(section));
    if (overrides == m_overrides.end()) {
        return merged;
    }
    // Overrides are inserted first, since the reader uses the first entry of a name. The replaced entry is kept, so its
    // name is still checked, but not its value.
    merged.entries.insert(merged.entries.begin(), overrides->second.begin(), overrides->second.end());
    return merged;
}

void ConfigReader::readDefaults(const IniSection &section)
{
    IniSectionReader reader(m_document, section, m_problems);
    FleetDefaults &defaults = m_config.defaults;
    reader.readDuration("deadline", defaults.deadline, milliseconds(10), minutes(10));
    reader.readInteger("retry_allowance", defaults.retryAllowance, 0, 20);
    reader.readInteger("retry_ratio_percent", defaults.retryRatioPercent, 0, 100);
    reader.readInteger("queue_limit", defaults.queueLimit, 0, 100'000);
    reader.readDuration("queue_timeout", defaults.queueTimeout, milliseconds(1), minutes(1));
    reader.readDuration("deferrable_queue_timeout", defaults.deferrableQueueTimeout, milliseconds(1), minutes(10));
    reader.readDuration("aging_limit", defaults.agingLimit, milliseconds(100), minutes(10));
    reader.readInteger("background_percent", defaults.backgroundPercent, 0, 100);
    // Most nodes receive a message from the platform only every 30 s; a shorter grace period would refuse keys in
    // normal operation.
    reader.readDuration("cutoff_key_grace", defaults.cutoffKeyGrace, seconds(60), hours(24));
    reader.readDuration("claim_retention", defaults.claimRetention, minutes(1), hours(24 * 30));
    reader.readDuration("withdrawal_retention", defaults.withdrawalRetention, hours(1), hours(24 * 90));
    reader.readInteger("shares_per_zone", defaults.sharesPerZone, 1, 64);
    reader.readBool("early_refusal", defaults.earlyRefusal);
    reader.reportUnknown();
    if (defaults.agingLimit >= defaults.deferrableQueueTimeout) {
        reader.reportAt("aging_limit",
                        absl::StrCat("aging_limit (",
                                     formatDuration(defaults.agingLimit),
                                     ") is not below deferrable_queue_timeout (",
                                     formatDuration(defaults.deferrableQueueTimeout),
                                     "), so a deferrable request never ages."),
                        "Lower aging_limit or raise deferrable_queue_timeout.");
    }
}

void ConfigReader::checkStoppedOnlyByException(const IniSection &section)
{
    for (const IniEntry &entry : section.entries) {
        if (entry.name == "stopped") {
            report(entry.line,
                   "stopped can only be set by an exception.",
                   absl::StrCat("Add [exception NAME] with target = ",
                                sectionTitle(section),
                                ", setting = stopped, value = yes and a reason."));
        }
    }
}

void ConfigReader::readZone(const IniSection &section)
{
    IniSectionReader reader(m_document, section, m_problems);
    ZoneConfig zone;
    zone.name = ZoneName(section.name);
    reader.require("region", "Add region = NAME.");
    reader.readString("region", zone.region);
    reader.readInteger("quota_weight", zone.quotaWeight, 1, MaxWeight);
    reader.readBool("stopped", zone.stopped);
    reader.reportUnknown();
    if (reader.has("region") && !isConfigName(zone.region)) {
        reader.reportAt("region", absl::StrCat("\"", zone.region, "\" is not a valid region."), "Use a-z, 0-9 and -.");
    }
    m_config.zones.try_emplace(zone.name, zone);
}

void ConfigReader::readService(const IniSection &section)
{
    IniSectionReader reader(m_document, section, m_problems);
    ServiceConfig service;
    service.name = ServiceName(section.name);
    readQueueLimit(reader, service.queueLimit);
    readOptional(reader, "queue_timeout", service.queueTimeout, [&reader](Duration &value) {
        reader.readDuration("queue_timeout", value, milliseconds(1), minutes(1));
    });
    reader.reportUnknown();
    m_config.services.try_emplace(service.name, service);
}

void ConfigReader::readRoute(const IniSection &section)
{
    IniSectionReader reader(m_document, section, m_problems);
    RouteConfig route;
    route.name = RouteName(section.name);
    reader.require("method", "Add method = GET, POST or another method, or * for any.");
    reader.require("path", "Add path = /PREFIX.");
    reader.require("service", "Add service = NAME of a [service NAME] section.");
    reader.require("class", "Add class = " + PriorityClassNames.list() + ".");
    reader.readString("method", route.method);
    reader.readString("path", route.pathPrefix);
    reader.readString("service", route.service.value);
    reader.readEnum("class", route.priority, PriorityClassNames);
    reader.readBool("idempotent", route.idempotent);
    reader.readBool("open", route.open);
    readOptional(reader, "deadline", route.deadline, [&reader](Duration &value) {
        reader.readDuration("deadline", value, milliseconds(10), minutes(10));
    });
    readOptional(reader, "retry_allowance", route.retryAllowance, [&reader](int &value) {
        reader.readInteger("retry_allowance", value, 0, 20);
    });
    readObjective(reader, route);
    reader.reportUnknown();
    if (reader.has("method") && !isValidMethod(route.method)) {
        reader.reportAt("method",
                        absl::StrCat("\"", route.method, "\" is not a valid method."),
                        "Use upper-case letters, or * for any method.");
    }
    if (reader.has("path") && normalizedPath(route.pathPrefix) != route.pathPrefix) {
        reader.reportAt("path",
                        absl::StrCat("\"", route.pathPrefix, "\" is not a valid path prefix."),
                        "Use /PREFIX without escapes, query, empty segments, \".\" and \"..\".");
    }
    if (reader.has("service") && lineOf("service", route.service.value) == 0) {
        reader.reportAt("service",
                        absl::StrCat("Section [service ", route.service.value, "] does not exist."),
                        "Correct the name or add the section.");
    }
    m_config.routes.try_emplace(route.name, route);
}

void ConfigReader::readObjective(IniSectionReader &reader, RouteConfig &route)
{
    std::string percent;
    reader.readString("objective_percent", percent);
    reader.readDuration("objective_latency", route.objectiveLatency, milliseconds(1), minutes(10));
    if (reader.has("objective_percent")
        && (!absl::SimpleAtod(percent, &route.objectivePercent) || !(route.objectivePercent >= 1)
            || !(route.objectivePercent <= 99.999))) {
        reader.reportAt("objective_percent",
                        absl::StrCat("\"", percent, "\" is not a valid objective."),
                        "Use a percentage from 1 to 99.999, such as 99.9.");
    }
    if (reader.has("objective_latency") && !reader.has("objective_percent")) {
        reader.reportAt("objective_latency",
                        "objective_latency has no effect without objective_percent.",
                        "Add objective_percent = PERCENT, or remove the line.");
    }
}

void ConfigReader::readWorkspace(const IniSection &section)
{
    IniSectionReader reader(m_document, section, m_problems);
    WorkspaceConfig workspace;
    workspace.name = WorkspaceName(section.name);
    reader.require("rate", "Add rate = REQUESTS per second over the whole fleet.");
    reader.require("burst", "Add burst = REQUESTS.");
    reader.readInteger("rate", workspace.ratePerSecond, 1, MaxRequestAmount);
    reader.readInteger("burst", workspace.burst, 1, MaxRequestAmount);
    reader.readInteger("weight", workspace.weight, 1, MaxWeight);
    reader.reportUnknown();
    m_config.workspaces.try_emplace(workspace.name, workspace);
}

void ConfigReader::checkRoutes()
{
    std::map<std::pair<std::string, std::string>, std::string> routesByPath;
    for (const auto &[name, route] : m_config.routes) {
        if (route.method.empty() || route.pathPrefix.empty()) {
            continue; // Reported by readRoute().
        }
        const auto [first, added] = routesByPath.try_emplace({route.method, route.pathPrefix}, name.value);
        if (!added) {
            report(lineOf("route", name.value),
                   absl::StrCat("Routes ", first->second, " and ", name.value, " have the same method and path."),
                   "Change the path or the method of one of them.");
        }
    }
}

void ConfigReader::checkZones()
{
    const auto &zones = m_config.zones;
    const auto isStopped = [](const auto &entry) {
        return entry.second.stopped;
    };
    if (zones.empty()) {
        report(0, "No availability zone is configured.", "Add a section [zone NAME] for each availability zone.");
    } else if (std::all_of(zones.begin(), zones.end(), isStopped)) {
        report(0, "All availability zones are stopped.", "Remove at least one of the exceptions that set stopped.");
    }
}

ConfigParseResult parseFleetConfig(std::string_view text, std::string_view file)
{
    return ConfigReader(text, file).read();
}

} // namespace vanillatack
