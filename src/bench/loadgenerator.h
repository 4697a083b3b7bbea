#pragma once

#include "bench/loadplan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillatack {

/// One finished request of a client, over all its tries.
struct LoadSample {
    std::size_t stream = 0; ///< Index in the plan.
    Duration startedAt{0}; ///< Since the start of the run.
    Duration latency{0};
    bool succeeded = false; ///< Whole answer to this request, within the client's deadline.
    int tries = 0;
    int status = 0; ///< Of the last try, 0 when there was none.
    std::string kind; ///< Refusal kind of the last try, or "broken" or "wrong-answer".
};

/// Runs the plan against running processes and returns all samples. Blocks for the duration of the plan.
std::vector<LoadSample> runLoad(const LoadPlan &plan);

} // namespace vanillatack
