#include "proxy/decisionlog.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace vanillatack {

namespace {

/// Limit per kind. Enough to trace individual failures; further lines are only counted.
constexpr int MaxLinesPerSecond = 20;

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
               return c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\'; // Bytes above 127 are negative chars.
           });
}

} // namespace

DecisionLog::DecisionLog(const IClock &clock, std::string node, int descriptor)
    : m_clock(clock)
    , m_node(std::move(node))
    , m_output(descriptor)
{
}

void DecisionLog::record(std::string_view decision, std::initializer_list<DecisionField> fields)
{
    const Duration now = m_clock.now().time_since_epoch();
    const std::int64_t second = std::chrono::floor<std::chrono::seconds>(now).count();
    auto entry = m_kinds.find(decision);
    if (entry == m_kinds.end()) {
        entry = m_kinds.emplace(std::string(decision), KindState{}).first;
    }
    KindState &kind = entry->second;
    if (kind.second != second) {
        kind.second = second;
        kind.linesThisSecond = 0;
    }
    if (++kind.linesThisSecond > MaxLinesPerSecond) {
        ++kind.omittedLines;
        return;
    }
    std::string line = absl::StrFormat(
        "t=%.3f node=%s decision=%s", std::chrono::duration<double>(now).count(), m_node, std::string(decision));
    for (const auto &[name, value] : fields) {
        absl::StrAppend(&line, " ", std::string(name), "=");
        line += needsQuotes(value) ? absl::StrCat("\"", absl::CEscape(value), "\"") : value;
    }
    line += '\n';
    (void)m_output.write(line); // A dropped line is counted.
}

bool DecisionLog::flush(Duration timeout)
{
    return m_output.flush(timeout);
}

void DecisionLog::logOmittedCounts()
{
    for (auto &[decision, kind] : m_kinds) {
        if (kind.omittedLines > 0) {
            const std::uint64_t count = std::exchange(kind.omittedLines, 0);
            record("log.left-out", {{"kind", decision}, {"count", std::to_string(count)}});
        }
    }
    if (const std::uint64_t dropped = droppedLines(); dropped > m_reportedDroppedLines) {
        const std::uint64_t count = dropped - std::exchange(m_reportedDroppedLines, dropped);
        record("log.not-taken", {{"count", std::to_string(count)}});
    }
}

} // namespace vanillatack
