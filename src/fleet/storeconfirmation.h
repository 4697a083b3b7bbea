#pragma once

#include "base/clock.h"

#include <optional>

namespace vanillatack {

/// When a copy of the store's state was the newest one. Local times are of a clock that counts suspensions.
struct StoreConfirmation {
    Duration serviceClock{0}; ///< The store's clock in its answer.
    Duration sent{0}; ///< Local times between which the store has answered.
    Duration received{0};
    /// Local time at which the copy was still the newest state, where another node has passed the answer on; the
    /// store's clock is unknown then.
    std::optional<Duration> confirmedAt = std::nullopt;
};

} // namespace vanillatack
