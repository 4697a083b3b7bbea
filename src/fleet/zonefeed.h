#pragma once

#include "fleet/itablestore.h"
#include "fleet/storefreshness.h"
#include "model/messages.h"

#include <map>
#include <vector>

namespace vanillatack {

/// Identifies an unanswered watch request of another node.
using PeerWatchId = NumericId<struct PeerWatchTag>;
/// Identifies a watch request that this node has sent to another one.
using SentWatchId = NumericId<struct SentWatchTag>;

/// Sends and answers watch requests between the nodes of a zone.
class IZoneWatches
{
public:
    virtual ~IZoneWatches() = default;

    /// The relay of the zone, which watches the store for the other nodes; nullopt when it is this node or when no node
    /// is responsive.
    [[nodiscard]] virtual std::optional<NodeName> relay() const = 0;

    /// Sends a watch request. The completion is called once unless the watch is cancelled, with nullopt when the node
    /// is unreachable.
    virtual SentWatchId
    sendWatch(const NodeName &node, TableWatch watch, std::function<void(std::optional<TableChanges>)> completion) = 0;
    virtual void cancelWatch(SentWatchId watch) = 0;

    virtual void answerWatch(PeerWatchId watch, TableChanges changes) = 0;
};

/// Shares watches of the store's tables within a zone: the zone relay watches the store and the other nodes watch the
/// relay, so that the number of calls to the store does not grow with the zone, and a node that the store refuses still
/// receives changes. A node whose relay is unreachable or has an outdated copy watches the store directly. Reads and
/// writes always go to the store.
class ZoneFeed final : public ITableStore
{
public:
    /// The references must outlive the feed.
    ZoneFeed(ITableStore &store, const IClock &clock, DelayedCall callAfter, IZoneWatches &watches);

    void read(const std::string &table, const std::string &fromKey, TableCompletion completion) override;
    void
    watch(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion) override;
    void write(const ConditionalWrite &write, TableCompletion completion) override;

    /// Handles a watch request of another node.
    void onWatch(PeerWatchId id, const TableWatch &watch);
    void onWatchAbandoned(PeerWatchId id);

private:
    /// Changes of a table, kept to answer the watches of other nodes.
    struct RecentChanges {
        std::map<std::string, VersionedRow> rows; ///< Rows changed since completeSince, including deleted ones.
        std::uint64_t completeSince = 0; ///< Version after which rows contains every change.
        std::uint64_t version = 0; ///< Newest version received; 0 before the first answer.
        StoreFreshness freshness;
    };
    struct PendingWatch {
        TableWatch watch;
        Duration receivedAt{0};
    };

    void watchStore(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion);
    void watchRelay(const NodeName &relay,
                    const std::string &table,
                    std::uint64_t afterVersion,
                    Duration wait,
                    TableCompletion completion);
    void record(const std::string &table, std::uint64_t afterVersion, const TableAnswer &answer, Duration sent);
    [[nodiscard]] TableChanges changesFor(const PendingWatch &pending) const;
    void answerPending(const std::string &table);
    void expirePending(PeerWatchId id);

    ITableStore &m_store;
    const IClock &m_clock;
    DelayedCall m_callAfter;
    IZoneWatches &m_watches;
    std::map<std::string, RecentChanges> m_recentChanges;
    std::map<PeerWatchId, PendingWatch> m_pending;
    Duration m_relayAvoidedUntil{0}; ///< Time on the clock that advances during suspension.
};

} // namespace vanillatack
