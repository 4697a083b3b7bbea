#include "fleet/zonefeed.h"

#include "base/log.h"

#include <algorithm>
#include <memory>

namespace vanillatack {

namespace {

constexpr Log FeedLog("zonefeed");
/// Time after the end of a watch for which the relay's answer is awaited before the node watches the store.
constexpr Duration RelayAnswerMargin = std::chrono::milliseconds(300);
/// A direct watch of the store lasts this fraction of the requested time, so that a relay's copy is confirmed at least
/// once during every watch it serves, unless it cannot reach the store.
constexpr double StoreWatchFraction = 0.5;
/// Fraction of a watch's duration after which the relay answers it as soon as the copy is confirmed.
constexpr double ConfirmFraction = 0.3;
/// Greatest accepted age of the relay's copy in an answer without changes, as a fraction of the watch's duration. An
/// older copy means that the relay cannot reach the store: from ConfirmFraction on, it answers at the moment at which
/// its copy is confirmed.
constexpr double MaxCopyAgeFraction = 0.65;
/// Time for which a relay that has failed is not used.
constexpr Duration RelayAvoidanceTime = std::chrono::seconds(3);
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
    m_store.read(table, fromKey, std::move(completion));
}

void ZoneFeed::write(const ConditionalWrite &write, TableCompletion completion)
{
    m_store.write(write, std::move(completion));
}

void ZoneFeed::watch(const std::string &table, std::uint64_t afterVersion, Duration wait, TableCompletion completion)
{
    const auto relay = m_watches.relay();
    if (relay && m_clock.elapsed() >= m_relayAvoidedUntil) {
        watchRelay(*relay, table, afterVersion, wait, std::move(completion));
    } else {
        const auto storeWait = std::chrono::duration_cast<Duration>(wait * StoreWatchFraction);
        watchStore(table, afterVersion, storeWait, std::move(completion));
    }
}

void ZoneFeed::watchStore(const std::string &table,
                          std::uint64_t afterVersion,
                          Duration wait,
                          TableCompletion completion)
{
    const Duration sent = m_clock.elapsed();
    m_store.watch(table,
                  afterVersion,
                  wait,
                  [this, table, afterVersion, sent, completion = std::move(completion)](const TableAnswer &answer) {
                      if (answer.outcome == TableOutcome::Done) {
                          record(table, afterVersion, answer, sent);
                      }
                      completion(answer);
                  });
}

void ZoneFeed::watchRelay(const NodeName &relay,
                          const std::string &table,
                          std::uint64_t afterVersion,
                          Duration wait,
                          TableCompletion completion)
{
    const Duration sent = m_clock.elapsed();
    const auto open = std::make_shared<bool>(true);
    const auto fallBack = [this, table, afterVersion, wait, completion, relay](const char *reason) {
        FeedLog.info("The zone relay cannot serve the watch of a table; watching the store directly.",
                     {{"table", table}, {"source", relay.value}, {"reason", reason}});
        m_relayAvoidedUntil = m_clock.elapsed() + RelayAvoidanceTime;
        watch(table, afterVersion, wait, completion);
    };
    const SentWatchId id = m_watches.sendWatch(
        relay,
        {.requestId = 0, .table = table, .afterVersion = afterVersion, .wait = wait},
        [this, open, table, afterVersion, wait, sent, completion, fallBack](
            const std::optional<TableChanges> &changes) {
            if (!*open) {
                return;
            }
            *open = false;
            if (!changes || !changes->known) {
                fallBack(changes ? "the source cannot tell the changes" : "the source cannot be reached");
                return;
            }
            const Duration confirmedAt = sent + changes->confirmedAfter;
            const auto maxAge = std::chrono::duration_cast<Duration>(wait * MaxCopyAgeFraction);
            if (changes->rows.empty() && m_clock.elapsed() - confirmedAt > maxAge) {
                fallBack("the source has lost the store");
                return;
            }
            TableAnswer answer;
            answer.outcome = TableOutcome::Done;
            answer.rows = changes->rows;
            answer.version = std::max(changes->version, afterVersion);
            answer.confirmedAt = confirmedAt;
            record(table, afterVersion, answer, sent);
            completion(answer);
        });
    m_callAfter(wait + RelayAnswerMargin, [this, open, id, fallBack] {
        if (*open) {
            *open = false;
            m_watches.cancelWatch(id);
            fallBack("the source does not answer");
        }
    });
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
    recent.freshness.confirm({.storeClock = answer.storeClock,
                              .sent = sent,
                              .received = m_clock.elapsed(),
                              .confirmedAt = answer.confirmedAt});
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
    changes.known = true;
    changes.version = recent.version;
    changes.confirmedAfter = now - *age - pending.receivedAt;
    for (const auto &[key, row] : recent.rows) {
        if (row.version > pending.watch.afterVersion) {
            changes.rows.push_back(row);
        }
    }
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
