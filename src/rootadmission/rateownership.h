#pragma once

#include "model/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace vanillatack {

/// A node and the nodes that are unresponsive to it.
struct NodeReachability {
    NodeName node;
    std::set<NodeName> unresponsive;
};

/// Determines which node grants the tokens of a workspace, and which share of each rate is pledged to this node.
///
/// Every node pledges an equal share of each rate to one owner: the first responsive node in an order by hash that
/// differs for each workspace. An owner grants only the share that is pledged to it. The sides of a network partition
/// therefore divide the rate between them, whichever owners each of them chooses, and an isolated node keeps its own
/// equal share.
class RateOwnership
{
public:
    explicit RateOwnership(NodeName self);

    /// registered: all nodes that may admit root requests; candidates: the nodes that may own a rate (not leaving).
    void setNodes(const std::set<NodeName> &registered, const std::set<NodeName> &candidates);

    /// reachability: the known entries of all nodes, this node's own included.
    void setReachability(std::vector<NodeReachability> reachability);

    /// The first candidates for ownership of the workspace's rate, in the order in which nodes ask them. The first
    /// responsive one is the owner.
    [[nodiscard]] const std::vector<NodeName> &ownerCandidates(const WorkspaceName &workspace) const;

    /// Share of the workspace's rate that is pledged to this node, 0 to 1.
    [[nodiscard]] double pledgedShare(const WorkspaceName &workspace) const;

private:
    struct CandidateList {
        std::vector<std::string> scores; ///< Hashes of the nodes at the same index, ascending.
        std::vector<NodeName> nodes;
    };

    void insert(const WorkspaceName &workspace, CandidateList &list, const NodeName &node) const;
    CandidateList &candidateList(const WorkspaceName &workspace) const;

    NodeName m_self;
    std::size_t m_registered = 1;
    std::set<NodeName> m_candidates;
    std::vector<NodeReachability> m_reachability;
    mutable std::map<WorkspaceName, CandidateList> m_candidateLists;
};

} // namespace vanillatack
