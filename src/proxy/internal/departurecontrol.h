#pragma once

#include "fleet/departureledger.h"
#include "fleet/failuredetector.h"
#include "net/peerlink.h"
#include "proxy/internal/egressproxy.h"

namespace vanillatack {

/// Keeps the departures of the local instance with the store and other nodes, remembers those of other nodes, and
/// recovers its own after a start; see DepartureLedger.
class DepartureControl final : private IDepartureLedgerHost
{
public:
    /// The detector must outlive the control. publish writes the own registry row if its contents have changed.
    DepartureControl(const NodeDependencies &dependencies,
                     const FailureDetector &detector,
                     std::function<void()> publish);

    /// Starts to recover the departures that an earlier process has acknowledged.
    void start(IPeerLink &link);

    /// Records that the instance has left. Acknowledges with false if that could not be kept in time.
    void add(const Departure &departure, std::function<void(bool kept)> acknowledge);

    /// Departures for the own registry row.
    [[nodiscard]] std::vector<Departure> departures() const
    {
        return m_ledger.departures();
    }

    /// The own row is in the store with these contents.
    void onOwnNode(const NodeEntry &entry);
    /// The row of another node is about to be forgotten.
    void onNodeRemoved(const NodeEntry &entry);
    void onRegistryRead();
    void onReport(const NodeName &node, const Endpoint &sender);
    void onNote(const DepartureNote &note, const Endpoint &sender);

private:
    [[nodiscard]] std::vector<DepartureKeeper> keepers() const override;
    [[nodiscard]] std::vector<DepartureKeeper> formerKeepers() const override;
    void sendNote(const Endpoint &node, const DepartureNote &note) override;
    void onDeparturesRestored(const std::vector<Departure> &departures) override;
    void onRecovered(const std::string &reason) override;

    [[nodiscard]] std::vector<DepartureKeeper> nodesAfterSelf(std::size_t limit) const;
    void scheduleCheck();

    NodeDependencies m_dependencies;
    const FailureDetector &m_detector;
    std::function<void()> m_publish;
    IPeerLink *m_link = nullptr;
    DepartureLedger m_ledger;
    DepartureArchive m_archive;
    bool m_checkScheduled = false;
};

} // namespace vanillatack
