#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace vanillatack {

void reportBrokenInvariant(const char *condition, const char *message, const char *file, int line)
{
    // Not through Log: the log can be off, and it allocates.
    std::fprintf(stderr, "%s:%d: invariant broken: %s (%s)\n", file, line, message, condition);
    std::abort();
}

} // namespace vanillatack
