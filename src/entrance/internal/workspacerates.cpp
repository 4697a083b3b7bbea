#include "entrance/workspacerates.h"

#include "base/durations.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace vanillatack {

namespace {

/// Part of the tolerance that is dealt out. The rest covers parts that nodes change at slightly different moments.
constexpr double DealtTolerance = 0.6;
/// Further part that a node may use in advance while the workspace as a whole is well below its rate.
constexpr double AdvanceTolerance = 0.3;
constexpr double CalmDemand = 0.8;
/// Factor of the parts meanwhile. Demand that rises is told within half a second, in which this adds a tenth of a
/// second of the rate.
constexpr double CalmParts = 1.2;
/// Part of the rate that all nodes together keep for nodes without demand so far, so that these can serve the first
/// requests that come.
constexpr double KeptForIdleNodes = 0.05;
/// Times over which demand is averaged; the greater mean counts. The short one follows callers that change zones, the
/// long one bridges the pauses between the few requests of a small workspace.
constexpr double ShortDemandSeconds = 0.8;
constexpr double LongDemandSeconds = 5.0;
/// Part of the unused rate that is dealt evenly; the rest goes by demand. At a node with one or two requests a second
/// the demand is known badly.
constexpr double EvenSpareShare = 0.6;

} // namespace

WorkspaceRates::WorkspaceRates(NodeName self, const Tolerance &tolerance)
    : m_self(std::move(self))
    , m_tolerance(tolerance)
{
}

void WorkspaceRates::setLimits(std::map<WorkspaceName, Limit> limits)
{
    std::erase_if(m_accounts, [&limits](const auto &entry) {
        return !limits.contains(entry.first);
    });
    for (const auto &[workspace, limit] : limits) {
        m_accounts[workspace].limit = limit;
    }
}

void WorkspaceRates::fill(Account &account, TimePoint now)
{
    if (account.filledAt != TimePoint{}) {
        account.tokens += account.limit.ratePerSecond * account.part * toSeconds(now - account.filledAt);
    }
    account.filledAt = now;
    account.tokens = std::min(account.tokens, capacity(account));
}

double WorkspaceRates::capacity(const Account &account) const
{
    const Limit &limit = account.limit;
    return std::max(limit.burst * account.part + DealtTolerance * beyond(limit) / m_nodes, 1.0);
}

double WorkspaceRates::beyond(const Limit &limit) const
{
    return m_tolerance.share * (limit.ratePerSecond * m_tolerance.windowSeconds + limit.burst) + m_tolerance.requests;
}

bool WorkspaceRates::tryTake(const WorkspaceName &workspace, TimePoint now)
{
    const auto entry = m_accounts.find(workspace);
    if (entry == m_accounts.end()) {
        return true;
    }
    Account &account = entry->second;
    ++account.asked;
    if (account.limit.ratePerSecond <= 0) {
        return true;
    }
    fill(account, now);
    const double advance = account.calm ? AdvanceTolerance * beyond(account.limit) / m_nodes : 0;
    if (account.tokens + advance < 1.0) {
        return false;
    }
    account.tokens -= 1.0;
    return true;
}

void WorkspaceRates::giveBack(const WorkspaceName &workspace)
{
    const auto entry = m_accounts.find(workspace);
    if (entry != m_accounts.end()) {
        entry->second.tokens += 1.0;
    }
}

void WorkspaceRates::rebalance(const std::vector<NodeName> &registered,
                               const std::vector<NodeReport> &reports,
                               TimePoint now)
{
    std::set<NodeName> others(registered.begin(), registered.end());
    others.erase(m_self);
    std::set<NodeName> heard;
    for (const NodeReport &report : reports) {
        if (others.contains(report.node)) {
            heard.insert(report.node);
            m_otherDemands[report.node] = report.demands;
        }
    }
    std::erase_if(m_otherDemands, [&others](const auto &entry) {
        return !others.contains(entry.first);
    });
    std::map<WorkspaceName, double> otherDemand;
    for (const auto &[node, demands] : m_otherDemands) {
        for (const WorkspaceDemand &demand : demands) {
            otherDemand[demand.workspace] += demand.perSecond;
        }
    }
    const bool allHeard = heard.size() == others.size();
    const double nodes = static_cast<double>(others.size()) + 1;
    m_nodes = nodes;
    for (auto &[workspace, account] : m_accounts) {
        fill(account, now);
        if (account.limit.ratePerSecond <= 0) {
            continue;
        }
        const double least = account.limit.ratePerSecond * KeptForIdleNodes / nodes;
        // The others count with what they have been told; a newer own demand would make the parts add up to more
        // than one while demand rises everywhere.
        const double own = std::min(account.demand, account.demandBefore) + least;
        const double total = own + otherDemand[workspace] + least * (nodes - 1);
        const double rate = account.limit.ratePerSecond;
        account.calm = allHeard && total < CalmDemand * rate;
        const double spare = std::max(rate - total, 0.0);
        const double dealt =
            own + spare * ((1 - EvenSpareShare) * own / std::max(total, least) + EvenSpareShare / nodes);
        const double wanted = total >= rate ? own / std::max(total, least) : dealt / rate;
        const double granted = account.calm ? std::min(wanted * CalmParts, 1.0) : wanted;
        account.part = allHeard ? granted : std::min(wanted, std::max(account.part, 1 / nodes));
    }
}

std::vector<WorkspaceDemand> WorkspaceRates::demands(TimePoint now)
{
    const double elapsed = m_demandAt == TimePoint{} ? 0 : toSeconds(now - m_demandAt);
    m_demandAt = now;
    std::vector<WorkspaceDemand> result;
    for (auto &[workspace, account] : m_accounts) {
        account.demandBefore = account.demand;
        if (elapsed > 0) {
            const double perSecond = account.asked / elapsed;
            account.shortDemand += (1 - std::exp(-elapsed / ShortDemandSeconds)) * (perSecond - account.shortDemand);
            account.longDemand += (1 - std::exp(-elapsed / LongDemandSeconds)) * (perSecond - account.longDemand);
            account.demand = std::max(account.shortDemand, account.longDemand);
            account.asked = 0;
        }
        if (account.demand > 0.01) {
            result.push_back({workspace, account.demand});
        }
    }
    return result;
}

double WorkspaceRates::part(const WorkspaceName &workspace) const
{
    const auto entry = m_accounts.find(workspace);
    return entry == m_accounts.end() ? 1.0 : entry->second.part;
}

} // namespace vanillatack
