#pragma once

#include "statechart/statechart.h"

#include <map>
#include <string>
#include <vector>

namespace vanillatack {

/// Charts keyed by name, and all problems found in them.
struct BuiltInCharts {
    std::map<std::string, StateChart> charts;
    std::vector<TextProblem> problems;
};

/// Parses the files charts/*.chart, which are embedded into the program at build time. Callers must report any problems
/// and exit.
BuiltInCharts loadBuiltInCharts();

} // namespace vanillatack
