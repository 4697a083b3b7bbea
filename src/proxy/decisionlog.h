#pragma once

#include "base/clock.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace vanillatack {

using DecisionField = std::pair<std::string_view, std::string>;

/// Structured lines on standard output or another descriptor, one for each decision about a request or about what the
/// node believes. Bounded: each kind of decision has a number of lines for each second; what is left out is counted and
/// told. Never blocks: a line that the reader does not take at once is dropped and counted.
class DecisionLog
{
public:
    DecisionLog(const IClock &clock, std::string node, int descriptor);

    /// Writes "t=<s> node=<name> decision=<kind> name=value ...". Values never hold callers' keys.
    void record(std::string_view decision, std::initializer_list<DecisionField> fields);

    /// Tells how many lines were left out since the last call, when there were any.
    void flushCounts();

private:
    struct Allowance {
        std::int64_t second = -1;
        int written = 0;
        std::uint64_t leftOut = 0;
    };

    void write(const std::string &line);

    const IClock &m_clock;
    std::string m_node;
    int m_descriptor;
    std::map<std::string, Allowance, std::less<>> m_allowances;
    std::uint64_t m_notTaken = 0;
};

} // namespace vanillatack
