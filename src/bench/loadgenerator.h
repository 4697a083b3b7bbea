#pragma once

#include "bench/loadplan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillatack {

/// Result of one request of a client, including its retries.
struct LoadSample {
    std::size_t stream = 0; ///< Index of the stream in the plan.
    Duration startedAt{0}; ///< Planned start, from the start of the run.
    Duration latency{0}; ///< From the planned start to the end of the last attempt.
    bool succeeded = false; ///< Complete response to this request within the client's deadline.
    int tries = 0; ///< Number of attempts.
    int status = 0; ///< Status of the last attempt, 0 without a complete response.
    std::string kind; ///< Failure of the last attempt: refusal kind, "upstream-error", "broken" or "wrong-answer".
};

/// Runs the plan against running processes and returns all samples. Blocks for the duration of the plan.
std::vector<LoadSample> runLoad(const LoadPlan &plan);

} // namespace vanillatack
