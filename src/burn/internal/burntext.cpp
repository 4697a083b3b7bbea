#include "base/inidocument.h"
#include "base/texttable.h"
#include "burn/burnreport.h"
#include "burn/internal/burnformat.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

namespace vanillatack {

namespace {

using nlohmann::json;

json workspaceJson(const std::optional<WorkspaceBurn> &workspace)
{
    if (!workspace) {
        return nullptr;
    }
    return {{"workspace", workspace->workspace.value},
            {"good", workspace->good},
            {"bad", workspace->bad},
            {"badShare", workspace->badShare}};
}

json routeJson(const RouteBurn &route)
{
    json windows = json::array();
    for (const BurnWindow &window : route.windows) {
        windows.push_back({{"window", window.name},
                           {"minutes", window.minutes},
                           {"good", window.good},
                           {"bad", window.bad},
                           {"burnRate", window.burnRate}});
    }
    json contributors = json::array();
    for (const BurnContributor &contributor : route.contributors) {
        contributors.push_back({{"kind", contributorName(contributor.kind)},
                                {"count", contributor.count},
                                {"shareOfBad", contributor.shareOfBad}});
    }
    return {{"route", route.objective.route.value},
            {"objectivePercent", route.objective.percent},
            {"objectiveLatencyMs", route.objective.latency / std::chrono::milliseconds(1)},
            {"good", route.good},
            {"bad", route.bad},
            {"budgetUsed", route.budgetUsed},
            {"windows", std::move(windows)},
            {"fastAlert", route.fastAlert},
            {"slowAlert", route.slowAlert},
            {"worstWorkspace", workspaceJson(route.worstWorkspace)},
            {"contributors", std::move(contributors)}};
}

std::string contributorLine(const RouteBurn &route)
{
    return absl::StrJoin(route.contributors, ", ", [](std::string *out, const BurnContributor &contributor) {
        absl::StrAppend(out,
                        contributorName(contributor.kind),
                        " ",
                        contributor.count,
                        " (",
                        formatPercent(contributor.shareOfBad),
                        ")");
    });
}

} // namespace

std::string formatPercent(double fraction)
{
    // Shares of bad requests are small and need more digits than budget fractions.
    const int digits = fraction == 0 || fraction >= 0.1 ? 1 : fraction >= 0.001 ? 2 : 4;
    return absl::StrFormat("%.*f%%", digits, fraction * 100);
}

std::string formatBurnRate(double burnRate)
{
    return absl::StrFormat("%.2f", burnRate);
}

std::string objectiveText(const Objective &objective)
{
    const bool anyTime = objective.latency == Duration::zero();
    return absl::StrCat(
        objective.percent, "%", anyTime ? "" : " in ", anyTime ? "" : formatDuration(objective.latency));
}

std::string alertText(const RouteBurn &route)
{
    if (route.fastAlert) {
        return route.slowAlert ? "fast, slow" : "fast";
    }
    return route.slowAlert ? "slow" : "none";
}

std::string worstWorkspaceText(const RouteBurn &route)
{
    if (!route.worstWorkspace) {
        return "-";
    }
    return absl::StrCat(
        route.worstWorkspace->workspace.value, " (", formatPercent(route.worstWorkspace->badShare), " bad)");
}

std::string missingZonesText(const BurnReport &report)
{
    if (report.missingZones.empty()) {
        return {};
    }
    const auto append = [](std::string *out, const ZoneName &zone) {
        out->append(zone.value);
    };
    return absl::StrCat("INCOMPLETE: no figures from ", absl::StrJoin(report.missingZones, ", ", append), ".");
}

std::string periodText(const BurnReport &report)
{
    return absl::StrCat(formatMinute(report.firstMinute), " to ", formatMinute(report.nowMinute));
}

std::string renderBurnText(const BurnReport &report)
{
    std::string text = absl::StrCat("Error budgets, ", periodText(report), "\n");
    if (!report.missingZones.empty()) {
        absl::StrAppend(&text, missingZonesText(report), "\n");
    }
    if (report.routes.empty()) {
        return text + "\nNo route has an objective. Set objective_percent in a [route NAME] section.\n";
    }
    TextTable table(
        {"route", "objective", "good", "bad", "budget used", "5m", "1h", "6h", "3d", "alert", "worst workspace"});
    for (const RouteBurn &route : report.routes) {
        std::vector<std::string> cells = {route.objective.route.value,
                                          objectiveText(route.objective),
                                          absl::StrCat(route.good),
                                          absl::StrCat(route.bad),
                                          formatPercent(route.budgetUsed)};
        for (const BurnWindow &window : route.windows) {
            cells.push_back(formatBurnRate(window.burnRate));
        }
        cells.push_back(alertText(route));
        cells.push_back(worstWorkspaceText(route));
        table.addRow(std::move(cells));
    }
    absl::StrAppend(&text, "\n", table.text(), "\n5m to 3d: burn rates; 1.00 uses the budget up in 30 days.\n");
    absl::StrAppend(&text, "Alerts: fast when 5m and 1h reach 14.40, slow when 6h and 3d reach 1.00.\n");
    for (const RouteBurn &route : report.routes) {
        if (!route.contributors.empty()) {
            absl::StrAppend(&text, "Bad requests of ", route.objective.route.value, ": ", contributorLine(route), "\n");
        }
    }
    return text;
}

std::string renderBurnJson(const BurnReport &report)
{
    json missing = json::array();
    for (const ZoneName &zone : report.missingZones) {
        missing.push_back(zone.value);
    }
    json routes = json::array();
    for (const RouteBurn &route : report.routes) {
        routes.push_back(routeJson(route));
    }
    const json document = {{"from", formatMinute(report.firstMinute)},
                           {"to", formatMinute(report.nowMinute)},
                           {"complete", report.missingZones.empty()},
                           {"missingZones", std::move(missing)},
                           {"routes", std::move(routes)}};
    return document.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace vanillatack
