#include "entrance/workspacerates.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace vanillatack {

namespace {

/// Part of the burst that is dealt out. The rest covers parts that nodes change at slightly different moments.
constexpr double DealtBurst = 0.5;
/// Part of the rate that all nodes together keep for nodes without demand so far, so that these can serve the first
/// requests that come.
constexpr double KeptForIdleNodes = 0.05;
/// Time over which demand is averaged. Short, since demand moves within seconds when callers change zones.
constexpr double DemandSeconds = 1.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

WorkspaceRates::WorkspaceRates(NodeName self)
    : m_self(std::move(self))
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
        account.tokens += account.limit.ratePerSecond * account.part * seconds(now - account.filledAt);
    }
    account.filledAt = now;
    const double capacity = std::max(account.limit.burst * DealtBurst, 1.0) * account.part;
    account.tokens = std::min(account.tokens, std::max(capacity, 1.0));
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
    if (account.tokens < 1.0) {
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
    for (auto &[workspace, account] : m_accounts) {
        fill(account, now);
        const double least = account.limit.ratePerSecond * KeptForIdleNodes / nodes;
        // The others count with what they have been told; a newer own demand would make the parts add up to more
        // than one while demand rises everywhere.
        const double own = std::min(account.demand, account.demandBefore) + least;
        const double total = own + otherDemand[workspace] + least * (nodes - 1);
        const double wanted = total > 0 ? own / total : 1 / nodes;
        account.part = allHeard ? wanted : std::min(wanted, std::max(account.part, 1 / nodes));
    }
}

std::vector<WorkspaceDemand> WorkspaceRates::demands(TimePoint now)
{
    const double elapsed = m_demandAt == TimePoint{} ? 0 : seconds(now - m_demandAt);
    m_demandAt = now;
    std::vector<WorkspaceDemand> result;
    for (auto &[workspace, account] : m_accounts) {
        account.demandBefore = account.demand;
        if (elapsed > 0) {
            const double weight = 1 - std::exp(-elapsed / DemandSeconds);
            account.demand += weight * (account.asked / elapsed - account.demand);
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
