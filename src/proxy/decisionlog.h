#pragma once

#include "base/clock.h"
#include "base/logoutput.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace vanillatack {

using DecisionField = std::pair<std::string_view, std::string>;

/// Writes one structured line per decision about a request or about the state of the node or fleet, to standard output
/// or another descriptor. The number of lines per kind and second is limited, and omitted lines are counted. Never
/// blocks: lines for which a reader that does not keep up leaves no room are dropped and counted; see LogOutput.
class DecisionLog
{
public:
    DecisionLog(const IClock &clock, std::string node, int descriptor);

    /// Writes "t=<s> node=<name> decision=<kind> name=value ...", where t is IClock::now() in seconds, not wall time.
    /// Values must not contain callers' keys.
    void record(std::string_view decision, std::initializer_list<DecisionField> fields);

    /// Logs the number of lines omitted or dropped since the last call, if any.
    void logOmittedCounts();

    /// Waits until all lines are written, at most for the time. Call before the process exits.
    bool flush(Duration timeout);

    /// Lines dropped because the reader does not keep up.
    [[nodiscard]] std::uint64_t droppedLines() const
    {
        return m_output.droppedLines();
    }

private:
    struct KindState {
        std::int64_t second = -1;
        int linesThisSecond = 0;
        std::uint64_t omittedLines = 0;
    };

    const IClock &m_clock;
    std::string m_node;
    LogOutput m_output;
    std::map<std::string, KindState, std::less<>> m_kinds;
    std::uint64_t m_reportedDroppedLines = 0;
};

} // namespace vanillatack
