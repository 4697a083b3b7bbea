#pragma once

#include "fleet/storeconfirmation.h"

#include <cstdint>
#include <optional>

namespace vanillatack {

/// Bounds the age of what a node knows of the store, from the store's own clock in its answers. All local times are of
/// a clock that also counts while the VM is suspended.
class StoreFreshness
{
public:
    /// Everything that the store acknowledged before the confirmation is known.
    void confirm(const StoreConfirmation &confirmation);

    /// Upper bound of the time since the newest confirmation; nullopt before the first.
    [[nodiscard]] std::optional<Duration> age(Duration now) const;

private:
    std::optional<Duration> m_maxOffset; ///< Upper bound of (store clock - local clock).
    std::optional<Duration> m_confirmedAt; ///< Lower bound of the local time of the newest confirmation.
};

} // namespace vanillatack
