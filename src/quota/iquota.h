#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// Tokens that one request costs.
inline constexpr std::int64_t TokensPerRequest = 1'000'000;

/// Fleet-wide rate and burst of a workspace, as configured. QuotaAmount is its internal counterpart with arithmetic.
struct WorkspaceQuota {
    std::int64_t rate = 0; ///< Tokens per second.
    std::int64_t burst = 0; ///< Bucket capacity in tokens.

    bool operator==(const WorkspaceQuota &) const = default;
};

/// Fraction of the fleet's quota that this node owns through its share slot.
struct ShareFraction {
    std::int64_t numerator = 0; ///< 0 for a node without a share slot.
    std::int64_t denominator = 1;

    bool operator==(const ShareFraction &) const = default;
};

struct QuotaDecision {
    bool admitted = false;
    bool tokensExpected = false; ///< Not admitted yet, but a loan or refill is due; the listener is notified.
    Duration retryAfter{0}; ///< Estimated wait for a token; set when not admitted.
};

/// Notified when tokens become available for a workspace. Called from within IQuota calls; must not call back.
class IQuotaListener
{
public:
    virtual ~IQuotaListener() = default;

    virtual void onTokensAvailable(const WorkspaceName &workspace) = 0;
};

struct QuotaSnapshot {
    WorkspaceName workspace;
    std::int64_t ownedRate = 0; ///< From the share slot, in tokens per second.
    std::int64_t lentRate = 0;
    std::int64_t borrowedRate = 0;
    std::int64_t ownedBurst = 0;
    std::int64_t lentBurst = 0;
    std::int64_t borrowedBurst = 0;
    std::int64_t tokens = 0; ///< Tokens in the bucket of this node.
    std::uint64_t admitted = 0; ///< Requests admitted since start.
    std::uint64_t refused = 0; ///< Calls of tryAcquire() since start that did not admit.
};

/// Distributed rate limiter. Tracks the part of each workspace's rate and burst that this node may use, and moves parts
/// between nodes by loans.
class IQuota
{
public:
    virtual ~IQuota() = default;

    /// Applies the quotas of a configuration and the fraction owned by this node. Lower amounts take effect at once,
    /// higher ones after QuotaSettings::increaseDelay (startupDelay for the first configuration).
    virtual void configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas, const ShareFraction &share) = 0;

    /// Sets the share owners to borrow from, own zone first.
    virtual void setShareOwners(const std::vector<Member> &owners) = 0;

    /// Acquires the tokens of one request, or starts to borrow. Unknown workspaces are refused.
    virtual QuotaDecision tryAcquire(const WorkspaceName &workspace) = 0;

    /// Renews, expires and returns loans. Must be called about every 50 ms.
    virtual void tick() = 0;

    virtual void receive(const Endpoint &from, const BorrowRequest &message) = 0;
    virtual void receive(const Endpoint &from, const BorrowGrant &message) = 0;
    virtual void receive(const Endpoint &from, const LoanReturn &message) = 0;

    [[nodiscard]] virtual std::vector<QuotaSnapshot> snapshot() const = 0;
};

} // namespace vanillatack
