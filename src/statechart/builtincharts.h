#pragma once

#include "statechart/statechart.h"

#include <map>
#include <string>
#include <vector>

namespace vanillatack {

/// Charts by name, or every problem found in any of them.
struct BuiltInCharts {
    std::map<std::string, StateChart> charts;
    std::vector<TextProblem> problems;
};

/// Reads the charts of charts/*.chart, which are embedded into the program at build time. A program that needs them
/// reports the problems and ends when there are any.
BuiltInCharts loadBuiltInCharts();

} // namespace vanillatack
