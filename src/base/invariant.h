#pragma once

#include "base/log.h"

#include <cstdlib>
#include <iostream>

namespace vanillatack {

/// Logs a broken invariant and aborts. Also writes to standard error, since logging may be off in tests.
[[noreturn]] inline void failInvariant(const char *condition, const char *message, const char *file, int line)
{
    Log("invariant").error(message, {{"condition", condition}, {"file", file}, {"line", std::to_string(line)}});
    std::cerr << file << ":" << line << ": invariant broken: " << message << " (" << condition << ")" << std::endl;
    std::abort();
}

} // namespace vanillatack

/// Checks a condition that must hold whatever the input; stays on in release builds.
#define VT_INVARIANT(condition, message) \
    do { \
        if (!(condition)) { \
            ::vanillatack::failInvariant(#condition, message, __FILE__, __LINE__); \
        } \
    } while (false)
