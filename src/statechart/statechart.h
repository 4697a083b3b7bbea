#pragma once

#include "base/error.h"
#include "base/inidocument.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

struct ChartTransition {
    std::string from;
    std::string event;
    std::string to;
    std::string action; ///< Name of the action to run; empty for none.
};

/// An immutable state chart read from a file. Section "[chart NAME]" declares the initial state, events and actions;
/// each section "[state NAME]" has "EVENT = TARGET" or "EVENT = TARGET / ACTION" lines.
class StateChart
{
public:
    /// Parses a chart and checks that all states, events and actions are declared, all declared events and actions are
    /// used, all states are reachable and no transition is set twice. Adds all problems to the list and returns nullopt
    /// if there are any.
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

    /// Returns the transition, or nullptr if the state ignores the event.
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

    /// Applies the event and returns the name of the action to run; empty for none. An event without a transition
    /// leaves the state unchanged.
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
