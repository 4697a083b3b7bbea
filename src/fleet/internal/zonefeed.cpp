#include "fleet/zonefeed.h"

#include "base/log.h"

#include <algorithm>
#include <memory>

namespace vanillatack {

namespace {

constexpr Log FeedLog("zonefeed");
/// Waited for the source's answer beyond the time of the watch; then the store is asked.
constexpr Duration SourcePatience = std::chrono::milliseconds(300);
/// A source watches the store for this part of the time for which it is watched itself, so that its copy is confirmed
/// in the course of each watch unless it has lost the store.
constexpr double StoreWatchShare = 0.5;
/// Part of a watch's time after which it is answered as soon as the copy is confirmed.
constexpr double ConfirmShare = 0.3;
/// Part of a watch's time by which the copy may be older than an answer without changes. A copy that was confirmed
/// after ConfirmShare is younger; the answer came then.
constexpr double OldestCopyShare = 0.65;
/// How long a source is passed over that has failed.
constexpr Duration SourcePause = std::chrono::seconds(3);
/// Changed rows that are remembered for each table.
constexpr std::size_t KeptRows = 4096;

} // namespace

ZoneFeed::ZoneFeed(IVersionedTable &store, const IClock &clock, DelayedCall callAfter, IZoneWatches &watches)
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
    const auto source = m_watches.relay();
    if (source && m_clock.elapsed() >= m_sourceAvoidedUntil) {
        watchSource(*source, table, afterVersion, wait, std::move(completion));
    } else {
        const auto storeWait = std::chrono::duration_cast<Duration>(wait * StoreWatchShare);
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

void ZoneFeed::watchSource(const NodeName &source,
                           const std::string &table,
                           std::uint64_t afterVersion,
                           Duration wait,
                           TableCompletion completion)
{
    const Duration sent = m_clock.elapsed();
    const auto open = std::make_shared<bool>(true);
    const auto fallBack = [this, table, afterVersion, wait, completion, source](const char *reason) {
        FeedLog.info("The zone's source of a table is passed over; the store is asked.",
                     {{"table", table}, {"source", source.value}, {"reason", reason}});
        m_sourceAvoidedUntil = m_clock.elapsed() + SourcePause;
        watch(table, afterVersion, wait, completion);
    };
    const SentWatchId id = m_watches.send(
        source,
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
            const auto oldest = std::chrono::duration_cast<Duration>(wait * OldestCopyShare);
            if (changes->rows.empty() && m_clock.elapsed() - confirmedAt > oldest) {
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
    m_callAfter(wait + SourcePatience, [this, open, id, fallBack] {
        if (*open) {
            *open = false;
            m_watches.cancel(id);
            fallBack("the source does not answer");
        }
    });
}

/// Keeps what an answer told, for the nodes that watch this one.
void ZoneFeed::record(const std::string &table, std::uint64_t afterVersion, const TableAnswer &answer, Duration sent)
{
    Copy &copy = m_copies[table];
    const bool gap = copy.version == 0 || afterVersion > copy.version || copy.rows.size() > KeptRows;
    if (gap) {
        copy.rows.clear();
        copy.completeSince = afterVersion;
        copy.version = afterVersion;
    }
    for (const VersionedRow &row : answer.rows) {
        VersionedRow &known = copy.rows[row.key];
        if (row.version > known.version) {
            known = row;
        }
    }
    copy.version = std::max(copy.version, answer.version);
    copy.freshness.confirm({.serviceClock = answer.serviceClock,
                            .sent = sent,
                            .received = m_clock.elapsed(),
                            .confirmedAt = answer.confirmedAt});
    answerParked(table);
}

void ZoneFeed::onWatch(PeerWatchId id, const TableWatch &watch)
{
    m_parked[id] = {watch, m_clock.elapsed()};
    const auto copy = m_copies.find(watch.table);
    const bool known = copy != m_copies.end() && watch.afterVersion >= copy->second.completeSince;
    if (!known) {
        expireParked(id);
        return;
    }
    answerParked(watch.table);
    if (m_parked.contains(id)) {
        m_callAfter(watch.wait, [this, id] {
            expireParked(id);
        });
    }
}

void ZoneFeed::onWatchAbandoned(PeerWatchId id)
{
    m_parked.erase(id);
}

TableChanges ZoneFeed::changesFor(const Parked &parked) const
{
    TableChanges changes;
    const auto entry = m_copies.find(parked.watch.table);
    if (entry == m_copies.end() || parked.watch.afterVersion < entry->second.completeSince) {
        return changes;
    }
    const Copy &copy = entry->second;
    const Duration now = m_clock.elapsed();
    const auto age = copy.freshness.age(now);
    if (!age) {
        return changes;
    }
    changes.known = true;
    changes.version = copy.version;
    changes.confirmedAfter = now - *age - parked.arrived;
    for (const auto &[key, row] : copy.rows) {
        if (row.version > parked.watch.afterVersion) {
            changes.rows.push_back(row);
        }
    }
    return changes;
}

/// Answers the watches for which there are changes, and those that have waited long enough for a confirmation.
void ZoneFeed::answerParked(const std::string &table)
{
    const Duration now = m_clock.elapsed();
    std::vector<std::pair<PeerWatchId, TableChanges>> answers;
    for (const auto &[id, parked] : m_parked) {
        if (parked.watch.table != table) {
            continue;
        }
        const auto patience = std::chrono::duration_cast<Duration>(parked.watch.wait * ConfirmShare);
        TableChanges changes = changesFor(parked);
        const bool freshEnough = now - parked.arrived >= patience && changes.confirmedAfter > Duration{0};
        if (!changes.known || !changes.rows.empty() || freshEnough) {
            answers.emplace_back(id, std::move(changes));
        }
    }
    for (auto &[id, changes] : answers) {
        m_parked.erase(id);
        m_watches.answer(id, std::move(changes));
    }
}

void ZoneFeed::expireParked(PeerWatchId id)
{
    const auto parked = m_parked.extract(id);
    if (!parked.empty()) {
        m_watches.answer(id, changesFor(parked.mapped()));
    }
}

} // namespace vanillatack
