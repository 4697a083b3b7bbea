#include "statechart/statechart.h"

#include "statechart/internal/chartreader.h"

namespace vanillatack {

std::optional<StateChart>
StateChart::parse(std::string_view text, std::string_view file, std::vector<TextProblem> &problems)
{
    const std::size_t before = problems.size();
    ChartDeclaration declaration = ChartReader(text, file, problems).read();
    if (problems.size() != before) {
        return std::nullopt;
    }
    StateChart chart;
    chart.m_name = std::move(declaration.name);
    chart.m_initial = std::move(declaration.initial);
    chart.m_states = std::move(declaration.states);
    chart.m_events = std::move(declaration.events);
    for (ChartTransition &transition : declaration.transitions) {
        auto key = std::make_pair(transition.from, transition.event);
        chart.m_transitions.emplace(std::move(key), std::move(transition));
    }
    return chart;
}

const ChartTransition *StateChart::find(const std::string &state, const std::string &event) const
{
    const auto found = m_transitions.find({state, event});
    return found == m_transitions.end() ? nullptr : &found->second;
}

ChartInstance::ChartInstance(const StateChart &chart)
    : m_chart(&chart)
    , m_state(chart.initial())
{
}

std::string ChartInstance::handle(const std::string &event)
{
    const ChartTransition *transition = m_chart->find(m_state, event);
    if (!transition) {
        return {};
    }
    m_state = transition->to;
    return transition->action;
}

} // namespace vanillatack
