#pragma once

#include "model/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace vanillatack {

/// A node and those that it does not hear.
struct NodeView {
    NodeName node;
    std::set<NodeName> silent;
};

/// Tells which node deals out the rate of a workspace, and which part of a rate the nodes have pledged to this one.
///
/// Every node pledges its even part of each rate to one owner: the first node in an order by hash, different for each
/// workspace, that it hears. An owner deals out only what is pledged to it. So the sides of a cut share the rate,
/// whichever nodes each takes for owners, and a node that hears nobody has its even part.
class RateOwnership
{
public:
    explicit RateOwnership(NodeName self);

    /// registered: all nodes that may let requests in; candidates: those that may own a rate (not the leaving ones).
    void setNodes(const std::set<NodeName> &registered, const std::set<NodeName> &candidates);

    /// The nodes of which this one knows what they hear, itself among them.
    void setViews(std::vector<NodeView> views);

    /// Owners in the order in which the node asks them; the first ones only.
    [[nodiscard]] const std::vector<NodeName> &order(const WorkspaceName &workspace) const;

    /// Part of the workspace's rate that is pledged to this node, 0 to 1.
    [[nodiscard]] double pledged(const WorkspaceName &workspace) const;

private:
    struct Order {
        std::vector<std::string> scores; ///< Ascending, of the nodes beside.
        std::vector<NodeName> nodes;
    };

    void insert(const WorkspaceName &workspace, Order &order, const NodeName &node) const;
    Order &orderOf(const WorkspaceName &workspace) const;

    NodeName m_self;
    std::size_t m_registered = 1;
    std::set<NodeName> m_candidates;
    std::vector<NodeView> m_views;
    mutable std::map<WorkspaceName, Order> m_orders;
};

} // namespace vanillatack
