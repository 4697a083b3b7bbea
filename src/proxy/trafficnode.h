#pragma once

#include "base/error.h"
#include "base/random.h"
#include "fleet/iversionedtable.h"
#include "fleet/storeconfirmation.h"
#include "instance/localinstance.h"
#include "metrics/imetrics.h"
#include "net/eventloop.h"
#include "proxy/proxysettings.h"
#include "routes/trafficconfig.h"

#include <functional>
#include <memory>

namespace vanillatack {

/// One node: takes requests of the callers and of the instance on its VM, and passes calls of all nodes on to that
/// instance. Runs on one event loop.
class ITrafficNode
{
public:
    virtual ~ITrafficNode() = default;

    /// Opens the ports and joins the fleet. Errors: Unavailable when an address cannot be bound.
    virtual Result<void> start() = 0;

    /// Takes times and limits from changed settings. Addresses and names hold until the next start.
    virtual void updateSettings(const ProxySettings &settings) = 0;

    /// Takes a version of the configuration. Older ones than the one in force are ignored.
    virtual void applyConfig(TrafficConfig config) = 0;

    /// The configuration in force was the newest one; see StoreFreshness.
    virtual void confirmConfig(const StoreConfirmation &confirmation) = 0;

    /// The store of the configuration was lost or is heard again.
    virtual void recordStoreReachable(bool reachable, const std::string &reason) = 0;

    /// The store's tables as the nodes of the zone follow them together; see ZoneFeed.
    [[nodiscard]] virtual IVersionedTable &tables() = 0;

    /// The instance beside the node tells its state, or that it is gone.
    virtual AnnouncementVerdict announce(const InstanceAnnouncement &announcement) = 0;
    virtual AnnouncementVerdict withdraw(const std::string &instance, std::uint64_t startedAtMs) = 0;

    /// Whether callers may be sent to this node.
    [[nodiscard]] virtual bool isReady() const = 0;

    /// Leaves the fleet, finishes what has begun, and calls done at the latest when the grace time is nearly over.
    virtual void shutDown(std::function<void()> done) = 0;
};

/// The references must outlive the node.
std::unique_ptr<ITrafficNode> makeTrafficNode(EventLoop &loop,
                                              const IClock &clock,
                                              IRandom &random,
                                              IVersionedTable &table,
                                              IMetrics &metrics,
                                              const ProxySettings &settings);

} // namespace vanillatack
