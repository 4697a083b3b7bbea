#pragma once

#include "fleet/iversionedtable.h"
#include "fleet/storefreshness.h"
#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// A watch that another node has asked for, until it is answered.
using PeerWatchId = NumericId<struct PeerWatchTag>;
/// A watch that this node asks of another one.
using SentWatchId = NumericId<struct SentWatchTag>;

/// Watches of tables between the nodes of a zone.
class IZoneWatches
{
public:
    virtual ~IZoneWatches() = default;

    /// The node of the zone that follows the store for the others; nullopt when it is this node or none is heard.
    [[nodiscard]] virtual std::optional<NodeName> relay() const = 0;

    /// The completion is called once, unless the watch is cancelled; with nullopt when the node cannot be reached.
    virtual SentWatchId
    send(const NodeName &node, TableWatch watch, std::function<void(std::optional<TableChanges>)> completion) = 0;
    virtual void cancel(SentWatchId watch) = 0;

    virtual void answer(PeerWatchId watch, TableChanges changes) = 0;
};

/// The store's tables as one node of each zone follows them for its zone: the others watch that node, so that the calls
/// to the store do not grow with the zone, and a node that the store refuses stays informed. A node that cannot reach
/// its source, or whose source knows nothing fresh, watches the store itself. Reads and writes always go to the store.
class ZoneFeed final : public IVersionedTable
{
public:
    /// The references must outlive the feed.
    ZoneFeed(IVersionedTable &store, const IClock &clock, DelayedCall callAfter, IZoneWatches &watches);

    void read(const std::string &table, const std::string &fromKey, TableCompletion completion) override;
    void
    watch(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion) override;
    void write(const ConditionalWrite &write, TableCompletion completion) override;

    /// Another node asks for changes.
    void onWatch(PeerWatchId id, const TableWatch &watch);
    void onWatchAbandoned(PeerWatchId id);

private:
    /// What this node knows of a table.
    struct Copy {
        std::map<std::string, VersionedRow> rows; ///< Those that have changed since completeSince, deleted ones too.
        std::uint64_t completeSince = 0; ///< Every change after this version is in rows.
        std::uint64_t version = 0; ///< 0: nothing is known.
        StoreFreshness freshness;
    };
    struct Parked {
        TableWatch watch;
        Duration arrived{0};
    };

    void watchStore(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion);
    void watchSource(const NodeName &source,
                     const std::string &table,
                     std::uint64_t afterVersion,
                     Duration wait,
                     TableCompletion completion);
    void record(const std::string &table, std::uint64_t afterVersion, const TableAnswer &answer, Duration sent);
    [[nodiscard]] TableChanges changesFor(const Parked &parked) const;
    void answerParked(const std::string &table);
    void expireParked(PeerWatchId id);

    IVersionedTable &m_store;
    const IClock &m_clock;
    DelayedCall m_callAfter;
    IZoneWatches &m_watches;
    std::map<std::string, Copy> m_copies;
    std::map<PeerWatchId, Parked> m_parked;
    Duration m_sourceAvoidedUntil{0}; ///< On the clock that counts suspensions.
};

} // namespace vanillatack
