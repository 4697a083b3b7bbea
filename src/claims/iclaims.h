#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "model/request.h"

#include <functional>
#include <string>

namespace vanillatack {

/// Identifies a non-idempotent operation of a caller.
struct ClaimKey {
    WorkspaceName workspace;
    RouteName route;
    std::string idempotencyKey;
    std::string requestDigest; ///< SHA-256 over method, target and body; must be the same in a retry.
};

/// Answer of the first run, returned to retries.
struct StoredAnswer {
    int status = 0;
    HeaderList headers;
    std::string body;
};

enum class ClaimOutcome {
    Acquired, ///< This node runs the operation.
    Answered, ///< The operation has run; ClaimResult::answer holds its stored answer.
    InProgress, ///< The operation may be running elsewhere, or its answer is unknown or was not stored.
    Mismatch, ///< The idempotency key was already used for a different request.
    Unavailable, ///< The table did not confirm the claim in time; the operation was not run.
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    std::string claimId; ///< Identifies the claim in later calls; set for Acquired.
    StoredAnswer answer; ///< Set for Answered.
    Duration retryAfter{0};
};

/// Durable claims that ensure that a non-idempotent operation runs at most once, whichever node receives a retry.
class IClaims
{
public:
    using ClaimCompletion = std::function<void(const ClaimResult &)>;

    virtual ~IClaims() = default;

    /// Requests a claim. Calls done asynchronously, never from within claim(). The caller may forward the request only
    /// on Acquired.
    virtual void claim(const ClaimKey &key, TimePoint deadline, ClaimCompletion done) = 0;

    /// Stores the answer. Retried until it is written or the claim expires.
    virtual void complete(const std::string &claimId, const StoredAnswer &answer) = 0;

    /// Releases the claim, so that a retry may run. Allowed only when no byte of the request can have reached the
    /// upstream.
    virtual void release(const std::string &claimId) = 0;

    /// Leaves the claim in place after an unknown outcome, so that a retry does not run the operation.
    virtual void keepUnresolved(const std::string &claimId) = 0;

    /// Commits batches, retries table requests and applies time limits. Must be called about every 10 ms.
    virtual void tick() = 0;

    virtual void setRetention(Duration retention) = 0;
};

} // namespace vanillatack
