#pragma once

#include "fleet/failuredetector.h"
#include "fleet/noderegistry.h"
#include "net/peerlink.h"
#include "proxy/internal/departurecontrol.h"
#include "proxy/internal/egressproxy.h"
#include "rootadmission/rootadmissionplan.h"

namespace vanillatack {

/// Exchanges load reports with the other nodes and computes from them the admitted share of each route's root requests,
/// and the owners and pledged shares of the workspaces' rates.
class FleetControl final : public INodeRegistryListener, private IDepartureControlListener
{
public:
    FleetControl(const NodeDependencies &dependencies, EgressProxy &egress, ITableStore &store);

    /// Starts the registry and the periodic reports and plans.
    void start(IPeerLink &link, std::uint64_t startedAtMs);

    /// Handles a report that its node has sent to this one.
    void onReport(const NodeReport &report, const Endpoint &sender);
    void onBundle(const ReportBundle &bundle, const Endpoint &sender);
    void onDepartureNote(const DepartureNote &note, const Endpoint &sender);

    /// Records that an instance of this node has left; see DepartureControl::add().
    void addDeparture(const Departure &departure, std::function<void(bool kept)> acknowledge);

    /// Publishes the registry entry of this node and its local instance if it has changed. Call after each event that
    /// may change it.
    void publishLocalState();

    /// Registers the node as leaving and its instance as not accepting.
    void leave();

    /// The zone relay, if it is another node; nullopt if it is this node or none is known.
    [[nodiscard]] std::optional<NodeName> relayUnlessSelf() const;

    /// A few random responsive nodes of the own zone, then the relay of each other zone; see IZoneWatches.
    [[nodiscard]] std::vector<NodeName> alternativeSources() const;

    /// Whether the registry has been read; the own row may not be written yet.
    [[nodiscard]] bool registryLoaded() const
    {
        return m_registry.loaded();
    }

private:
    void onNode(const NodeEntry &entry) override;
    void onNodeRemoved(const NodeName &node) override;
    void onOwnNode(const NodeEntry &entry) override;
    void onRegistryConfirmed() override;

    void onDeparturesChanged() override;
    void onRecovered(std::uint64_t configVersion) override;

    void recordReport(const NodeReport &report);
    void tick();
    [[nodiscard]] Duration reportInterval() const;
    [[nodiscard]] Duration reportLifetime() const;
    NodeReport makeReport();
    void setGauges(const NodeReport &report);
    void sendBundles();
    [[nodiscard]] std::vector<Endpoint> endpoints(const std::vector<NodeName> &nodes) const;
    void updateAdmittedShares();
    [[nodiscard]] std::set<NodeName> registeredNodes() const;
    void updateRateLimiter();
    void logPledges();
    void removeUnresponsiveNodes();

    NodeDependencies m_dependencies;
    EgressProxy &m_egress;
    IPeerLink *m_link = nullptr;
    NodeRegistry m_registry;
    std::uint64_t m_startedAtMs = 0;
    std::uint64_t m_sequence = 0;
    bool m_leaving = false;
    TimePoint m_lastTickAt;
    CapacityCorrection m_capacityCorrection;
    std::vector<ServiceName> m_saturatedServices; ///< Services that were saturated in the last plan.
    std::map<RouteName, double> m_offeredRates; ///< Mean requests per second, exponentially weighted.
    FailureDetector m_detector;
    DepartureControl m_departures;
    std::map<WorkspaceName, double> m_loggedPledges; ///< Last logged shares of the rates that are pledged to this node.
    std::uint64_t m_tickCount = 0;
    std::map<NodeName, TimePoint> m_removalAttemptedAt; ///< Last attempts to remove unresponsive nodes' rows.
};

} // namespace vanillatack
