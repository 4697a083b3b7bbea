#pragma once

#include "base/log.h"

#include <cstdlib>
#include <string>

namespace vanillatack {

[[noreturn]] inline void failInvariant(const char *condition, const char *message, const char *file, int line)
{
    Log("invariant").error(message, {{"condition", condition}, {"at", std::string(file) + ":" + std::to_string(line)}});
    std::abort();
}

} // namespace vanillatack

/// Checks a condition that must always hold. Stays on in release builds; logs and aborts when it does not hold.
#define VT_INVARIANT(condition, message) \
    ((condition) ? static_cast<void>(0) : ::vanillatack::failInvariant(#condition, message, __FILE__, __LINE__))
