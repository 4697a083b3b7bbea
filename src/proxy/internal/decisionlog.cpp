#include "proxy/decisionlog.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace vanillatack {

namespace {

/// Lines of one kind in one second. Enough to follow single failures; a flood of equal ones is counted.
constexpr int LinesPerSecond = 20;

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\t\\") != std::string_view::npos;
}

bool canTake(int descriptor)
{
    pollfd state{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

DecisionLog::DecisionLog(const IClock &clock, std::string node, int descriptor)
    : m_clock(clock)
    , m_node(std::move(node))
    , m_descriptor(descriptor)
{
}

void DecisionLog::record(std::string_view decision, std::initializer_list<DecisionField> fields)
{
    const Duration now = m_clock.now().time_since_epoch();
    const std::int64_t second = std::chrono::floor<std::chrono::seconds>(now).count();
    auto entry = m_allowances.find(decision);
    if (entry == m_allowances.end()) {
        entry = m_allowances.emplace(std::string(decision), Allowance{}).first;
    }
    Allowance &allowance = entry->second;
    if (allowance.second != second) {
        allowance.second = second;
        allowance.written = 0;
    }
    if (++allowance.written > LinesPerSecond) {
        ++allowance.leftOut;
        return;
    }
    std::string line = absl::StrFormat(
        "t=%.3f node=%s decision=%s", std::chrono::duration<double>(now).count(), m_node, std::string(decision));
    for (const auto &[name, value] : fields) {
        absl::StrAppend(&line, " ", std::string(name), "=");
        line += needsQuotes(value) ? absl::StrCat("\"", absl::CEscape(value), "\"") : value;
    }
    line += '\n';
    write(line);
}

void DecisionLog::write(const std::string &line)
{
    if (!canTake(m_descriptor)) {
        ++m_notTaken;
        return;
    }
    // A pipe that is ready takes PIPE_BUF bytes at once, which is more than a line.
    if (::write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        ++m_notTaken;
    }
}

void DecisionLog::flushCounts()
{
    for (auto &[decision, allowance] : m_allowances) {
        if (allowance.leftOut > 0) {
            const std::uint64_t count = std::exchange(allowance.leftOut, 0);
            record("log.left-out", {{"kind", decision}, {"count", std::to_string(count)}});
        }
    }
    if (m_notTaken > 0) {
        const std::uint64_t count = std::exchange(m_notTaken, 0);
        record("log.not-taken", {{"count", std::to_string(count)}});
    }
}

} // namespace vanillatack
