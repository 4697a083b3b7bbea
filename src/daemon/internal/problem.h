#pragma once

#include "http/http.h"
#include "node/inode.h"

namespace vanillatack {

/// The response for a refused request (application/problem+json), as described in docs/callers.md.
HttpResponse makeProblem(const Refusal &refusal, const std::string &rootId);

/// The response for a request that could not be read.
HttpResponse makeReadFailure(int status);

} // namespace vanillatack
