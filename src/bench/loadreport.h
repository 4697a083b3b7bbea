#pragma once

#include "bench/loadgenerator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// Results of one group of streams, without the warm-up.
struct LoadGroupReport {
    std::string group;
    std::uint64_t requests = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t tries = 0; ///< Attempts of all requests.
    std::uint64_t wrongAnswers = 0; ///< Responses that belong to another request.
    double goodputPerSecond = 0;
    Duration p50{0}; ///< Median latency of successful requests.
    Duration p99{0}; ///< 99th percentile of their latency.
    std::map<std::string, std::uint64_t> failures; ///< Numbers of failed requests, by kind.
};

struct LoadReport {
    std::vector<LoadGroupReport> groups; ///< The last one covers all streams.
    std::optional<Duration> recovery; ///< Time from the end of the disturbance to 95% of the reference goodput.
    std::vector<double> goodputSeries; ///< Successful requests per second, one value for each 100 ms.
};

LoadReport summarize(const LoadPlan &plan, const std::vector<LoadSample> &samples);

/// Formats the report as a text table.
std::string formatReport(const LoadReport &report);

/// Formats the report as JSON for scripts.
std::string formatReportJson(const LoadReport &report);

} // namespace vanillatack
