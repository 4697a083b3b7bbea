#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace vanillatack {

/// Number from an environment variable such as VT_SEED or VT_ROUNDS, so that longer runs need no rebuild.
inline std::uint64_t settingOr(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

inline std::uint64_t testSeed()
{
    return settingOr("VT_SEED", 20261204);
}

/// Prints a measured value, and optionally that of the naive baseline, when VT_REPORT is set. The values are used in
/// docs/design-notes/admission.md.
inline void report(const char *what, double adaptive, double naive = -1)
{
    if (std::getenv("VT_REPORT") != nullptr) {
        std::printf("\n%-48s %.4f", what, adaptive);
        if (naive >= 0) {
            std::printf("   naive %.4f", naive);
        }
    }
}

} // namespace vanillatack
