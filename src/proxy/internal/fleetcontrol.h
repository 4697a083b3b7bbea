#pragma once

#include "fleet/failuredetector.h"
#include "fleet/noderegistry.h"
#include "net/peerlink.h"
#include "proxy/internal/egressproxy.h"
#include "rootadmission/rootadmissionplan.h"

namespace vanillatack {

/// Exchanges load reports with the other nodes, and sets from them the shares of requests that enter and the parts of
/// the workspaces' rates.
class FleetControl final : public INodeRegistryListener
{
public:
    FleetControl(const NodeParts &parts, EgressProxy &egress, IVersionedTable &table);

    /// Starts the registry and the periodic work.
    void start(IPeerLink &link, std::uint64_t startedAtMs);

    void onReport(const NodeReport &report);
    void onBundle(const ReportBundle &bundle);

    /// Registers what the instance beside the node can take now. To be called when that may have changed.
    void publishOwn();

    /// From now on the own instance is registered as not accepting.
    void leave();

    /// The node of the zone that passes reports and tables on, when it is another one.
    [[nodiscard]] std::optional<NodeName> otherRelay() const;

    [[nodiscard]] bool joined() const
    {
        return m_registry.loaded();
    }

private:
    void onNode(const NodeEntry &entry) override;
    void onNodeRemoved(const NodeName &node) override;

    void tick();
    [[nodiscard]] Duration round() const;
    [[nodiscard]] Duration reportLifetime() const;
    NodeReport makeReport();
    void setGauges(const NodeReport &report);
    void sendBundles();
    [[nodiscard]] std::vector<Endpoint> endpoints(const std::vector<NodeName> &nodes) const;
    void planRootAdmission();
    void assignRates();
    void logPledges();
    void removeSilentNodes();

    NodeParts m_parts;
    EgressProxy &m_egress;
    IPeerLink *m_link = nullptr;
    NodeRegistry m_registry;
    std::uint64_t m_startedAtMs = 0;
    std::uint64_t m_sequence = 0;
    bool m_leaving = false;
    TimePoint m_tickedAt;
    CapacityCorrection m_capacityCorrection;
    std::vector<ServiceName> m_saturated; ///< Of the last plan.
    std::map<RouteName, double> m_offered; ///< Requests per second, exponentially weighted.
    FailureDetector m_detector;
    std::map<WorkspaceName, double> m_loggedPledges; ///< Parts of rates that this node deals out.
    std::uint64_t m_rounds = 0;
    std::map<NodeName, TimePoint> m_removalTriedAt; ///< Of rows of silent nodes.
};

} // namespace vanillatack
