#pragma once

#include "base/error.h"
#include "base/inidocument.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// One transition of a chart.
struct ChartTransition {
    std::string from;
    std::string event;
    std::string to;
    std::string action; ///< Name of the action to run, empty for none.
};

/// A state chart read from a file: "[chart NAME]" with initial state, events and actions, "[state NAME]" with
/// "EVENT = TARGET" or "EVENT = TARGET / ACTION" lines. Immutable once loaded.
class StateChart
{
public:
    /// Reads and validates: known states, events and actions; every state reachable; no duplicate transition.
    /// All problems are added to the list; nullopt when there are any.
    static std::optional<StateChart>
    parse(std::string_view text, std::string_view file, std::vector<TextProblem> &problems);

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

    [[nodiscard]] const std::string &initial() const
    {
        return m_initial;
    }

    [[nodiscard]] const std::vector<std::string> &states() const
    {
        return m_states;
    }

    [[nodiscard]] const std::vector<std::string> &events() const
    {
        return m_events;
    }

    /// The transition, or nullptr when the state ignores the event.
    [[nodiscard]] const ChartTransition *find(const std::string &state, const std::string &event) const;

private:
    std::string m_name;
    std::string m_initial;
    std::vector<std::string> m_states;
    std::vector<std::string> m_events;
    std::map<std::pair<std::string, std::string>, ChartTransition> m_transitions;
};

/// A running instance of a chart. The chart must outlive it.
class ChartInstance
{
public:
    explicit ChartInstance(const StateChart &chart);

    /// Takes the event; returns the action's name, empty for none. Events without a transition leave the state.
    std::string handle(const std::string &event);

    [[nodiscard]] const std::string &state() const
    {
        return m_state;
    }

private:
    const StateChart *m_chart;
    std::string m_state;
};

} // namespace vanillatack
