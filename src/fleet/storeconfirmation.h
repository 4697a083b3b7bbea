#pragma once

#include "base/clock.h"

#include <optional>

namespace vanillatack {

/// Time at which a copy of the store's state was the newest one. Local times are read from a clock that advances during
/// suspension.
struct StoreConfirmation {
    Duration storeClock{0}; ///< Clock of the store at the time of its answer.
    Duration sent{0}; ///< Local time at which the call was sent, before the store answered.
    Duration received{0}; ///< Local time at which the answer was received.
    /// Local time at which the copy was known to be the newest state. Set only for answers forwarded by another node,
    /// where the store's clock is unknown.
    std::optional<Duration> confirmedAt = std::nullopt;
};

} // namespace vanillatack
