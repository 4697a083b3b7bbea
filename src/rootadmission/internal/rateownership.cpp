#include "rootadmission/rateownership.h"

#include "base/digest.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Owners that are kept for each workspace. When all of them are silent, the node itself is the owner.
constexpr std::size_t KeptOwners = 8;

} // namespace

RateOwnership::RateOwnership(NodeName self)
    : m_self(std::move(self))
{
}

void RateOwnership::setNodes(const std::set<NodeName> &registered, const std::set<NodeName> &candidates)
{
    m_registered = std::max<std::size_t>(registered.size(), 1);
    if (candidates == m_candidates) {
        return;
    }
    const bool removed = !std::includes(candidates.begin(), candidates.end(), m_candidates.begin(), m_candidates.end());
    if (removed) {
        m_orders.clear();
    } else {
        for (const NodeName &node : candidates) {
            if (m_candidates.contains(node)) {
                continue;
            }
            for (auto &[workspace, order] : m_orders) {
                insert(workspace, order, node);
            }
        }
    }
    m_candidates = candidates;
}

void RateOwnership::setViews(std::vector<NodeView> views)
{
    m_views = std::move(views);
}

/// Rendezvous hashing: a node that comes or goes changes the owner of no other node's workspaces.
void RateOwnership::insert(const WorkspaceName &workspace, Order &order, const NodeName &node) const
{
    const std::string score = sha256Hex(workspace.value + '\n' + node.value);
    const auto place = std::lower_bound(order.scores.begin(), order.scores.end(), score);
    const auto index = place - order.scores.begin();
    if (static_cast<std::size_t>(index) >= KeptOwners) {
        return;
    }
    order.scores.insert(place, score);
    order.nodes.insert(order.nodes.begin() + index, node);
    if (order.nodes.size() > KeptOwners) {
        order.scores.pop_back();
        order.nodes.pop_back();
    }
}

RateOwnership::Order &RateOwnership::orderOf(const WorkspaceName &workspace) const
{
    const auto [entry, missing] = m_orders.try_emplace(workspace);
    if (missing) {
        for (const NodeName &node : m_candidates) {
            insert(workspace, entry->second, node);
        }
    }
    return entry->second;
}

const std::vector<NodeName> &RateOwnership::order(const WorkspaceName &workspace) const
{
    return orderOf(workspace).nodes;
}

double RateOwnership::pledged(const WorkspaceName &workspace) const
{
    const std::vector<NodeName> &owners = order(workspace);
    const auto self = std::find(owners.begin(), owners.end(), m_self);
    std::size_t pledges = 0;
    for (const NodeView &view : m_views) {
        const bool earlierSilent = std::all_of(owners.begin(), self, [&view](const NodeName &owner) {
            return view.silent.contains(owner);
        });
        const bool listed = self != owners.end();
        const bool toSelf = earlierSilent && (listed ? !view.silent.contains(m_self) : view.node == m_self);
        pledges += toSelf ? 1 : 0;
    }
    return std::min(1.0, static_cast<double>(pledges) / static_cast<double>(m_registered));
}

} // namespace vanillatack
