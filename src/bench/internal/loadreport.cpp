#include "bench/loadreport.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace vanillatack {

namespace {

constexpr std::chrono::milliseconds StepLength{100};
constexpr std::size_t RecoveryWindowSteps = 5; ///< 0.5 s, so that a single good step does not count as recovery.
constexpr double RecoveredFraction = 0.95;
constexpr const char *TotalGroup = "total";

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration percentile(const std::vector<Duration> &sorted, double fraction)
{
    if (sorted.empty()) {
        return Duration::zero();
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

LoadGroupReport summarizeGroup(const LoadPlan &plan, const std::string &group, const std::vector<LoadSample> &samples)
{
    LoadGroupReport report;
    report.group = group;
    std::vector<Duration> latencies;
    for (const LoadSample &sample : samples) {
        const bool member = group == TotalGroup || plan.streams[sample.stream].group == group;
        if (!member || sample.startedAt < plan.warmup) {
            continue;
        }
        ++report.requests;
        report.tries += static_cast<std::uint64_t>(sample.tries);
        report.wrongAnswers += sample.kind == "wrong-answer" ? 1 : 0;
        if (sample.succeeded) {
            ++report.succeeded;
            latencies.push_back(sample.latency);
        } else {
            ++report.failures[sample.kind.empty() ? "late" : sample.kind];
        }
    }
    std::sort(latencies.begin(), latencies.end());
    report.p50 = percentile(latencies, 0.50);
    report.p99 = percentile(latencies, 0.99);
    const double seconds = std::chrono::duration<double>(plan.duration - plan.warmup).count();
    report.goodputPerSecond = static_cast<double>(report.succeeded) / seconds;
    return report;
}

/// Goodput per second in each step, by the time of the response.
std::vector<double> makeSeries(const LoadPlan &plan, const std::vector<LoadSample> &samples)
{
    std::vector<double> series(static_cast<std::size_t>(plan.duration / StepLength) + 1, 0.0);
    for (const LoadSample &sample : samples) {
        const auto step = static_cast<std::size_t>((sample.startedAt + sample.latency) / StepLength);
        if (sample.succeeded && step < series.size()) {
            series[step] += 1.0 / std::chrono::duration<double>(StepLength).count();
        }
    }
    return series;
}

double average(const std::vector<double> &series, std::size_t from, std::size_t until)
{
    const std::size_t end = std::min(until, series.size());
    if (from >= end) {
        return 0;
    }
    const double sum = std::accumulate(
        series.begin() + static_cast<std::ptrdiff_t>(from), series.begin() + static_cast<std::ptrdiff_t>(end), 0.0);
    return sum / static_cast<double>(end - from);
}

std::optional<Duration> findRecovery(const LoadPlan &plan, const std::vector<double> &series)
{
    if (plan.recoveryFrom == Duration::zero()) {
        return std::nullopt;
    }
    const auto first = static_cast<std::size_t>(plan.warmup / StepLength);
    const double reference = average(series, first, static_cast<std::size_t>(plan.baselineUntil / StepLength));
    const auto begin = static_cast<std::size_t>(plan.recoveryFrom / StepLength);
    for (std::size_t step = begin; step + RecoveryWindowSteps <= series.size(); ++step) {
        if (average(series, step, step + RecoveryWindowSteps) >= RecoveredFraction * reference) {
            return (step - begin) * Duration(StepLength);
        }
    }
    return std::nullopt;
}

} // namespace

LoadReport summarize(const LoadPlan &plan, const std::vector<LoadSample> &samples)
{
    LoadReport report;
    std::vector<std::string> names;
    for (const LoadStream &stream : plan.streams) {
        if (std::find(names.begin(), names.end(), stream.group) == names.end()) {
            names.push_back(stream.group);
        }
    }
    names.emplace_back(TotalGroup);
    for (const std::string &name : names) {
        report.groups.push_back(summarizeGroup(plan, name, samples));
    }
    report.goodputSeries = makeSeries(plan, samples);
    report.recovery = findRecovery(plan, report.goodputSeries);
    return report;
}

std::string formatReport(const LoadReport &report)
{
    std::string text = absl::StrFormat("%-18s %9s %9s %8s %10s %7s %9s %9s  %s\n",
                                       "group",
                                       "requests",
                                       "succeeded",
                                       "share",
                                       "goodput/s",
                                       "tries",
                                       "p50 ms",
                                       "p99 ms",
                                       "failures");
    for (const LoadGroupReport &group : report.groups) {
        const double requests = std::max<double>(1.0, static_cast<double>(group.requests));
        absl::StrAppendFormat(&text,
                              "%-18s %9d %9d %7.2f%% %10.1f %7.2f %9.2f %9.2f ",
                              group.group,
                              group.requests,
                              group.succeeded,
                              100.0 * static_cast<double>(group.succeeded) / requests,
                              group.goodputPerSecond,
                              static_cast<double>(group.tries) / requests,
                              milliseconds(group.p50),
                              milliseconds(group.p99));
        for (const auto &[kind, count] : group.failures) {
            absl::StrAppendFormat(&text, " %s:%d", kind, count);
        }
        text += "\n";
    }
    if (report.recovery) {
        absl::StrAppendFormat(&text, "recovery: %.1f s\n", std::chrono::duration<double>(*report.recovery).count());
    }
    return text;
}

std::string formatReportJson(const LoadReport &report)
{
    nlohmann::json groups = nlohmann::json::array();
    for (const LoadGroupReport &group : report.groups) {
        groups.push_back({{"group", group.group},
                          {"requests", group.requests},
                          {"succeeded", group.succeeded},
                          {"tries", group.tries},
                          {"wrong_answers", group.wrongAnswers},
                          {"goodput_per_second", group.goodputPerSecond},
                          {"p50_ms", milliseconds(group.p50)},
                          {"p99_ms", milliseconds(group.p99)},
                          {"failures", group.failures}});
    }
    nlohmann::json json = {{"groups", groups}, {"goodput_series", report.goodputSeries}};
    json["recovery_s"] = nullptr;
    if (report.recovery) {
        json["recovery_s"] = std::chrono::duration<double>(*report.recovery).count();
    }
    return json.dump() + "\n";
}

} // namespace vanillatack
