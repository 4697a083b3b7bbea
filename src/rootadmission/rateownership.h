#pragma once

#include "model/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace vanillatack {

/// What a node states about the owners of rates that it chooses.
struct OwnerStatement {
    NodeName node;
    std::set<NodeName> notOwners; ///< Nodes that it chooses for no workspace: they are unresponsive to it or leaving.
    std::uint64_t registeredDigest = 0; ///< Digest of the names of the nodes that it knows.
};

/// Digest of a set of nodes, the same on all nodes.
std::uint64_t digestOf(const std::set<NodeName> &nodes);

/// Determines which node grants the tokens of a workspace, and which share of each rate is pledged to this node.
///
/// Every node pledges an equal share of each rate to one owner: the first node in an order by hash that differs for
/// each workspace, without those that are unresponsive to it or leaving. An owner grants only the share that is pledged
/// to it. The sides of a network partition therefore divide the rate between them, whichever owners each of them
/// chooses, and an isolated node keeps its own equal share.
///
/// Copies of the node registry can differ between nodes for seconds. Which owner a node chooses is therefore never
/// inferred from this node's copy but follows from the other node's own statement and the nodes that it knows. If these
/// are none of the sets of nodes that this node knows or knew recently, the pledge is not counted.
class RateOwnership
{
public:
    explicit RateOwnership(NodeName self);

    /// registered: all nodes that may admit root requests.
    void setNodes(const std::set<NodeName> &registered);

    /// statements: the recent ones of all nodes, this node's own included.
    void setStatements(std::vector<OwnerStatement> statements);

    /// The first candidates for ownership of the workspace's rate, in the order in which nodes ask them. A node's owner
    /// is the first one that its statement does not exclude.
    [[nodiscard]] const std::vector<NodeName> &ownerCandidates(const WorkspaceName &workspace) const;

    /// Share of the workspace's rate that is pledged to this node, 0 to 1.
    [[nodiscard]] double pledgedShare(const WorkspaceName &workspace) const;

    /// Number of nodes whose statement is not counted because this node has not known the same nodes.
    [[nodiscard]] std::size_t differingViews() const;

private:
    struct CandidateList {
        std::vector<std::string> scores; ///< Hashes of the nodes at the same index, ascending.
        std::vector<NodeName> nodes;
    };

    /// A set of registered nodes, with the candidates that follow from it.
    struct View {
        std::uint64_t digest = 0;
        std::set<NodeName> nodes;
        mutable std::map<WorkspaceName, CandidateList> candidateLists;
    };

    static void insert(const WorkspaceName &workspace, CandidateList &list, const NodeName &node);
    static const std::vector<NodeName> &candidates(const View &view, const WorkspaceName &workspace);
    [[nodiscard]] const View *findView(std::uint64_t digest) const;

    NodeName m_self;
    std::deque<View> m_views; ///< The current one first, then those that preceded it.
    std::vector<OwnerStatement> m_statements;
};

} // namespace vanillatack
