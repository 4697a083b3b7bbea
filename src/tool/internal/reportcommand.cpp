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

// Ranges of minutes that are asked for one by one, so that an answer stays small at the node: hours while there are
// single minutes, then days. The latest has no end, since the clock of the node may be ahead.
std::vector<BurnQuery> slicesOf(std::int64_t nowMinute)
{
    const std::int64_t cut = minuteResolutionStart(nowMinute);
    std::vector<BurnQuery> slices;
    std::int64_t end = std::numeric_limits<std::int64_t>::max();
    for (std::int64_t from = nowMinute - nowMinute % HourMinutes; from >= cut; from -= HourMinutes) {
        slices.push_back({from, end});
        end = from - 1;
    }
    while (end > nowMinute - BudgetMinutes) {
        slices.push_back({end + 1 - DayMinutes, end});
        end -= DayMinutes;
    }
    return slices;
}

Result<BurnFigures> readFigures(const AdminClient &client, std::int64_t nowMinute)
{
    std::optional<BurnFigures> all;
    for (const BurnQuery &slice : slicesOf(nowMinute)) {
        auto figures =
            client.read<BurnFigures>(absl::StrCat("/v1/burn?from=", slice.fromMinute, "&to=", slice.toMinute));
        if (!figures) {
            return figures.error();
        }
        if (!all) {
            all = std::move(figures.value());
            continue;
        }
        all->buckets.merge(figures.value().buckets);
        for (const ZoneName &zone : figures.value().missingZones) {
            if (std::find(all->missingZones.begin(), all->missingZones.end(), zone) == all->missingZones.end()) {
                all->missingZones.push_back(zone);
            }
        }
    }
    return *all;
}

ExitStatus writeReport(const ToolContext &context, const std::string &htmlFile)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.fail(client.error());
    }
    const auto sinceEpoch = context.environment.clock.wallNow().time_since_epoch();
    const Result<BurnFigures> figures =
        readFigures(client.value(), std::chrono::floor<std::chrono::minutes>(sinceEpoch).count());
    if (!figures) {
        return context.fail(figures.error());
    }
    const BurnFigures &value = figures.value();
    const BurnReport report =
        makeBurnReport({value.buckets.totals(), value.objectives, value.nowMinute, value.missingZones});
    context.environment.out << (context.wantsJson() ? renderBurnJson(report) : renderBurnText(report));
    if (!htmlFile.empty()) {
        std::ofstream file(htmlFile, std::ios::binary);
        file << renderBurnHtml(report) << std::flush;
        if (!file) {
            return context.fail(makeError(ErrorKind::InvalidArgument,
                                          "The file " + htmlFile + " cannot be written.",
                                          "Check its directory and rights."));
        }
        context.environment.err << "The page is in " << htmlFile << ".\n";
    }
    return value.missingZones.empty() ? ExitStatus::Done : ExitStatus::Partly;
}

} // namespace

void addReportCommand(CLI::App &app, ToolContext &context)
{
    const auto htmlFile = std::make_shared<std::string>();
    CLI::App *report = app.add_subcommand("report", "Show the error budgets of the routes and how fast they burn");
    report->add_option("--html", *htmlFile, "Also write one HTML page with a plot to this file");
    report->footer("Examples:\n  vanillatack report\n  vanillatack report --html budgets.html\n"
                   "  vanillatack report --output json\n"
                   "The exit status is 5 when figures of some availability zones are missing; the report names them.");
    report->callback([&context, htmlFile] {
        context.command = [&context, htmlFile] {
            return writeReport(context, *htmlFile);
        };
    });
}

} // namespace vanillatack
