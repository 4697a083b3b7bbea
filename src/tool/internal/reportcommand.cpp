#include "burn/burnreport.h"
#include "tool/internal/toolcontext.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <limits>

namespace vanillatack {

namespace {

constexpr std::int64_t HourMinutes = 60;
constexpr std::int64_t DayMinutes = 24 * HourMinutes;

// Returns the ranges of minutes to query one by one, so that each response of the node stays small: one per hour where
// buckets are minutes, then one per day. The latest range is open-ended, since the node's clock may be ahead.
std::vector<BurnQuery> queryRanges(std::int64_t nowMinute)
{
    const std::int64_t firstMinute = minuteResolutionStart(nowMinute);
    std::vector<BurnQuery> ranges;
    std::int64_t end = std::numeric_limits<std::int64_t>::max();
    for (std::int64_t from = nowMinute - nowMinute % HourMinutes; from >= firstMinute; from -= HourMinutes) {
        ranges.push_back({from, end});
        end = from - 1;
    }
    while (end > nowMinute - BudgetMinutes) {
        ranges.push_back({end + 1 - DayMinutes, end});
        end -= DayMinutes;
    }
    return ranges;
}

Result<BurnFigures> readFigures(const AdminClient &client, std::int64_t nowMinute)
{
    std::optional<BurnFigures> merged;
    for (const BurnQuery &range : queryRanges(nowMinute)) {
        auto figures =
            client.read<BurnFigures>(absl::StrCat("/v1/burn?from=", range.fromMinute, "&to=", range.toMinute));
        if (!figures) {
            return figures.error();
        }
        if (!merged) {
            merged = std::move(figures.value());
            continue;
        }
        merged->buckets.merge(figures.value().buckets);
        for (const ZoneName &zone : figures.value().missingZones) {
            if (std::find(merged->missingZones.begin(), merged->missingZones.end(), zone)
                == merged->missingZones.end()) {
                merged->missingZones.push_back(zone);
            }
        }
    }
    return *merged;
}

ExitStatus writeReport(const ToolContext &context, const std::string &htmlFile)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.reportError(client.error());
    }
    const auto sinceEpoch = context.environment.clock.wallNow().time_since_epoch();
    const Result<BurnFigures> figures =
        readFigures(client.value(), std::chrono::floor<std::chrono::minutes>(sinceEpoch).count());
    if (!figures) {
        return context.reportError(figures.error());
    }
    const BurnFigures &value = figures.value();
    const BurnReport report =
        makeBurnReport({value.buckets.totals(), value.objectives, value.nowMinute, value.missingZones});
    context.environment.out << (context.wantsJson() ? renderBurnJson(report) : renderBurnText(report));
    if (!htmlFile.empty()) {
        std::ofstream file(htmlFile, std::ios::binary);
        file << renderBurnHtml(report) << std::flush;
        if (!file) {
            return context.reportError(makeError(ErrorKind::InvalidArgument,
                                                 "The file " + htmlFile + " cannot be written.",
                                                 "Check that its directory exists and its permissions."));
        }
        context.environment.err << "Wrote the HTML report to " << htmlFile << ".\n";
    }
    return value.missingZones.empty() ? ExitStatus::Success : ExitStatus::Partial;
}

} // namespace

void addReportCommand(CLI::App &app, ToolContext &context)
{
    const auto htmlFile = std::make_shared<std::string>();
    CLI::App *report = app.add_subcommand("report", "Show the error budgets of the routes and their burn rates");
    report->add_option("--html", *htmlFile, "Also write the report as an HTML page with a plot to this file");
    report->footer("Examples:\n  vanillatack report\n  vanillatack report --html budgets.html\n"
                   "  vanillatack report --output json\n"
                   "The exit status is 5 if figures of some availability zones are missing; the report lists them.");
    report->callback([&context, htmlFile] {
        context.command = [&context, htmlFile] {
            return writeReport(context, *htmlFile);
        };
    });
}

} // namespace vanillatack
