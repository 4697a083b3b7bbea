#pragma once

#include "fleet/itablestore.h"
#include "fleet/storefreshness.h"
#include "model/messages.h"

#include <map>
#include <optional>
#include <set>
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

    /// A few other nodes to ask when neither the relay nor the store serves a watch, in this order: nodes of the zone,
    /// then relays of other zones.
    [[nodiscard]] virtual std::vector<NodeName> alternativeSources() = 0;

    /// Sends a watch request. The completion is called once unless the watch is cancelled, with nullopt when the node
    /// is unreachable.
    virtual SentWatchId
    sendWatch(const NodeName &node, TableWatch watch, std::function<void(std::optional<TableChanges>)> completion) = 0;
    virtual void cancelWatch(SentWatchId watch) = 0;

    virtual void answerWatch(PeerWatchId watch, TableChanges changes) = 0;
};

/// Shares watches of the store's tables within a zone: the zone relay watches the store and the other nodes watch the
/// relay, so that the number of calls to the store does not grow with the zone. A node whose relay is unreachable or
/// has an outdated copy watches the store directly, and a node that the store does not serve either watches other
/// nodes, so that it receives changes as long as any of them does. Reads and writes always go to the store.
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
        /// Whether the last answer came from the store itself. Only then are other nodes' watches held until there are
        /// changes, so that nodes without the store never wait for each other.
        bool direct = false;
    };
    struct PendingWatch {
        TableWatch watch;
        Duration receivedAt{0};
    };

    /// A watch of this node that has not been answered yet.
    struct OutgoingWatch {
        std::string table;
        std::uint64_t afterVersion = 0;
        Duration wait{0};
        TableCompletion completion;
        std::set<NodeName> tried; ///< Sources that were asked; an empty name is the store.
        std::set<NodeName> open; ///< Sources that were asked and have not answered.
        std::optional<std::vector<NodeName>> alternatives; ///< Set when they are first needed.
        TableOutcome storeOutcome = TableOutcome::Unknown; ///< Outcome of the failed call to the store.
    };
    using OutgoingWatchId = NumericId<struct OutgoingWatchTag>;

    void askNextSource(OutgoingWatchId id);
    [[nodiscard]] std::optional<NodeName> nextSource(OutgoingWatch &watch);
    [[nodiscard]] bool isAvoided(const NodeName &source) const;
    void askStore(OutgoingWatchId id);
    void onStoreAnswer(OutgoingWatchId id, const TableAnswer &answer);
    void askNode(OutgoingWatchId id, const NodeName &node);
    void
    onNodeAnswer(OutgoingWatchId id, const NodeName &node, Duration sent, const std::optional<TableChanges> &changes);
    void avoid(const std::string &table, const NodeName &source, const char *reason);
    void onSourceFailed(OutgoingWatchId id, const NodeName &source, const char *reason, bool responsive);
    void finish(OutgoingWatchId id, const TableAnswer &answer);
    void record(const std::string &table, std::uint64_t afterVersion, const TableAnswer &answer, Duration sent);
    void recordRead(const std::string &table, const TableAnswer &answer, Duration sent);
    [[nodiscard]] TableChanges changesFor(const PendingWatch &pending) const;
    void answerPending(const std::string &table);
    void expirePending(PeerWatchId id);

    ITableStore &m_store;
    const IClock &m_clock;
    DelayedCall m_callAfter;
    IZoneWatches &m_watches;
    std::map<std::string, RecentChanges> m_recentChanges;
    std::map<PeerWatchId, PendingWatch> m_pending;
    std::uint64_t m_lastOutgoingId = 0;
    std::map<OutgoingWatchId, OutgoingWatch> m_outgoing;
    /// Sources that have failed and the times until which they are not asked, on the clock that advances during
    /// suspension. An empty name is the store.
    std::map<NodeName, Duration> m_avoidedUntil;
};

} // namespace vanillatack
