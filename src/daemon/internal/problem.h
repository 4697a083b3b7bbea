#pragma once

#include "http/http.h"
#include "node/inode.h"

namespace vanillatack {

/// Problem document (application/problem+json) for a refused request; see docs/callers.md.
HttpResponse makeProblem(const Refusal &refusal, const std::string &rootId);

/// Problem document for a request that the HTTP server could not read, by the status that the server chose.
HttpResponse makeUnreadableRequestProblem(int status);

} // namespace vanillatack
