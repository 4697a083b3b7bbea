#pragma once

#include "base/random.h"
#include "model/messages.h"
#include "rootadmission/rateownership.h"
#include "rootadmission/workspacetokenbuckets.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace vanillatack {

/// Sends asks and grants to other nodes. Messages can be lost, delayed, duplicated or reordered.
class IRateLink
{
public:
    virtual ~IRateLink() = default;

    virtual void sendAsk(const NodeName &owner, const RateAsk &ask) = 0;
    virtual void sendGrant(const NodeName &asker, const RateGrant &grant) = 0;
};

/// Outcome of acquiring a token.
enum class TokenOutcome {
    Granted,
    Exhausted, ///< The workspace has used up its rate.
    OwnerUnresponsive, ///< None of the owners asked has answered.
};

/// expectedWait: for Exhausted, the time until the next token.
using TokenCompletion = std::function<void(TokenOutcome, Duration expectedWait)>;

/// Keeps each workspace within its fleet-wide rate and burst. One node, the owner, grants the tokens of a workspace;
/// the other nodes ask it, with one ask for all pending requests. See RateOwnership for owners that are unreachable.
class WorkspaceRateLimiter
{
public:
    /// The link must outlive the rate limiter.
    WorkspaceRateLimiter(NodeName self, const RateTolerance &tolerance, IRandom &random, IRateLink &link);

    void setLimits(const std::map<WorkspaceName, RateLimit> &limits);

    /// Acquires one token. The completion is called exactly once, possibly before acquire() returns. Before the first
    /// update(), no owner is known and no token is granted: a node that granted on its own while it does not know the
    /// others would multiply the rate by the size of the fleet.
    void acquire(const WorkspaceName &workspace, TimePoint now, TokenCompletion completion);

    /// Returns a token that was granted for a request that did not run.
    void refund(const WorkspaceName &workspace);

    /// Updates the owners and pledged shares from the recent statements of the nodes, this node's own included, and
    /// sends refunded tokens to the owners.
    void update(const std::set<NodeName> &registered, std::vector<OwnerStatement> statements, TimePoint now);

    void onAsk(const RateAsk &ask, TimePoint now);
    void onGrant(const RateGrant &grant, TimePoint now);

    /// Retries unanswered asks, then asks another owner. To be called regularly while hasPendingAsks().
    void retryAsks(TimePoint now);
    [[nodiscard]] bool hasPendingAsks() const;

    /// Share of the rate that this node grants, above 0 and up to 1, for each limited workspace of which it owns a
    /// share.
    [[nodiscard]] std::map<WorkspaceName, double> pledgedShares() const;

    /// Number of nodes whose pledges are not counted because they know other nodes than this one.
    [[nodiscard]] std::size_t differingViews() const
    {
        return m_ownership.differingViews();
    }

    /// The node that this node would ask for the workspace's tokens.
    [[nodiscard]] NodeName owner(const WorkspaceName &workspace, TimePoint now) const;

private:
    struct Ask {
        std::uint64_t id = 0;
        NodeName owner;
        int wanted = 0;
        int sendCount = 0;
        int ownerCount = 0; ///< Owners asked so far for the pending requests, the current one included.
        TimePoint sentAt;
    };
    struct WorkspaceState {
        RateLimit limit;
        std::deque<TokenCompletion> pending;
        std::optional<Ask> ask;
        int refunded = 0; ///< Refunded tokens; used before the owner is asked.
        TimePoint exhaustedUntil; ///< Until then, no ask is sent and requests are refused.
    };
    struct AnsweredAsk {
        std::uint64_t askId = 0;
        RateGrant grant;
    };

    void startAsk(const WorkspaceName &name, WorkspaceState &workspace, int ownersAsked, TimePoint now);
    void send(const WorkspaceName &name, Ask &ask, TimePoint now);
    void end(WorkspaceState &workspace, int count, TokenOutcome outcome, Duration wait);
    void completeAsk(const WorkspaceName &name, const RateGrant &grant, TimePoint now);
    void returnRefunds(TimePoint now);

    NodeName m_self;
    IRateLink &m_link;
    WorkspaceTokenBuckets m_buckets;
    RateOwnership m_ownership;
    bool m_ownersKnown = false; ///< Whether update() was called.
    std::uint64_t m_lastAskId; ///< Starts at a random value, so that owners distinguish asks of two starts of a node.
    std::set<NodeName> m_notOwners; ///< Nodes that this node's own statement excludes.
    std::map<NodeName, TimePoint> m_avoidUntil; ///< Times until which owners that did not answer are not asked.
    std::map<WorkspaceName, WorkspaceState> m_workspaces;
    std::map<std::pair<NodeName, WorkspaceName>, AnsweredAsk> m_answered; ///< Last answered ask by node and workspace.
};

} // namespace vanillatack
