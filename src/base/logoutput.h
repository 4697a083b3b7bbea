#pragma once

#include "base/clock.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>

namespace vanillatack {

/// Writes lines to a file descriptor on a thread of its own, so that a reader that does not keep up, or that stands
/// still, never blocks the thread that logs. Lines that do not fit into the buffer are dropped and counted. Lines of
/// the last few milliseconds are lost when the process is killed. Thread-safe.
class LogOutput
{
public:
    static constexpr std::size_t DefaultMaxBytes = std::size_t{256} << 10;

    /// The thread starts with the first line. maxBytes limits the bytes that wait. The descriptor must stay open until
    /// all lines are written, also after the destructor if the reader stands still.
    explicit LogOutput(int descriptor, std::size_t maxBytes = DefaultMaxBytes);

    /// Waits briefly for the lines that are left.
    ~LogOutput();

    LogOutput(const LogOutput &) = delete;
    LogOutput &operator=(const LogOutput &) = delete;

    /// Adds a line, which must end with a line feed. Returns false if it was dropped.
    bool write(std::string_view line);

    /// Waits until all lines are written. Returns false after the timeout.
    bool flush(Duration timeout);

    /// Lines dropped so far, for lack of room or after an error of the descriptor.
    [[nodiscard]] std::uint64_t droppedLines() const;

private:
    struct State;

    std::size_t m_maxBytes;
    std::shared_ptr<State> m_state; ///< Shared with the thread, which may be blocked when this object is destroyed.
};

} // namespace vanillatack
