#pragma once

#include "burn/burncollection.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// Error budget period, in minutes.
inline constexpr std::int64_t BudgetMinutes = 30LL * 24 * 60;

/// Alert thresholds of the multiwindow, multi-burn-rate method (The Site Reliability Workbook, chapter 5) for a period
/// of 30 days: a burn rate of 14.4 uses 2% of the budget in 1 h, a burn rate of 1 uses 10% in 3 d. An alert requires
/// both windows: the long one starts it, and the short one ends it soon after the cause is gone.
inline constexpr double FastBurnThreshold = 14.4; ///< Burn rate for the 5 min and 1 h windows.
inline constexpr double SlowBurnThreshold = 1.0; ///< Burn rate for the 6 h and 3 d windows.

struct BurnReportInput {
    std::vector<BurnBucket> totals;
    std::vector<Objective> objectives;
    std::int64_t nowMinute = 0; ///< Minutes since the epoch; later buckets are ignored.
    std::vector<ZoneName> missingZones; ///< Availability zones whose counts could not be collected.
};

struct BurnWindow {
    std::string name; ///< "5m", "1h", "6h" or "3d".
    std::int64_t minutes = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double burnRate = 0; ///< Share of bad requests divided by the share that the objective allows.
};

struct WorkspaceBurn {
    WorkspaceName workspace;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double badShare = 0; ///< 0 to 1.
};

struct BurnContributor {
    RefusalKind kind = RefusalKind::None; ///< None: answered, but late or with a server error.
    std::uint64_t count = 0;
    double shareOfBad = 0; ///< 0 to 1.
};

/// Point of the budget plot.
struct BurnPoint {
    std::int64_t minute = 0;
    double budgetUsed = 0; ///< Fraction of the error budget used by the end of the minute.
};

struct RouteBurn {
    Objective objective;
    std::uint64_t good = 0; ///< Good requests in the period.
    std::uint64_t bad = 0; ///< Bad requests in the period.
    double budgetUsed = 0; ///< Fraction of the period's error budget; above 1 when it is exceeded.
    std::vector<BurnWindow> windows; ///< In this order: 5 min, 1 h, 6 h, 3 d.
    bool fastAlert = false;
    bool slowAlert = false;
    std::optional<WorkspaceBurn> worstWorkspace; ///< Workspace with the highest share of bad requests in the period.
    std::vector<BurnContributor> contributors; ///< Largest first, at most 5.
    std::vector<BurnPoint> history; ///< At most 200 points.
};

struct BurnReport {
    std::int64_t nowMinute = 0;
    std::int64_t firstMinute = 0; ///< Start of the period: 30 days ago, or later if the data begins later.
    std::vector<RouteBurn> routes; ///< Largest budgetUsed first.
    std::vector<ZoneName> missingZones;
};

/// Computes the report for the routes that have an objective.
BurnReport makeBurnReport(const BurnReportInput &input);

std::string renderBurnText(const BurnReport &report);
std::string renderBurnJson(const BurnReport &report);

/// Renders a self-contained HTML page with a light and a dark color scheme.
std::string renderBurnHtml(const BurnReport &report);

/// Formats a minute as "2026-01-31 09:05 UTC".
std::string formatMinute(std::int64_t minute);

/// Name of a contributor; "late-or-failed-answer" for RefusalKind::None.
std::string contributorName(RefusalKind kind);

} // namespace vanillatack
