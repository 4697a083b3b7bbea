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

    /// Whether the process should exit now.
    [[nodiscard]] bool shouldExit(Duration elapsed, bool idle) const;

private:
    Duration m_grace;
};

} // namespace vanillatack
