#pragma once

#include "fleet/storeconfirmation.h"

#include <cstdint>
#include <optional>

namespace vanillatack {

/// Upper bound of the age of a node's copy of the store's state, computed from the store's clock in its answers. All
/// local times are read from a clock that advances while the VM is suspended.
class StoreFreshness
{
public:
    /// Records that the copy contains every write that the store acknowledged before the confirmation.
    void confirm(const StoreConfirmation &confirmation);

    /// Upper bound of the time since the newest confirmation; nullopt before the first one.
    [[nodiscard]] std::optional<Duration> age(Duration now) const;

private:
    std::optional<Duration> m_maxOffset; ///< Upper bound of (store clock - local clock).
    std::optional<Duration> m_confirmedAt; ///< Lower bound of the local time of the newest confirmation.
};

} // namespace vanillatack
