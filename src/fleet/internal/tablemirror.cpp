#include "fleet/tablemirror.h"

#include "base/log.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr Log MirrorLog("tablemirror");

/// Delay after the first failed call. It doubles with each further failure, and up to half of it is random.
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(120);
/// Time after the return of a store from an older copy in which rows that it lacks are expected back. Those who own
/// them write them again within about two seconds.
constexpr Duration RewriteTime = std::chrono::seconds(3);
/// Longest delay before a retry, and so before a recovered store is noticed.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(900);

} // namespace

TableMirror::TableMirror(ITableStore &store,
                         const IClock &clock,
                         IRandom &random,
                         DelayedCall callAfter,
                         ITableMirrorListener &listener,
                         TableMirrorSettings settings)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
    , m_callAfter(std::move(callAfter))
    , m_listener(listener)
    , m_settings(std::move(settings))
{
}

void TableMirror::start()
{
    m_pendingRead.clear();
    readFrom({});
}

void TableMirror::readFrom(const std::string &key)
{
    if (key.empty()) {
        m_sentAt = m_clock.elapsed();
    }
    m_store.read(m_settings.table, key, [this](TableAnswer answer) {
        onRead(std::move(answer));
    });
}

void TableMirror::onRead(TableAnswer answer)
{
    if (answer.outcome != TableOutcome::Done) {
        retryLater(answer.outcome, [this] {
            start();
        });
        return;
    }
    if (m_pendingRead.empty()) {
        m_pendingReadVersion = answer.version;
    } else if (storeEraOf(answer.version) != storeEraOf(m_pendingReadVersion)) {
        start(); // The pages are of different copies.
        return;
    }
    for (const VersionedRow &row : answer.rows) {
        m_pendingRead[row.key] = row;
    }
    if (answer.hasMore && !answer.rows.empty()) {
        // The smallest key after the last one, in byte order.
        readFrom(answer.rows.back().key + std::string(1, '\0'));
        return;
    }
    removeMissingRows();
    for (const auto &[key, row] : m_pendingRead) {
        apply(row);
    }
    m_pendingRead.clear();
    m_version = std::max(m_version, m_pendingReadVersion);
    m_loaded = true;
    confirm(answer);
    watch();
}

/// Removes the rows that a complete read does not contain, except those that an older copy may lack.
void TableMirror::removeMissingRows()
{
    const std::uint64_t era = storeEraOf(m_pendingReadVersion);
    const bool eraChanged = m_loaded && era > storeEraOf(m_version);
    for (const auto &[key, row] : std::map(m_rows)) {
        if (m_pendingRead.contains(key)) {
            continue;
        }
        if (storeEraOf(row.version) < era) {
            if (eraChanged || !m_unconfirmed.contains(key)) {
                m_unconfirmed[key] = m_clock.elapsed() + RewriteTime;
            }
            continue;
        }
        VersionedRow removed = row;
        removed.deleted = true;
        removed.version = std::max(removed.version, m_pendingReadVersion);
        apply(removed);
    }
    if (!m_unconfirmed.empty()) {
        MirrorLog.info("The store lacks rows since its return from an older copy; they are kept for a while.",
                       {{"table", m_settings.table},
                        {"rows", std::to_string(m_unconfirmed.size())},
                        {"version", std::to_string(storeNumberOf(m_pendingReadVersion))},
                        {"era", std::to_string(era)}});
        m_callAfter(RewriteTime, [this] {
            dropUnconfirmed();
        });
    }
}

void TableMirror::dropUnconfirmed()
{
    const Duration now = m_clock.elapsed();
    for (const auto &[key, dropAt] : std::map(m_unconfirmed)) {
        if (dropAt <= now) {
            VersionedRow removed = m_rows.at(key);
            removed.deleted = true;
            removed.version = m_version;
            apply(removed);
        }
    }
}

void TableMirror::watch()
{
    m_sentAt = m_clock.elapsed();
    m_store.watch(m_settings.table, m_version, m_settings.watchTimeout, [this](TableAnswer answer) {
        onWatched(std::move(answer));
    });
}

void TableMirror::onWatched(TableAnswer answer)
{
    if (answer.outcome == TableOutcome::HistoryGone) {
        MirrorLog.info("The store no longer has the changes of a table since the known version; reading it again.",
                       {{"table", m_settings.table}, {"version", std::to_string(m_version)}});
        start();
        return;
    }
    if (answer.outcome != TableOutcome::Done) {
        retryLater(answer.outcome, [this] {
            watch();
        });
        return;
    }
    for (const VersionedRow &row : answer.rows) {
        apply(row);
    }
    m_version = std::max(m_version, answer.version);
    confirm(answer);
    if (answer.rows.empty() || m_settings.coalescingDelay == Duration{0}) {
        watch();
    } else {
        m_callAfter(m_settings.coalescingDelay, [this] {
            watch();
        });
    }
}

void TableMirror::apply(const VersionedRow &row)
{
    const auto current = m_rows.find(row.key);
    if (current != m_rows.end() && row.version <= current->second.version) {
        return;
    }
    m_unconfirmed.erase(row.key);
    if (row.deleted) {
        m_rows.erase(row.key);
    } else {
        m_rows[row.key] = row;
    }
    m_listener.onRow(row);
}

void TableMirror::confirm(const TableAnswer &answer)
{
    m_retryDelay = Duration{0};
    if (!m_reachable) {
        m_reachable = true;
        m_listener.onReachable(true, TableOutcome::Done);
    }
    m_listener.onConfirmed({.storeClock = answer.storeClock,
                            .sent = m_sentAt,
                            .received = m_clock.elapsed(),
                            .confirmedAt = answer.confirmedAt});
}

void TableMirror::retryLater(TableOutcome reason, std::function<void()> next)
{
    if (m_reachable) {
        m_reachable = false;
        m_listener.onReachable(false, reason);
    }
    m_retryDelay = std::clamp(m_retryDelay * 2, InitialRetryDelay, MaxRetryDelay);
    const auto jitterRange = static_cast<std::uint64_t>(m_retryDelay.count() / 2);
    m_callAfter(m_retryDelay / 2 + Duration(m_random.below(jitterRange + 1)), std::move(next));
}

} // namespace vanillatack
