#pragma once

#include "base/error.h"
#include "base/random.h"
#include "fleet/itablestore.h"
#include "fleet/storeconfirmation.h"
#include "instance/localinstance.h"
#include "metrics/imetrics.h"
#include "net/eventloop.h"
#include "proxy/proxysettings.h"
#include "routes/trafficconfig.h"

#include <functional>
#include <memory>

namespace vanillatack {

/// What the local instance is told about an announcement or a withdrawal.
enum class ReportOutcome {
    Acknowledged, ///< It binds this node, also after a restart.
    NotKept, ///< It is followed, but could not be kept so that it outlasts this process; not acknowledged.
    Foreign, ///< From an instance other than the local instance; ignored.
};

inline constexpr auto ReportOutcomeNames = makeNameTable<ReportOutcome, 3>({
    {ReportOutcome::Acknowledged, "acknowledged"},
    {ReportOutcome::NotKept, "not-kept"},
    {ReportOutcome::Foreign, "foreign"},
});

/// A node of the fleet: routes requests of callers and of the local instance to instances, and forwards the calls of
/// all nodes to the local instance. Runs on one event loop.
class ITrafficNode
{
public:
    virtual ~ITrafficNode() = default;

    /// Opens the ports and joins the fleet. Errors: Unavailable if an address cannot be bound.
    virtual Result<void> start() = 0;

    /// Applies changed time limits and retry percentages. Other settings take effect at the next start.
    virtual void updateSettings(const ProxySettings &settings) = 0;

    /// Applies a configuration. Ignored unless its version is newer than the one in force.
    virtual void applyConfig(TrafficConfig config) = 0;

    /// Records that the store confirmed the configuration in force as the newest; see StoreFreshness.
    virtual void confirmConfig(const StoreConfirmation &confirmation) = 0;

    /// Records that the configuration store became reachable or unreachable.
    virtual void recordStoreReachable(bool reachable, const std::string &reason) = 0;

    /// The store's tables, watched through the zone relay; see ZoneFeed.
    [[nodiscard]] virtual ITableStore &tableStore() = 0;

    /// Called once, during the call or later.
    using Acknowledge = std::function<void(ReportOutcome outcome)>;

    /// Handles an announcement of the local instance's state.
    virtual AnnouncementVerdict announce(const InstanceAnnouncement &announcement, Acknowledge acknowledge) = 0;

    /// Handles the local instance's message that it has stopped or is about to stop.
    virtual AnnouncementVerdict
    withdraw(const std::string &instance, std::uint64_t startedAtMs, Acknowledge acknowledge) = 0;

    /// Whether callers may send requests to this node.
    [[nodiscard]] virtual bool isReady() const = 0;

    /// Leaves the fleet and finishes the requests in flight. Calls done when idle, at the latest shortly before the end
    /// of the grace period.
    virtual void shutDown(std::function<void()> done) = 0;
};

/// The references must outlive the node. The memory budget is shared with other parts of the process; without one the
/// node has one of ProxySettings::memoryBytes.
std::unique_ptr<ITrafficNode> makeTrafficNode(EventLoop &loop,
                                              const IClock &clock,
                                              IRandom &random,
                                              ITableStore &store,
                                              IMetrics &metrics,
                                              const ProxySettings &settings,
                                              std::shared_ptr<MemoryBudget> memory = nullptr);

} // namespace vanillatack
