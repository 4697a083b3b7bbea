#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// One request in the unit of tokens.
inline constexpr std::int64_t TokensPerRequest = 1'000'000;

/// Rate and burst of a workspace over the whole fleet.
struct WorkspaceQuota {
    std::int64_t rate = 0; ///< Tokens per second.
    std::int64_t burst = 0; ///< Tokens; capacity of the bucket.

    bool operator==(const WorkspaceQuota &) const = default;
};

/// The part of the fleet's quota that the share slot of this node owns, as a fraction.
struct ShareFraction {
    std::int64_t numerator = 0; ///< 0 for a node without a share slot.
    std::int64_t denominator = 1;

    bool operator==(const ShareFraction &) const = default;
};

struct QuotaDecision {
    bool admitted = false;
    bool tokensExpected = false; ///< Not admitted yet, but a loan is on its way; the listener is told.
    Duration retryAfter{0}; ///< Estimate when not admitted.
};

/// Told when tokens arrived for a workspace. Called from within calls of IQuota; must not call back.
class IQuotaListener
{
public:
    virtual ~IQuotaListener() = default;

    virtual void onTokensAvailable(const WorkspaceName &workspace) = 0;
};

struct QuotaSnapshot {
    WorkspaceName workspace;
    std::int64_t ownedRate = 0; ///< Of the share slot.
    std::int64_t lentRate = 0;
    std::int64_t borrowedRate = 0;
    std::int64_t ownedBurst = 0;
    std::int64_t lentBurst = 0;
    std::int64_t borrowedBurst = 0;
    std::int64_t tokens = 0; ///< Usable now at this node.
    std::uint64_t admitted = 0; ///< Requests since start.
    std::uint64_t refused = 0;
};

/// Holds the part of each workspace's rate and burst that this node may use, and moves parts between nodes by loans.
class IQuota
{
public:
    virtual ~IQuota() = default;

    /// Takes the quotas of a configuration and the fraction owned by this node. Lower amounts hold at once, higher
    /// ones after 10 s.
    virtual void configure(const std::map<WorkspaceName, WorkspaceQuota> &quotas, const ShareFraction &share) = 0;

    /// Share owners to borrow from, own zone first.
    virtual void setShareOwners(const std::vector<Member> &owners) = 0;

    /// Takes one request's token, or starts to borrow. Unknown workspaces are refused.
    virtual QuotaDecision tryAcquire(const WorkspaceName &workspace) = 0;

    /// Renews, expires and returns loans. To be called about every 50 ms.
    virtual void tick() = 0;

    virtual void receive(const Endpoint &from, const BorrowRequest &message) = 0;
    virtual void receive(const Endpoint &from, const BorrowGrant &message) = 0;
    virtual void receive(const Endpoint &from, const LoanReturn &message) = 0;

    [[nodiscard]] virtual std::vector<QuotaSnapshot> snapshot() const = 0;
};

} // namespace vanillatack
