#pragma once

#include "fleet/departureledger.h"
#include "fleet/failuredetector.h"
#include "net/peerlink.h"
#include "proxy/internal/egressproxy.h"

namespace vanillatack {

/// Notified of what a departure control has learned.
class IDepartureControlListener
{
public:
    virtual ~IDepartureControlListener() = default;

    /// The contents of the own registry row may have changed.
    virtual void onDeparturesChanged() = 0;

    /// What an earlier process has acknowledged is known. The nodes that were asked have configurations of at most the
    /// given version in force.
    virtual void onRecovered(std::uint64_t configVersion) = 0;
};

/// Keeps the departures of the local instance with the store and other nodes, remembers those of other nodes, and
/// recovers its own after a start; see DepartureLedger.
class DepartureControl final : private IDepartureLedgerHost
{
public:
    /// The references must outlive the control.
    DepartureControl(const NodeDependencies &dependencies,
                     const FailureDetector &detector,
                     IDepartureControlListener &listener);

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
    /// A node has sent a report or a bundle of reports to this one.
    void onReportFrom(const Endpoint &sender);
    /// configVersion is that of the configuration in force at this node.
    void onNote(const DepartureNote &note, const Endpoint &sender, std::uint64_t configVersion);

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
    IDepartureControlListener &m_listener;
    IPeerLink *m_link = nullptr;
    DepartureLedger m_ledger;
    DepartureArchive m_archive;
    std::uint64_t m_toldConfigVersion = 0; ///< The newest one that another node has told.
    bool m_checkScheduled = false;
};

} // namespace vanillatack
