#pragma once

#include "burn/burncollection.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// Period of the error budget.
inline constexpr std::int64_t BudgetMinutes = 30LL * 24 * 60;

/// Alert thresholds of the multiwindow, multi-burn-rate method (The Site Reliability Workbook, chapter 5) for a period
/// of 30 days: 14.4 uses 2% of the budget in 1 h, 1 uses 10% in 3 d. An alert needs both windows, so that it starts
/// with the long one and ends soon after the cause with the short one.
inline constexpr double FastBurnThreshold = 14.4; ///< 5 min and 1 h.
inline constexpr double SlowBurnThreshold = 1.0; ///< 6 h and 3 d.

/// What the report is made of.
struct BurnReportInput {
    std::vector<BurnBucket> totals;
    std::vector<Objective> objectives;
    std::int64_t nowMinute = 0; ///< Minutes since the epoch; later buckets are left out.
    std::vector<ZoneName> missingZones; ///< Availability zones whose figures could not be collected.
};

struct BurnWindow {
    std::string name; ///< "5m", "1h", "6h" or "3d".
    std::int64_t minutes = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double burnRate = 0; ///< Share of bad requests, relative to the share that the objective allows.
};

struct WorkspaceBurn {
    WorkspaceName workspace;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double badShare = 0; ///< 0 to 1.
};

struct BurnContributor {
    RefusalKind kind = RefusalKind::None; ///< None: answered, but too late or with a server error.
    std::uint64_t count = 0;
    double shareOfBad = 0; ///< 0 to 1.
};

/// A point of the plot: part of the error budget that was used up to the end of the minute.
struct BurnPoint {
    std::int64_t minute = 0;
    double budgetUsed = 0;
};

struct RouteBurn {
    Objective objective;
    std::uint64_t good = 0; ///< Over the period.
    std::uint64_t bad = 0;
    double budgetUsed = 0; ///< 1 when all of the period's budget is used.
    std::vector<BurnWindow> windows; ///< 5 min, 1 h, 6 h, 3 d.
    bool fastAlert = false;
    bool slowAlert = false;
    std::optional<WorkspaceBurn> worstWorkspace; ///< Highest share of bad requests over the period.
    std::vector<BurnContributor> contributors; ///< Largest first, at most 5.
    std::vector<BurnPoint> history; ///< At most 200 points.
};

struct BurnReport {
    std::int64_t nowMinute = 0;
    std::int64_t firstMinute = 0; ///< Start of the period: 30 days, or less when the data begins later.
    std::vector<RouteBurn> routes; ///< Largest budgetUsed first.
    std::vector<ZoneName> missingZones;
};

/// Computes the report. Routes without an objective are left out.
BurnReport makeBurnReport(const BurnReportInput &input);

std::string renderBurnText(const BurnReport &report);
std::string renderBurnJson(const BurnReport &report);

/// One HTML page without references to other files, for light and dark screens.
std::string renderBurnHtml(const BurnReport &report);

/// "2026-01-31 09:05 UTC".
std::string formatMinute(std::int64_t minute);

/// Name of a contributor; "late-or-failed-answer" for RefusalKind::None.
std::string contributorName(RefusalKind kind);

} // namespace vanillatack
