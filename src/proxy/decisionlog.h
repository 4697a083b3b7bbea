#pragma once

#include "base/clock.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace vanillatack {

using DecisionField = std::pair<std::string_view, std::string>;

/// Writes one structured line per decision about a request or about the state of the node or fleet, to standard output
/// or another descriptor. The number of lines per kind and second is limited, and omitted lines are counted. Never
/// blocks: a line that cannot be written immediately is dropped and counted.
class DecisionLog
{
public:
    DecisionLog(const IClock &clock, std::string node, int descriptor);

    /// Writes "t=<s> node=<name> decision=<kind> name=value ...", where t is IClock::now() in seconds, not wall time.
    /// Values must not contain callers' keys.
    void record(std::string_view decision, std::initializer_list<DecisionField> fields);

    /// Logs the number of lines omitted or dropped since the last call, if any.
    void logOmittedCounts();

private:
    struct KindState {
        std::int64_t second = -1;
        int linesThisSecond = 0;
        std::uint64_t omittedLines = 0;
    };

    void write(const std::string &line);

    const IClock &m_clock;
    std::string m_node;
    int m_descriptor;
    std::map<std::string, KindState, std::less<>> m_kinds;
    std::size_t m_writableBytes = 0; ///< Bytes that can be written without blocking, as far as known.
    std::uint64_t m_droppedLines = 0;
};

} // namespace vanillatack
