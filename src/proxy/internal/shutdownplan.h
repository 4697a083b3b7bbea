#pragma once

#include "base/clock.h"

namespace vanillatack {

/// What a node that is stopping still does, by the time since it was told to stop. The grace time ends with a kill.
class ShutdownPlan
{
public:
    explicit ShutdownPlan(Duration grace);

    /// Whether calls of other nodes are taken.
    [[nodiscard]] bool takesCalls(Duration since) const;

    /// Whether requests of callers are taken.
    [[nodiscard]] bool takesRequests(Duration since) const;

    /// Whether the process ends now.
    [[nodiscard]] bool ends(Duration since, bool idle) const;

private:
    Duration m_grace;
};

} // namespace vanillatack
