#include "fleet/zonefeed.h"

#include "base/log.h"

#include <algorithm>
#include <memory>

namespace vanillatack {

namespace {

constexpr Log FeedLog("zonefeed");
/// Time after the end of a watch for which an answer is awaited before another source is asked as well.
constexpr Duration AnswerMargin = std::chrono::milliseconds(300);
/// A direct watch of the store lasts this fraction of the requested time, so that a relay's copy is confirmed at least
/// once during every watch it serves, unless it cannot reach the store.
constexpr double StoreWatchFraction = 0.5;
/// Fraction of a watch's duration after which the relay answers it as soon as the copy is confirmed.
constexpr double ConfirmFraction = 0.3;
/// Greatest accepted age of a node's copy in an answer without changes, as a fraction of the watch's duration. An older
/// copy means that the node cannot reach the store: from ConfirmFraction on, it answers at the moment at which its copy
/// is confirmed.
constexpr double MaxCopyAgeFraction = 0.65;
/// Time for which a source that has failed is not asked.
constexpr Duration AvoidanceTime = std::chrono::seconds(3);
/// Delay before the alternative sources are asked again while a call to the store is still open.
constexpr Duration AlternativesRetryDelay = std::chrono::milliseconds(150);
const NodeName Store; ///< Name of the store as a source; no node has it.
/// Number of changed rows above which the recorded changes of a table are discarded and recording starts again.
constexpr std::size_t MaxRetainedRows = 4096;

} // namespace

ZoneFeed::ZoneFeed(ITableStore &store, const IClock &clock, DelayedCall callAfter, IZoneWatches &watches)
    : m_store(store)
    , m_clock(clock)
    , m_callAfter(std::move(callAfter))
    , m_watches(watches)
{
}

void ZoneFeed::read(const std::string &table, const std::string &fromKey, TableCompletion completion)
{
    const Duration sent = m_clock.elapsed();
    const bool firstPage = fromKey.empty();
    m_store.read(
        table, fromKey, [this, table, firstPage, sent, completion = std::move(completion)](const TableAnswer &answer) {
            if (answer.outcome == TableOutcome::Done && firstPage && !answer.hasMore) {
                recordRead(table, answer, sent);
            }
            completion(answer);
        });
}

void ZoneFeed::write(const ConditionalWrite &write, TableCompletion completion)
{
    m_store.write(write, std::move(completion));
}

void ZoneFeed::watch(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion)
{
    const OutgoingWatchId id{++m_lastOutgoingId};
    OutgoingWatch &watch = m_outgoing[id];
    watch.table = table;
    watch.afterVersion = afterVersion;
    watch.wait = wait;
    watch.completion = std::move(completion);
    askNextSource(id);
}

/// Asks the next source. When all have been asked, the watch ends with the outcome of the store; while the call to the
/// store is still open, the others are asked again.
void ZoneFeed::askNextSource(OutgoingWatchId id)
{
    OutgoingWatch &watch = m_outgoing.at(id);
    const auto source = nextSource(watch);
    if (!source) {
        if (watch.open.empty()) {
            TableAnswer failure;
            failure.outcome = watch.storeOutcome;
            finish(id, failure);
            return;
        }
        m_callAfter(AlternativesRetryDelay, [this, id] {
            const auto entry = m_outgoing.find(id);
            if (entry != m_outgoing.end()) {
                entry->second.tried = entry->second.open;
                entry->second.alternatives.reset();
                askNextSource(id);
            }
        });
        return;
    }
    watch.tried.insert(*source);
    watch.open.insert(*source);
    if (*source == Store) {
        askStore(id);
    } else {
        askNode(id, *source);
    }
}

std::optional<NodeName> ZoneFeed::nextSource(OutgoingWatch &watch)
{
    const auto isUsable = [&](const NodeName &source) {
        return !watch.tried.contains(source) && !isAvoided(source);
    };
    const auto relay = m_watches.relay();
    if (relay && isUsable(*relay)) {
        return relay;
    }
    if (isUsable(Store)) {
        return Store;
    }
    if (!watch.alternatives) {
        watch.alternatives = m_watches.alternativeSources();
    }
    for (const NodeName &node : *watch.alternatives) {
        if (isUsable(node)) {
            return node;
        }
    }
    // Every watch asks the store, so that the outcome it ends with is that of a call.
    return watch.tried.contains(Store) ? std::nullopt : std::optional(Store);
}

bool ZoneFeed::isAvoided(const NodeName &source) const
{
    const auto entry = m_avoidedUntil.find(source);
    return entry != m_avoidedUntil.end() && m_clock.elapsed() < entry->second;
}

void ZoneFeed::askStore(OutgoingWatchId id)
{
    const OutgoingWatch &watch = m_outgoing.at(id);
    const auto wait = std::chrono::duration_cast<Duration>(watch.wait * StoreWatchFraction);
    const Duration sent = m_clock.elapsed();
    m_store.watch(watch.table,
                  watch.afterVersion,
                  wait,
                  [this, id, table = watch.table, afterVersion = watch.afterVersion, sent](const TableAnswer &answer) {
                      if (answer.outcome == TableOutcome::Done) {
                          m_avoidedUntil.erase(Store);
                          record(table, afterVersion, answer, sent);
                      }
                      onStoreAnswer(id, answer);
                  });
    m_callAfter(wait + AnswerMargin, [this, id] {
        const auto entry = m_outgoing.find(id);
        if (entry != m_outgoing.end() && entry->second.open.contains(Store)) {
            // The call stays open: a slow store may still answer it.
            avoid(entry->second.table, Store, "the source does not answer");
            askNextSource(id);
        }
    });
}

void ZoneFeed::onStoreAnswer(OutgoingWatchId id, const TableAnswer &answer)
{
    const auto entry = m_outgoing.find(id);
    if (entry == m_outgoing.end()) {
        return;
    }
    if (answer.outcome == TableOutcome::Done || answer.outcome == TableOutcome::HistoryGone) {
        finish(id, answer);
        return;
    }
    entry->second.storeOutcome = answer.outcome;
    onSourceFailed(id, Store, "the call has failed", false);
}

void ZoneFeed::askNode(OutgoingWatchId id, const NodeName &node)
{
    const OutgoingWatch &watch = m_outgoing.at(id);
    const Duration wait = watch.wait;
    const Duration sent = m_clock.elapsed();
    const SentWatchId sentWatch =
        m_watches.sendWatch(node,
                            {.requestId = 0, .table = watch.table, .afterVersion = watch.afterVersion, .wait = wait},
                            [this, id, node, sent](const std::optional<TableChanges> &changes) {
                                onNodeAnswer(id, node, sent, changes);
                            });
    m_callAfter(wait + AnswerMargin, [this, id, node, sentWatch] {
        const auto entry = m_outgoing.find(id);
        if (entry != m_outgoing.end() && entry->second.open.contains(node)) {
            m_watches.cancelWatch(sentWatch);
            onSourceFailed(id, node, "the source does not answer", false);
        }
    });
}

void ZoneFeed::onNodeAnswer(OutgoingWatchId id,
                            const NodeName &node,
                            Duration sent,
                            const std::optional<TableChanges> &changes)
{
    const auto entry = m_outgoing.find(id);
    if (entry == m_outgoing.end() || !entry->second.open.contains(node)) {
        return;
    }
    const OutgoingWatch &watch = entry->second;
    if (!changes || !changes->known) {
        onSourceFailed(id,
                       node,
                       changes ? "the source cannot tell the changes" : "the source cannot be reached",
                       changes.has_value());
        return;
    }
    if (storeEraOf(changes->version) < storeEraOf(watch.afterVersion)) {
        onSourceFailed(id, node, "the source has not noticed that the store has come back from an older copy", true);
        return;
    }
    const Duration confirmedAt = sent + changes->confirmedAfter;
    const auto maxAge = std::chrono::duration_cast<Duration>(watch.wait * MaxCopyAgeFraction);
    if (changes->rows.empty() && m_clock.elapsed() - confirmedAt > maxAge) {
        onSourceFailed(id, node, "the source has lost the store", true);
        return;
    }
    TableAnswer answer;
    answer.outcome = TableOutcome::Done;
    answer.rows = changes->rows;
    answer.version = std::max(changes->version, watch.afterVersion);
    answer.confirmedAt = confirmedAt;
    record(watch.table, watch.afterVersion, answer, sent);
    finish(id, answer);
}

void ZoneFeed::avoid(const std::string &table, const NodeName &source, const char *reason)
{
    const Duration now = m_clock.elapsed();
    std::erase_if(m_avoidedUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
    m_avoidedUntil[source] = now + AvoidanceTime;
    FeedLog.info("A source cannot serve the watch of a table; asking the next one.",
                 {{"table", table}, {"source", source == Store ? "store" : source.value}, {"reason", reason}});
    if (source == Store) {
        // The nodes that watch this one must find another source.
        m_recentChanges[table].direct = false;
        answerPending(table);
    }
}

/// Asks the next source after one has failed. An alternative source that has answered is asked again by the next watch:
/// it may have reached the store by then.
void ZoneFeed::onSourceFailed(OutgoingWatchId id, const NodeName &source, const char *reason, bool responsive)
{
    OutgoingWatch &watch = m_outgoing.at(id);
    watch.open.erase(source);
    if (!responsive || source == m_watches.relay()) {
        avoid(watch.table, source, reason);
    }
    askNextSource(id);
}

/// Ends a watch. The calls that are still open are not cancelled; their answers only update the recorded changes.
void ZoneFeed::finish(OutgoingWatchId id, const TableAnswer &answer)
{
    const auto watch = m_outgoing.extract(id);
    watch.mapped().completion(answer);
}

/// Records the changes of an answer, for the nodes that watch this one.
void ZoneFeed::record(const std::string &table, std::uint64_t afterVersion, const TableAnswer &answer, Duration sent)
{
    RecentChanges &recent = m_recentChanges[table];
    const bool gap = recent.version == 0 || afterVersion > recent.version || recent.rows.size() > MaxRetainedRows;
    if (gap) {
        recent.rows.clear();
        recent.completeSince = afterVersion;
        recent.version = afterVersion;
    }
    for (const VersionedRow &row : answer.rows) {
        VersionedRow &current = recent.rows[row.key];
        if (row.version > current.version) {
            current = row;
        }
    }
    recent.version = std::max(recent.version, answer.version);
    recent.direct = !answer.confirmedAt.has_value();
    recent.freshness.confirm({.storeClock = answer.storeClock,
                              .sent = sent,
                              .received = m_clock.elapsed(),
                              .confirmedAt = answer.confirmedAt});
    answerPending(table);
}

/// Starts recording at the version of a complete read. Watches that began at an earlier version end, since the changes
/// before it, among them the removed rows, are not known.
void ZoneFeed::recordRead(const std::string &table, const TableAnswer &answer, Duration sent)
{
    RecentChanges &recent = m_recentChanges[table];
    if (answer.version <= recent.version) {
        return;
    }
    recent.rows.clear();
    recent.completeSince = answer.version;
    recent.version = answer.version;
    recent.direct = true;
    recent.freshness.confirm({.storeClock = answer.storeClock, .sent = sent, .received = m_clock.elapsed()});
    answerPending(table);
}

void ZoneFeed::onWatch(PeerWatchId id, const TableWatch &watch)
{
    m_pending[id] = {watch, m_clock.elapsed()};
    const auto recent = m_recentChanges.find(watch.table);
    const bool known = recent != m_recentChanges.end() && watch.afterVersion >= recent->second.completeSince;
    if (!known) {
        expirePending(id);
        return;
    }
    answerPending(watch.table);
    if (m_pending.contains(id)) {
        m_callAfter(watch.wait, [this, id] {
            expirePending(id);
        });
    }
}

void ZoneFeed::onWatchAbandoned(PeerWatchId id)
{
    m_pending.erase(id);
}

TableChanges ZoneFeed::changesFor(const PendingWatch &pending) const
{
    TableChanges changes;
    const auto entry = m_recentChanges.find(pending.watch.table);
    if (entry == m_recentChanges.end() || pending.watch.afterVersion < entry->second.completeSince) {
        return changes;
    }
    const RecentChanges &recent = entry->second;
    const Duration now = m_clock.elapsed();
    const auto age = recent.freshness.age(now);
    if (!age) {
        return changes;
    }
    changes.version = recent.version;
    changes.confirmedAfter = now - *age - pending.receivedAt;
    for (const auto &[key, row] : recent.rows) {
        if (row.version > pending.watch.afterVersion) {
            changes.rows.push_back(row);
        }
    }
    changes.known = recent.direct || !changes.rows.empty();
    return changes;
}

/// Answers the pending watches of a table that have changes, that the copy cannot serve, or that have waited long
/// enough and whose copy has been confirmed since they arrived.
void ZoneFeed::answerPending(const std::string &table)
{
    const Duration now = m_clock.elapsed();
    std::vector<std::pair<PeerWatchId, TableChanges>> answers;
    for (const auto &[id, pending] : m_pending) {
        if (pending.watch.table != table) {
            continue;
        }
        const auto minWait = std::chrono::duration_cast<Duration>(pending.watch.wait * ConfirmFraction);
        TableChanges changes = changesFor(pending);
        const bool freshEnough = now - pending.receivedAt >= minWait && changes.confirmedAfter > Duration{0};
        if (!changes.known || !changes.rows.empty() || freshEnough) {
            answers.emplace_back(id, std::move(changes));
        }
    }
    for (auto &[id, changes] : answers) {
        m_pending.erase(id);
        m_watches.answerWatch(id, std::move(changes));
    }
}

void ZoneFeed::expirePending(PeerWatchId id)
{
    const auto pending = m_pending.extract(id);
    if (!pending.empty()) {
        m_watches.answerWatch(id, changesFor(pending.mapped()));
    }
}

} // namespace vanillatack
