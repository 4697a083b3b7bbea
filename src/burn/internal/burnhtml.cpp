#include "base/text.h"
#include "burn/burnreport.h"
#include "burn/internal/burnformat.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

constexpr std::size_t MaxLines = 6; // More lines would be indistinguishable; the table lists all routes.
constexpr double Width = 900;
constexpr double Height = 320;
constexpr double Left = 56;
constexpr double Right = 884;
constexpr double Top = 16;
constexpr double Bottom = 280;
constexpr int TimeTicks = 4;

// The line colors are distinguishable with common color vision deficiencies, and each has a variant for the dark
// scheme. Lines also differ in their dash pattern.
constexpr std::string_view Style = R"css(
:root{color-scheme:light dark;--bg:#fff;--text:#1c2024;--muted:#5b636b;--rule:#d9dee3;--bad:#b3261e;--warn:#8a5a00;
--ok:#1b6e3c;--badbg:#fdecea;--c0:#0b5cad;--c1:#c2410c;--c2:#0f766e;--c3:#8e24aa;--c4:#6b6300;--c5:#4b5563}
@media (prefers-color-scheme:dark){:root{--bg:#14171a;--text:#e6e9ec;--muted:#9aa4ad;--rule:#333a41;--bad:#ff8a80;
--warn:#ffc766;--ok:#7fd6a0;--badbg:#3a1f1d;--c0:#7ab8ff;--c1:#ff9d6b;--c2:#5fd4c8;--c3:#dd9bf0;--c4:#d9cf5c;--c5:#b6bec6}}
*{box-sizing:border-box}
body{margin:0 auto;max-width:1100px;padding:24px 16px;background:var(--bg);color:var(--text);
font:16px/1.5 system-ui,sans-serif}
h1{font-size:1.5rem;margin:0}h2{font-size:1.1rem;margin:28px 0 8px}
p{margin:4px 0;color:var(--muted)}
.missing{background:var(--badbg);color:var(--bad);padding:8px 12px;border-radius:6px;font-weight:600;margin:12px 0}
.scroll{overflow-x:auto}
table{border-collapse:collapse;width:100%;font-size:.9rem}
th,td{padding:6px 10px;border-bottom:1px solid var(--rule);text-align:left;white-space:nowrap}
th{color:var(--muted);font-weight:600}
.n{text-align:right;font-variant-numeric:tabular-nums}
.fast{color:var(--bad);font-weight:700}.slow{color:var(--warn);font-weight:700}.none{color:var(--ok)}
svg{width:100%;height:auto;display:block}
svg text{fill:var(--muted);font:12px system-ui,sans-serif}
.grid{stroke:var(--rule)}.limit{stroke:var(--bad);stroke-dasharray:2 4}
.line{fill:none;stroke-width:2;stroke-linejoin:round}
.legend{display:flex;flex-wrap:wrap;gap:6px 20px;list-style:none;padding:0;margin:8px 0;font-size:.9rem}
.legend svg{width:28px;height:10px;display:inline-block;vertical-align:middle;margin-right:6px}
)css";

constexpr std::string_view Dashes[MaxLines] = {"none", "8 3", "2 3", "10 3 2 3", "5 5", "1 4"};

std::string escaped(const std::string &text)
{
    return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

std::string cell(const std::string &text, std::string_view style = {})
{
    return absl::StrCat(
        "<td", style.empty() ? "" : " class=\"", asAbsl(style), style.empty() ? "" : "\"", ">", escaped(text), "</td>");
}

// Rounds up to 1, 2 or 5 times a power of ten.
double niceStep(double span)
{
    const double power = std::pow(10, std::floor(std::log10(span)));
    for (const double factor : {1.0, 2.0, 5.0}) {
        if (span <= factor * power) {
            return factor * power;
        }
    }
    return 10 * power;
}

/// SVG plot of the used error budget over time.
class BudgetPlot
{
public:
    explicit BudgetPlot(const BurnReport &report)
        : m_report(report)
        , m_lines(std::min(report.routes.size(), MaxLines))
    {
        double highest = 1;
        for (std::size_t i = 0; i < m_lines; ++i) {
            highest = std::max(highest, report.routes[i].budgetUsed);
        }
        m_step = niceStep(highest / 5);
        m_top = m_step * std::ceil(highest / m_step - 1e-9);
    }

    [[nodiscard]] std::string svg() const
    {
        std::string text = absl::StrFormat("<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" aria-label=\"Part of the error "
                                           "budget used over time, one line per route\">",
                                           Width,
                                           Height);
        addBudgetAxis(text);
        addTimeAxis(text);
        for (std::size_t i = 0; i < m_lines; ++i) {
            addLine(text, i);
        }
        return text + "</svg>\n";
    }

    [[nodiscard]] std::string legend() const
    {
        std::string text = "<ul class=\"legend\">";
        for (std::size_t i = 0; i < m_lines; ++i) {
            absl::StrAppend(&text,
                            "<li><svg viewBox=\"0 0 28 10\" aria-hidden=\"true\"><path class=\"line\" d=\"M0 5H28\"",
                            stroke(i),
                            "/></svg>",
                            escaped(m_report.routes[i].objective.route.value),
                            " ",
                            formatPercent(m_report.routes[i].budgetUsed),
                            "</li>");
        }
        return text + "</ul>\n";
    }

    [[nodiscard]] bool showsAll() const
    {
        return m_lines == m_report.routes.size();
    }

private:
    [[nodiscard]] static std::string stroke(std::size_t index)
    {
        return absl::StrCat(" style=\"stroke:var(--c", index, ");stroke-dasharray:", asAbsl(Dashes[index]), "\"");
    }

    [[nodiscard]] double x(std::int64_t minute) const
    {
        const double span = static_cast<double>(std::max<std::int64_t>(1, m_report.nowMinute - m_report.firstMinute));
        return Left + (Right - Left) * static_cast<double>(minute - m_report.firstMinute) / span;
    }

    [[nodiscard]] double y(double used) const
    {
        return Bottom - (Bottom - Top) * used / m_top;
    }

    void addBudgetAxis(std::string &text) const
    {
        for (int i = 0; i * m_step <= m_top + 1e-9; ++i) {
            const double used = i * m_step;
            const bool isLimit = std::abs(used - 1) < 1e-9;
            absl::StrAppendFormat(&text,
                                  "<path class=\"%s\" d=\"M%.0f %.1fH%.0f\"/><text x=\"%.0f\" y=\"%.1f\" "
                                  "text-anchor=\"end\">%.0f%%</text>",
                                  isLimit ? "limit" : "grid",
                                  Left,
                                  y(used),
                                  Right,
                                  Left - 8,
                                  y(used) + 4,
                                  used * 100);
        }
    }

    void addTimeAxis(std::string &text) const
    {
        const std::int64_t span = m_report.nowMinute - m_report.firstMinute;
        for (int i = 0; i <= TimeTicks; ++i) {
            const std::int64_t minute = m_report.firstMinute + span * i / TimeTicks;
            const char *anchor = i == 0 ? "start" : i == TimeTicks ? "end" : "middle";
            // Omits the year and the time zone, which the page shows above the plot.
            absl::StrAppendFormat(&text,
                                  "<text x=\"%.1f\" y=\"%.0f\" text-anchor=\"%s\">%s</text>",
                                  x(minute),
                                  Bottom + 24,
                                  anchor,
                                  formatMinute(minute).substr(5, 11));
            if (span == 0) {
                break;
            }
        }
    }

    void addLine(std::string &text, std::size_t index) const
    {
        const RouteBurn &route = m_report.routes[index];
        if (route.history.empty()) {
            return;
        }
        std::string path;
        for (const BurnPoint &point : route.history) {
            absl::StrAppendFormat(&path, "%s%.1f %.1f", path.empty() ? "M" : "L", x(point.minute), y(point.budgetUsed));
        }
        absl::StrAppend(&text,
                        "<path class=\"line\" d=\"",
                        path,
                        "\"",
                        stroke(index),
                        "><title>",
                        escaped(route.objective.route.value),
                        "</title></path>");
    }

    const BurnReport &m_report;
    std::size_t m_lines;
    double m_step = 0;
    double m_top = 1;
};

std::string routeTable(const BurnReport &report)
{
    std::string text =
        "<div class=\"scroll\"><table><thead><tr><th>Route</th><th>Objective</th><th class=\"n\">Good</th>"
        "<th class=\"n\">Bad</th><th class=\"n\">Budget used</th><th class=\"n\">5m</th>"
        "<th class=\"n\">1h</th><th class=\"n\">6h</th><th class=\"n\">3d</th><th>Alert</th>"
        "<th>Worst workspace</th></tr></thead><tbody>\n";
    for (const RouteBurn &route : report.routes) {
        absl::StrAppend(&text,
                        "<tr>",
                        cell(route.objective.route.value),
                        cell(objectiveText(route.objective)),
                        cell(absl::StrCat(route.good), "n"),
                        cell(absl::StrCat(route.bad), "n"),
                        cell(formatPercent(route.budgetUsed), "n"));
        for (const BurnWindow &window : route.windows) {
            absl::StrAppend(&text, cell(formatBurnRate(window.burnRate), "n"));
        }
        const std::string_view style = route.fastAlert ? "fast" : route.slowAlert ? "slow" : "none";
        absl::StrAppend(&text, cell(alertText(route), style), cell(worstWorkspaceText(route)), "</tr>\n");
    }
    return text + "</tbody></table></div>\n";
}

std::string contributorTable(const BurnReport &report)
{
    std::string rows;
    for (const RouteBurn &route : report.routes) {
        for (const BurnContributor &contributor : route.contributors) {
            absl::StrAppend(&rows,
                            "<tr>",
                            cell(route.objective.route.value),
                            cell(contributorName(contributor.kind)),
                            cell(absl::StrCat(contributor.count), "n"),
                            cell(formatPercent(contributor.shareOfBad), "n"),
                            "</tr>\n");
        }
    }
    if (rows.empty()) {
        return "<p>No request was bad in this period.</p>\n";
    }
    return "<div class=\"scroll\"><table><thead><tr><th>Route</th><th>Kind</th><th class=\"n\">Requests</th>"
           "<th class=\"n\">Of bad requests</th></tr></thead><tbody>\n"
        + rows + "</tbody></table></div>\n";
}

} // namespace

std::string renderBurnHtml(const BurnReport &report)
{
    std::string page = absl::StrCat("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                                    "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">"
                                    "<title>Error budgets</title><style>",
                                    asAbsl(Style),
                                    "</style></head><body>\n<h1>Error budgets</h1>\n<p>",
                                    periodText(report),
                                    "</p>\n");
    if (!report.missingZones.empty()) {
        absl::StrAppend(&page, "<p class=\"missing\">", escaped(missingZonesText(report)), "</p>\n");
    }
    if (report.routes.empty()) {
        return page + "<p>No route has an objective.</p>\n</body></html>\n";
    }
    const BudgetPlot plot(report);
    absl::StrAppend(&page,
                    "<h2>Error budget used</h2>\n",
                    plot.svg(),
                    plot.legend(),
                    plot.showsAll() ? "" : "<p>The six routes that used most are drawn.</p>\n",
                    "<h2>Routes</h2>\n",
                    routeTable(report),
                    "<p>5m to 3d: burn rates; 1.00 uses the budget up in 30 days. Alerts: fast when 5m and 1h reach "
                    "14.40, slow when 6h and 3d reach 1.00.</p>\n<h2>Bad requests by kind</h2>\n",
                    contributorTable(report),
                    "</body></html>\n");
    return page;
}

} // namespace vanillatack
