#pragma once

#include "base/clock.h"
#include "model/messages.h"

#include <map>
#include <string>
#include <vector>

namespace vanillatack {

/// Keeps each workspace inside its rate and burst over all nodes. Each node may use the part of the rate that its
/// demand has in the demand of all nodes, as the nodes report it. While a registered node is not heard, its last known
/// demand counts on, and no part grows above an even one, so that the two sides of a cut do not both take the whole.
class WorkspaceRates
{
public:
    /// How far the fleet may go beyond rate and burst because its nodes act apart. Lets a node that gets a few requests
    /// a second serve two that come together.
    struct Tolerance {
        double share = 0; ///< Of rate x window + burst.
        double requests = 0;
        double windowSeconds = 5;
    };

    WorkspaceRates(NodeName self, const Tolerance &tolerance);

    struct Limit {
        double ratePerSecond = 0; ///< 0: no limit.
        double burst = 0;
    };
    void setLimits(std::map<WorkspaceName, Limit> limits);

    /// Takes one request. Returns false when the workspace has used its rate.
    bool tryTake(const WorkspaceName &workspace, TimePoint now);

    /// A request that was taken and did not run.
    void giveBack(const WorkspaceName &workspace);

    /// Deals the rates anew. registered: all nodes that may admit requests; reports: what was heard from them lately.
    void rebalance(const std::vector<NodeName> &registered, const std::vector<NodeReport> &reports, TimePoint now);

    /// Requests per second of each workspace that entered here lately.
    [[nodiscard]] std::vector<WorkspaceDemand> demands(TimePoint now);

    /// The part of the workspace's rate that this node may use now, 0 to 1.
    [[nodiscard]] double part(const WorkspaceName &workspace) const;

private:
    struct Account {
        Limit limit;
        double part = 0;
        double tokens = 0;
        TimePoint filledAt;
        bool calm = false; ///< The workspace as a whole is well below its rate.
        double shortDemand = 0; ///< Requests per second, exponentially weighted.
        double longDemand = 0;
        double demand = 0; ///< The greater of both.
        double demandBefore = 0; ///< As told to the other nodes one report earlier.
        int asked = 0; ///< Since the demand was last brought up to date.
    };

    void fill(Account &account, TimePoint now);
    [[nodiscard]] double capacity(const Account &account) const;
    [[nodiscard]] double beyond(const Limit &limit) const;

    NodeName m_self;
    Tolerance m_tolerance;
    double m_nodes = 1; ///< Registered, with this one.
    TimePoint m_demandAt;
    std::map<WorkspaceName, Account> m_accounts;
    std::map<NodeName, std::vector<WorkspaceDemand>> m_otherDemands; ///< As last reported.
};

} // namespace vanillatack
