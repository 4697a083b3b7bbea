#include "base/clock.h"
#include "burn/burnreport.h"
#include "tool/internal/toolcontext.h"

#include <absl/strings/str_cat.h>

#include <fstream>

namespace vanillatack {

namespace {

ExitStatus writeReport(const ToolContext &context, const std::string &htmlFile)
{
    const Result<AdminClient> client = context.client();
    if (!client) {
        return context.fail(client.error());
    }
    const auto sinceEpoch = SystemClock().wallNow().time_since_epoch();
    const std::int64_t from = std::chrono::floor<std::chrono::minutes>(sinceEpoch).count() - BudgetMinutes;
    const auto figures = client.value().read<BurnFigures>(absl::StrCat("/v1/burn?from=", from));
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
