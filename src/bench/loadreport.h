#pragma once

#include "bench/loadgenerator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillatack {

/// Figures of one group of streams, without the warm-up.
struct LoadGroupReport {
    std::string group;
    std::uint64_t requests = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t tries = 0;
    std::uint64_t wrongAnswers = 0;
    double goodputPerSecond = 0;
    Duration p50{0}; ///< Of successful requests.
    Duration p99{0};
    std::map<std::string, std::uint64_t> failures; ///< By kind.
};

struct LoadReport {
    std::vector<LoadGroupReport> groups; ///< The last one is the total.
    std::optional<Duration> recovery; ///< Time from the end of the trigger to 95% of the earlier goodput.
    std::vector<double> goodputSeries; ///< Successful requests per second, one value for each 100 ms.
};

LoadReport summarize(const LoadPlan &plan, const std::vector<LoadSample> &samples);

/// Text table.
std::string formatReport(const LoadReport &report);

/// JSON for scripts.
std::string formatReportJson(const LoadReport &report);

} // namespace vanillatack
