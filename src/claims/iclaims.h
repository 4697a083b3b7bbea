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
    std::string requestDigest; ///< SHA-256 over method, target and body; a repeat must have the same.
};

/// The first answer, kept for repeats.
struct StoredAnswer {
    int status = 0;
    HeaderList headers;
    std::string body;
};

enum class ClaimOutcome {
    Acquired, ///< This node runs the operation.
    Answered, ///< It has run; the answer is stored.
    InProgress, ///< Another claim holder may be running it, or its outcome is unknown.
    Mismatch, ///< The idempotency key was used for another request.
    Unavailable, ///< The table cannot be reached; nothing was run.
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    std::string claimId; ///< Names the claim in later calls when acquired.
    StoredAnswer answer; ///< Set when answered.
    Duration retryAfter{0};
};

/// Durable claims that let a non-idempotent operation run at most once, whichever node a repeat arrives at.
class IClaims
{
public:
    using ClaimCompletion = std::function<void(const ClaimResult &)>;

    virtual ~IClaims() = default;

    /// Completes later, never from within the call. The caller may dispatch only when Acquired.
    virtual void claim(const ClaimKey &key, TimePoint deadline, ClaimCompletion done) = 0;

    /// Stores the answer. Retried until the table has it or the claim expires.
    virtual void complete(const std::string &claimId, const StoredAnswer &answer) = 0;

    /// Gives the claim back; only when no byte of the request can have reached the upstream.
    virtual void release(const std::string &claimId) = 0;

    /// The outcome cannot be known; the claim stays so that a repeat does not run it.
    virtual void keepUnresolved(const std::string &claimId) = 0;

    /// Commits batches and retries. To be called about every 10 ms.
    virtual void tick() = 0;

    virtual void setRetention(Duration retention) = 0;
};

} // namespace vanillatack
