#include "burn/burnreport.h"

#include <algorithm>
#include <ctime>

namespace vanillatack {

namespace {

constexpr std::size_t MaxContributors = 5;
constexpr std::int64_t MaxPoints = 200;

struct WindowRule {
    const char *name;
    std::int64_t minutes;
};

constexpr WindowRule WindowRules[] = {{"5m", 5}, {"1h", 60}, {"6h", 360}, {"3d", 4320}};

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double allowedShare(const Objective &objective)
{
    return 1 - objective.percent / 100;
}

using Buckets = std::vector<const BurnBucket *>;

BurnWindow windowOf(const WindowRule &rule, const Buckets &buckets, std::int64_t nowMinute, const Objective &objective)
{
    BurnWindow window{rule.name, rule.minutes, 0, 0, 0};
    for (const BurnBucket *bucket : buckets) {
        if (bucket->minute > nowMinute - rule.minutes) {
            window.good += bucket->good;
            window.bad += bucket->bad;
        }
    }
    window.burnRate = share(window.bad, window.good + window.bad) / allowedShare(objective);
    return window;
}

std::optional<WorkspaceBurn> findWorstWorkspace(const Buckets &buckets)
{
    std::map<WorkspaceName, WorkspaceBurn> workspaces;
    for (const BurnBucket *bucket : buckets) {
        WorkspaceBurn &workspace = workspaces[bucket->workspace];
        workspace.workspace = bucket->workspace;
        workspace.good += bucket->good;
        workspace.bad += bucket->bad;
        workspace.badShare = share(workspace.bad, workspace.good + workspace.bad);
    }
    std::optional<WorkspaceBurn> worst;
    for (const auto &[name, workspace] : workspaces) {
        if (workspace.bad > 0 && (!worst || workspace.badShare > worst->badShare)) {
            worst = workspace;
        }
    }
    return worst;
}

std::vector<BurnContributor> contributorsOf(const Buckets &buckets, std::uint64_t bad)
{
    std::map<RefusalKind, std::uint64_t> counts;
    for (const BurnBucket *bucket : buckets) {
        for (const auto &[kind, count] : bucket->refusals) {
            counts[kind] += count;
        }
    }
    std::vector<BurnContributor> contributors;
    for (const auto &[kind, count] : counts) {
        contributors.push_back({kind, count, share(count, bad)});
    }
    std::stable_sort(contributors.begin(), contributors.end(), [](const auto &left, const auto &right) {
        return left.count > right.count;
    });
    contributors.resize(std::min(contributors.size(), MaxContributors));
    return contributors;
}

std::vector<BurnPoint> historyOf(const Buckets &buckets, const BurnReport &report, double budget)
{
    const std::int64_t span = report.nowMinute - report.firstMinute + 1;
    const std::int64_t step = std::max<std::int64_t>(1, (span + MaxPoints - 2) / (MaxPoints - 1));
    std::vector<BurnPoint> points;
    std::uint64_t bad = 0;
    auto bucket = buckets.begin();
    for (std::int64_t minute = report.firstMinute; budget > 0; minute = std::min(minute + step, report.nowMinute)) {
        for (; bucket != buckets.end() && (*bucket)->minute <= minute; ++bucket) {
            bad += (*bucket)->bad;
        }
        points.push_back({minute, static_cast<double>(bad) / budget});
        if (minute == report.nowMinute) {
            break;
        }
    }
    return points;
}

RouteBurn routeBurnOf(const Objective &objective, const Buckets &buckets, const BurnReport &report)
{
    RouteBurn route;
    route.objective = objective;
    for (const BurnBucket *bucket : buckets) {
        route.good += bucket->good;
        route.bad += bucket->bad;
    }
    const double budget = allowedShare(objective) * static_cast<double>(route.good + route.bad);
    route.budgetUsed = budget > 0 ? static_cast<double>(route.bad) / budget : 0;
    for (const WindowRule &rule : WindowRules) {
        route.windows.push_back(windowOf(rule, buckets, report.nowMinute, objective));
    }
    const auto bothReach = [&route](std::size_t first, std::size_t second, double threshold) {
        return route.windows[first].burnRate >= threshold && route.windows[second].burnRate >= threshold;
    };
    route.fastAlert = bothReach(0, 1, FastBurnThreshold);
    route.slowAlert = bothReach(2, 3, SlowBurnThreshold);
    route.worstWorkspace = findWorstWorkspace(buckets);
    route.contributors = contributorsOf(buckets, route.bad);
    route.history = historyOf(buckets, report, budget);
    return route;
}

} // namespace

BurnReport makeBurnReport(const BurnReportInput &input)
{
    BurnReport report;
    report.nowMinute = input.nowMinute;
    report.firstMinute = input.nowMinute;
    report.missingZones = input.missingZones;
    std::map<RouteName, Buckets> byRoute;
    for (const BurnBucket &bucket : input.totals) {
        if (bucket.minute <= input.nowMinute && bucket.minute > input.nowMinute - BudgetMinutes) {
            byRoute[bucket.route].push_back(&bucket);
            report.firstMinute = std::min(report.firstMinute, bucket.minute);
        }
    }
    for (auto &[name, buckets] : byRoute) {
        std::stable_sort(buckets.begin(), buckets.end(), [](const BurnBucket *left, const BurnBucket *right) {
            return left->minute < right->minute;
        });
    }
    for (const Objective &objective : input.objectives) {
        if (objective.percent > 0 && objective.percent < 100) {
            report.routes.push_back(routeBurnOf(objective, byRoute[objective.route], report));
        }
    }
    std::stable_sort(report.routes.begin(), report.routes.end(), [](const RouteBurn &left, const RouteBurn &right) {
        return left.budgetUsed > right.budgetUsed;
    });
    return report;
}

std::string formatMinute(std::int64_t minute)
{
    const std::time_t seconds = minute * 60;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[64];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M UTC", &parts);
    return {text, length};
}

std::string contributorName(RefusalKind kind)
{
    return kind == RefusalKind::None ? "late-or-failed-answer" : std::string(RefusalKindNames.name(kind));
}

} // namespace vanillatack
