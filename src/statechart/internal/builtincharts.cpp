#include "statechart/builtincharts.h"

#include "embeddedcharts.h"

namespace vanillatack {

BuiltInCharts loadBuiltInCharts()
{
    BuiltInCharts result;
    for (const EmbeddedChart &embedded : EmbeddedCharts) {
        std::optional<StateChart> chart = StateChart::parse(embedded.text, embedded.file, result.problems);
        if (!chart) {
            continue;
        }
        const std::string name = chart->name();
        if (!result.charts.try_emplace(name, std::move(*chart)).second) {
            result.problems.push_back({std::string(embedded.file),
                                       0,
                                       "The chart name " + name + " is already used by another chart.",
                                       "Rename one of the charts."});
        }
    }
    return result;
}

} // namespace vanillatack
