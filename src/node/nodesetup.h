#pragma once

#include "base/random.h"
#include "metrics/imetrics.h"
#include "node/inode.h"
#include "statechart/statechart.h"
#include "store/iobjectstore.h"
#include "store/itableservice.h"

#include <memory>

namespace vanillatack {

/// References to the services that a node uses. They must outlive the node.
struct NodeEnvironment {
    IClock &clock;
    IRandom &random;
    IMessageSender &sender;
    ITableService &table;
    IObjectStore &objects;
    IMetrics &metrics;
    INodeListener &listener;
    const StateChart &upstreamChart; ///< charts/upstream.chart.
};

std::unique_ptr<INode> makeNode(const NodeEnvironment &environment, const SelfDescription &self);

} // namespace vanillatack
