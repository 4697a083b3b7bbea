#include "rootadmission/rateownership.h"

#include "base/digest.h"

#include <algorithm>
#include <string>

namespace vanillatack {

namespace {

/// Candidates kept for each workspace. When none of them may be chosen, each node is its own owner.
constexpr std::size_t MaxOwnerCandidates = 8;
/// Sets of nodes that are remembered, so that the statements of nodes that learn of a change later are understood.
constexpr std::size_t MaxViews = 4;

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
    , m_views(1)
{
}

void RateOwnership::setNodes(const std::set<NodeName> &registered)
{
    const View &previous = m_views.front();
    if (registered == previous.nodes) {
        return;
    }
    View view;
    view.digest = digestOf(registered);
    view.nodes = registered;
    if (std::includes(registered.begin(), registered.end(), previous.nodes.begin(), previous.nodes.end())) {
        view.candidateLists = previous.candidateLists;
        for (const NodeName &node : registered) {
            if (previous.nodes.contains(node)) {
                continue;
            }
            for (auto &[workspace, list] : view.candidateLists) {
                insert(workspace, list, node);
            }
        }
    }
    std::erase_if(m_views, [&view](const View &known) {
        return known.digest == view.digest;
    });
    m_views.push_front(std::move(view));
    if (m_views.size() > MaxViews) {
        m_views.pop_back();
    }
}

void RateOwnership::setStatements(std::vector<OwnerStatement> statements)
{
    m_statements = std::move(statements);
}

/// Rendezvous hashing: adding or removing a node moves only the workspaces that it owns.
void RateOwnership::insert(const WorkspaceName &workspace, CandidateList &list, const NodeName &node)
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

const std::vector<NodeName> &RateOwnership::candidates(const View &view, const WorkspaceName &workspace)
{
    const auto [entry, missing] = view.candidateLists.try_emplace(workspace);
    if (missing) {
        for (const NodeName &node : view.nodes) {
            insert(workspace, entry->second, node);
        }
    }
    return entry->second.nodes;
}

const RateOwnership::View *RateOwnership::findView(std::uint64_t digest) const
{
    const auto view = std::find_if(m_views.begin(), m_views.end(), [digest](const View &known) {
        return known.digest == digest;
    });
    return view == m_views.end() ? nullptr : &*view;
}

const std::vector<NodeName> &RateOwnership::ownerCandidates(const WorkspaceName &workspace) const
{
    return candidates(m_views.front(), workspace);
}

double RateOwnership::pledgedShare(const WorkspaceName &workspace) const
{
    const auto pledges = std::count_if(m_statements.begin(), m_statements.end(), [&](const OwnerStatement &statement) {
        const View *view = findView(statement.registeredDigest);
        return view != nullptr && statedOwner(statement, candidates(*view, workspace)) == m_self;
    });
    const std::size_t nodes = std::max<std::size_t>(m_views.front().nodes.size(), 1);
    return std::min(1.0, static_cast<double>(pledges) / static_cast<double>(nodes));
}

std::size_t RateOwnership::differingViews() const
{
    return static_cast<std::size_t>(
        std::count_if(m_statements.begin(), m_statements.end(), [this](const OwnerStatement &statement) {
            return findView(statement.registeredDigest) == nullptr;
        }));
}

} // namespace vanillatack
