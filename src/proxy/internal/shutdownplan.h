#pragma once

#include "base/clock.h"

namespace vanillatack {

/// Phases of a node's shutdown, by the time elapsed since the stop signal. The process is killed at the end of the
/// grace period.
class ShutdownPlan
{
public:
    explicit ShutdownPlan(Duration grace);

    /// Whether calls of other nodes are still accepted.
    [[nodiscard]] bool acceptsCalls(Duration elapsed) const;

    /// Whether requests of callers are still accepted.
    [[nodiscard]] bool acceptsRequests(Duration elapsed) const;

    /// Time from the start of the shutdown until which requests taken meanwhile must be answered. It is passed to the
    /// instances as their time limit: an instance that cannot finish in time says so, whereas the exit would cut the
    /// request off without an answer.
    [[nodiscard]] Duration requestTimeLimit() const;

    /// Time from the start of the shutdown until which the requests taken before it must be answered, if only with a
    /// refusal. Later than requestTimeLimit(): their instances were given other time limits and may answer until then.
    [[nodiscard]] Duration lastAnswerTime() const;

    /// Whether the process should exit now.
    [[nodiscard]] bool shouldExit(Duration elapsed, bool idle) const;

private:
    Duration m_grace;
};

} // namespace vanillatack
