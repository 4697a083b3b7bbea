#include "rootadmission/rateownership.h"

#include "base/digest.h"

#include <algorithm>
#include <string>

namespace vanillatack {

namespace {

/// Candidates kept for each workspace. When none of them may be chosen, each node is its own owner.
constexpr std::size_t MaxOwnerCandidates = 8;

/// The owner that the node of the statement chooses among the candidates of a workspace.
const NodeName &statedOwner(const OwnerStatement &statement, const std::vector<NodeName> &candidates)
{
    const auto owner = std::find_if(candidates.begin(), candidates.end(), [&statement](const NodeName &candidate) {
        return !statement.notOwners.contains(candidate);
    });
    return owner == candidates.end() ? statement.node : *owner;
}

} // namespace

std::uint64_t digestOf(const std::set<NodeName> &nodes)
{
    std::string text;
    for (const NodeName &node : nodes) {
        text += node.value;
        text += '\n';
    }
    constexpr std::size_t Digits = 16;
    constexpr int Hexadecimal = 16;
    return std::stoull(sha256Hex(text).substr(0, Digits), nullptr, Hexadecimal);
}

RateOwnership::RateOwnership(NodeName self)
    : m_self(std::move(self))
{
}

void RateOwnership::setNodes(const std::set<NodeName> &registered)
{
    if (registered == m_registered) {
        return;
    }
    const bool removed = !std::includes(registered.begin(), registered.end(), m_registered.begin(), m_registered.end());
    if (removed) {
        m_candidateLists.clear();
    } else {
        for (const NodeName &node : registered) {
            if (m_registered.contains(node)) {
                continue;
            }
            for (auto &[workspace, list] : m_candidateLists) {
                insert(workspace, list, node);
            }
        }
    }
    m_registered = registered;
    m_registeredDigest = digestOf(registered);
}

void RateOwnership::setStatements(std::vector<OwnerStatement> statements)
{
    m_statements = std::move(statements);
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
        for (const NodeName &node : m_registered) {
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
    const auto pledges =
        std::count_if(m_statements.begin(), m_statements.end(), [this, &candidates](const OwnerStatement &statement) {
            return statement.registeredDigest == m_registeredDigest && statedOwner(statement, candidates) == m_self;
        });
    const std::size_t nodes = std::max<std::size_t>(m_registered.size(), 1);
    return std::min(1.0, static_cast<double>(pledges) / static_cast<double>(nodes));
}

std::size_t RateOwnership::differingViews() const
{
    return static_cast<std::size_t>(
        std::count_if(m_statements.begin(), m_statements.end(), [this](const OwnerStatement &statement) {
            return statement.registeredDigest != m_registeredDigest;
        }));
}

} // namespace vanillatack
