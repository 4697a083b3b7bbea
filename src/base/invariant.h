#pragma once

namespace vanillatack {

/// Prints the violated condition to standard error and aborts. Called by VT_INVARIANT.
[[noreturn]] void reportInvariantViolation(const char *condition, const char *message, const char *file, int line);

} // namespace vanillatack

/// Checks a condition that only a bug in this program can violate. Also enabled in release builds, because continuing
/// would break a guarantee given to callers.
#define VT_INVARIANT(condition, message) \
    do { \
        if (!(condition)) { \
            ::vanillatack::reportInvariantViolation(#condition, message, __FILE__, __LINE__); \
        } \
    } while (false)
