#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace vanillatack {

void reportInvariantViolation(const char *condition, const char *message, const char *file, int line)
{
    // Does not use Log, which can be off and allocates memory.
    std::fprintf(stderr, "%s:%d: invariant violated: %s (%s)\n", file, line, message, condition);
    std::abort();
}

} // namespace vanillatack
