#pragma once

namespace vanillatack {

/// Writes the failed condition to standard error and aborts. Used through VT_INVARIANT.
[[noreturn]] void reportBrokenInvariant(const char *condition, const char *message, const char *file, int line);

} // namespace vanillatack

/// Checks a condition that only a fault in this program can break. Stays on in release builds, because going on would
/// break a promise to callers.
#define VT_INVARIANT(condition, message) \
    do { \
        if (!(condition)) { \
            ::vanillatack::reportBrokenInvariant(#condition, message, __FILE__, __LINE__); \
        } \
    } while (false)
