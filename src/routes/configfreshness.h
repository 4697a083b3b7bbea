#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace vanillatack {

/// Bounds the age of what a node knows of the store, from the store's own clock in its answers. All local times are of
/// a clock that also counts while the VM is suspended.
class ConfigFreshness
{
public:
    /// An answer of the store that carries its clock: everything that was acknowledged before was in that answer.
    /// sent and received are local times; the answer was made at some moment between them.
    void confirm(Duration storeClock, Duration sent, Duration received);

    /// Upper bound of the time since the newest confirmation; nullopt before the first.
    [[nodiscard]] std::optional<Duration> age(Duration now) const;

private:
    std::optional<Duration> m_maxOffset; ///< Upper bound of (store clock - local clock).
    std::optional<Duration> m_confirmedAt; ///< Lower bound of the local time of the newest confirmation.
};

} // namespace vanillatack
