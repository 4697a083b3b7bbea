#pragma once

#include "base/random.h"
#include "model/messages.h"
#include "rootadmission/rateledger.h"
#include "rootadmission/rateownership.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace vanillatack {

/// Carries asks and grants between nodes. Messages can be lost, late, duplicated or out of order.
class IRateLink
{
public:
    virtual ~IRateLink() = default;

    virtual void sendAsk(const NodeName &owner, const RateAsk &ask) = 0;
    virtual void sendGrant(const NodeName &asker, const RateGrant &grant) = 0;
};

/// How taking a token ended.
enum class TokenOutcome {
    Granted,
    Exhausted, ///< The workspace has used its rate.
    OwnerUnresponsive, ///< No owner answered.
};

/// expectedWait: for Exhausted, the time until there is another token.
using TokenCompletion = std::function<void(TokenOutcome, Duration expectedWait)>;

/// Keeps each workspace inside its rate and burst over all nodes. One node, the owner, deals out the tokens of a
/// workspace; the others ask it, once for all requests that wait. See RateOwnership for owners that cannot be reached.
class WorkspaceRateLimiter
{
public:
    /// The link must outlive the rates.
    WorkspaceRateLimiter(NodeName self, const RateTolerance &tolerance, IRandom &random, IRateLink &link);

    void setLimits(const std::map<WorkspaceName, RateLimit> &limits);

    /// Takes one token. The completion is called once, at once or later.
    void acquire(const WorkspaceName &workspace, TimePoint now, TokenCompletion completion);

    /// A token that was granted for a request that did not run.
    void refund(const WorkspaceName &workspace);

    /// Who deals out which rate, from what the nodes hear now. Returns tokens that were given back to their owners.
    void update(const std::set<NodeName> &registered,
                const std::set<NodeName> &candidates,
                std::vector<NodeView> views,
                TimePoint now);

    void onAsk(const RateAsk &ask, TimePoint now);
    void onGrant(const RateGrant &grant, TimePoint now);

    /// Repeats asks that were not answered, and turns to other owners. To be called while hasPendingAsks().
    void retryAsks(TimePoint now);
    [[nodiscard]] bool hasPendingAsks() const;

    /// Part of each limited workspace's rate that this node deals out, 0 to 1; without those of which it deals out
    /// none.
    [[nodiscard]] std::map<WorkspaceName, double> pledgedShares() const;

    /// The node that deals out the workspace's rate, as this node sees it. For logs.
    [[nodiscard]] NodeName owner(const WorkspaceName &workspace, TimePoint now) const;

private:
    struct Ask {
        std::uint64_t id = 0;
        NodeName owner;
        int wanted = 0;
        int sent = 0;
        int owners = 0; ///< Asked so far, one after the other.
        TimePoint sentAt;
    };
    struct Workspace {
        RateLimit limit;
        std::deque<TokenCompletion> waiting;
        std::optional<Ask> ask;
        int returned = 0; ///< Tokens that were given back; used before others are asked for.
        TimePoint dryUntil;
    };
    struct Answered {
        std::uint64_t askId = 0;
        RateGrant grant;
    };

    void startAsk(const WorkspaceName &name, Workspace &workspace, int ownersAsked, TimePoint now);
    void send(const WorkspaceName &name, Ask &ask, TimePoint now);
    void end(Workspace &workspace, int count, TokenOutcome end, Duration wait);
    void settle(const WorkspaceName &name, const RateGrant &grant, TimePoint now);
    void returnTokens(TimePoint now);

    NodeName m_self;
    IRateLink &m_link;
    RateLedger m_ledger;
    RateOwnership m_ownership;
    std::uint64_t m_lastAsk; ///< Begins at random, so that owners tell asks of two starts of a process apart.
    std::set<NodeName> m_silent; ///< Nodes that this one does not hear.
    std::map<NodeName, TimePoint> m_avoidUntil; ///< Owners that left an ask unanswered.
    std::map<WorkspaceName, Workspace> m_workspaces;
    std::map<std::pair<NodeName, WorkspaceName>, Answered> m_answered; ///< The last ask of each node.
};

} // namespace vanillatack
