#include "rootadmission/rateownership.h"

#include "base/digest.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Candidates kept for each workspace. When all of them are unresponsive, each node is its own owner.
constexpr std::size_t MaxOwnerCandidates = 8;

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
        m_candidateLists.clear();
    } else {
        for (const NodeName &node : candidates) {
            if (m_candidates.contains(node)) {
                continue;
            }
            for (auto &[workspace, list] : m_candidateLists) {
                insert(workspace, list, node);
            }
        }
    }
    m_candidates = candidates;
}

void RateOwnership::setReachability(std::vector<NodeReachability> reachability)
{
    m_reachability = std::move(reachability);
}

/// Rendezvous hashing: adding or removing a node moves only the workspaces that it owns.
void RateOwnership::insert(const WorkspaceName &workspace, CandidateList &list, const NodeName &node) const
{
    const std::string score = sha256Hex(workspace.value + '\n' + node.value);
    const auto position = std::lower_bound(list.scores.begin(), list.scores.end(), score);
    const auto index = position - list.scores.begin();
    if (static_cast<std::size_t>(index) >= MaxOwnerCandidates) {
        return;
    }
    list.scores.insert(position, score);
    list.nodes.insert(list.nodes.begin() + index, node);
    if (list.nodes.size() > MaxOwnerCandidates) {
        list.scores.pop_back();
        list.nodes.pop_back();
    }
}

RateOwnership::CandidateList &RateOwnership::candidateList(const WorkspaceName &workspace) const
{
    const auto [entry, missing] = m_candidateLists.try_emplace(workspace);
    if (missing) {
        for (const NodeName &node : m_candidates) {
            insert(workspace, entry->second, node);
        }
    }
    return entry->second;
}

const std::vector<NodeName> &RateOwnership::ownerCandidates(const WorkspaceName &workspace) const
{
    return candidateList(workspace).nodes;
}

double RateOwnership::pledgedShare(const WorkspaceName &workspace) const
{
    const std::vector<NodeName> &candidates = ownerCandidates(workspace);
    const auto self = std::find(candidates.begin(), candidates.end(), m_self);
    std::size_t pledges = 0;
    for (const NodeReachability &entry : m_reachability) {
        const bool earlierUnresponsive = std::all_of(candidates.begin(), self, [&entry](const NodeName &candidate) {
            return entry.unresponsive.contains(candidate);
        });
        const bool listed = self != candidates.end();
        const bool toSelf =
            earlierUnresponsive && (listed ? !entry.unresponsive.contains(m_self) : entry.node == m_self);
        pledges += toSelf ? 1 : 0;
    }
    return std::min(1.0, static_cast<double>(pledges) / static_cast<double>(m_registered));
}

} // namespace vanillatack
