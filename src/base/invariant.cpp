#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

#include <poll.h>
#include <unistd.h>

namespace vanillatack {

void reportInvariantViolation(const char *condition, const char *message, const char *file, int line)
{
    // Does not use Log, which can be off and allocates memory. Without a reader, ends the process without the line.
    pollfd state{.fd = STDERR_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0) {
        std::fprintf(stderr, "%s:%d: invariant violated: %s (%s)\n", file, line, message, condition);
    }
    std::abort();
}

} // namespace vanillatack
