#include "documents/internal/withdrawaltable.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace vanillatack {

namespace {

constexpr Log DocumentsLog("documents");
constexpr std::size_t RowsPerScan = 500;
constexpr std::size_t RowsPerTransaction = 64;
// Long enough for the other readers to see from the change marker that one of them wrote the missing rows.
constexpr std::chrono::seconds MaxMissingDelay{4};
constexpr int MarkerBits = 64;

} // namespace

WithdrawalTable::WithdrawalTable(DocumentsContext &context, const WithdrawnSet &withdrawn, ScannedCallback scanned)
    : m_context(context)
    , m_withdrawn(withdrawn)
    , m_onScanned(std::move(scanned))
    , m_nextScanAt(context.clock.now())
    , m_nextWriteAt(context.clock.now())
    , m_nextCheckAt(context.clock.now())
{
}

void WithdrawalTable::tick(bool ready, std::uint64_t marker)
{
    const TimePoint now = m_context.clock.now();
    if (!m_scanning && now >= m_nextScanAt && scanIsDue(ready, marker)) {
        m_scanningMarker = marker;
        m_scannedKeys.clear();
        scan(std::string(WithdrawnPrefix));
    }
    if (now >= m_nextCheckAt && m_context.isReader()) {
        m_nextCheckAt = now + m_context.settings.readerPollInterval;
        queueMissing();
    }
    completeOverdue();
    if (!m_writing && now >= m_nextWriteAt && !m_pending.empty()) {
        writePending();
    }
}

bool WithdrawalTable::scanIsDue(bool ready, std::uint64_t marker) const
{
    if (!m_lastScanAt) {
        return true;
    }
    if (!m_context.isReader()) {
        return !ready && marker != m_scannedMarker;
    }
    return marker != m_scannedMarker || m_context.clock.now() - *m_lastScanAt >= m_context.settings.scanInterval;
}

void WithdrawalTable::scan(const std::string &after)
{
    m_scanning = true;
    m_context.table.scan(std::string(WithdrawnPrefix),
                         after,
                         RowsPerScan,
                         m_context.whileAlive([this](const Result<std::vector<TableRow>> &result) {
                             m_scanning = false;
                             m_context.recordAnswer(result);
                             onRows(result);
                         }));
}

void WithdrawalTable::onRows(const Result<std::vector<TableRow>> &result)
{
    if (!result) {
        m_nextScanAt = m_context.clock.now() + m_context.settings.readerPollInterval;
        return;
    }
    for (const TableRow &row : result.value()) {
        const auto withdrawn = parseWithdrawal(row);
        if (withdrawn) {
            m_scannedKeys.push_back(withdrawn.value());
        } else {
            DocumentsLog.error(withdrawn.error().text(), {{"row", row.key}});
        }
    }
    if (result.value().size() < RowsPerScan) {
        finishScan();
    } else {
        scan(result.value().back().key);
    }
}

void WithdrawalTable::finishScan()
{
    m_lastScanAt = m_context.clock.now();
    m_scannedMarker = m_scanningMarker;
    m_keysInTable.clear();
    for (const WithdrawnKey &withdrawn : m_scannedKeys) {
        m_keysInTable.insert(withdrawn.key);
    }
    m_onScanned(std::exchange(m_scannedKeys, {}));
}

/// Queues keys that the node where they were withdrawn could not write, for example because it was replaced while the
/// table was unavailable.
void WithdrawalTable::queueMissing()
{
    std::vector<KeyId> missing;
    if (m_lastScanAt && m_withdrawn.count() != m_keysInTable.size()) {
        for (const WithdrawnKey &withdrawn : m_withdrawn.all()) {
            if (!m_keysInTable.contains(withdrawn.key)) {
                missing.push_back(withdrawn.key);
            }
        }
    }
    const TimePoint now = m_context.clock.now();
    if (missing.empty()) {
        m_missingSince.reset();
    } else if (!m_missingSince) {
        m_missingSince = now;
        m_missingDelay = m_context.settings.readerPollInterval
            + std::chrono::milliseconds(m_context.random.below(std::chrono::milliseconds(MaxMissingDelay).count()));
    } else if (now - *m_missingSince >= m_missingDelay) {
        for (const KeyId &key : missing) {
            m_pending.try_emplace(key);
        }
    }
}

void WithdrawalTable::write(const KeyId &key, IDocuments::WithdrawCompletion done)
{
    PendingWrite &pending = m_pending[key];
    if (pending.done) {
        // Concurrent withdrawals of the same key share one write.
        pending.done = [first = std::move(pending.done), second = std::move(done)](const Result<void> &result) {
            first(result);
            second(result);
        };
        return;
    }
    pending = {.done = std::move(done), .deadline = m_context.clock.now() + m_context.settings.operationTimeout};
    m_nextWriteAt = m_context.clock.now();
}

void WithdrawalTable::writePending()
{
    std::vector<TableWrite> writes;
    std::vector<KeyId> keys;
    for (auto entry = m_pending.begin(); entry != m_pending.end() && keys.size() < RowsPerTransaction;) {
        const auto withdrawn = m_withdrawn.find(entry->first);
        if (!withdrawn || (!entry->second.done && m_keysInTable.contains(entry->first))) {
            entry = m_pending.erase(entry); // Expired, or already written by another node.
            continue;
        }
        writes.push_back({.key = withdrawnRowKey(withdrawn->key),
                          .value = formatWithdrawal(*withdrawn),
                          .expectedVersion = std::nullopt});
        keys.push_back(withdrawn->key);
        ++entry;
    }
    if (keys.empty()) {
        return;
    }
    writes.push_back({.key = std::string(WithdrawalMarkerKey),
                      .value = m_context.random.hexToken(MarkerBits),
                      .expectedVersion = std::nullopt});
    m_writing = true;
    m_context.table.commit(writes, m_context.whileAlive([this, keys](const Result<TableCommit> &result) {
        m_writing = false;
        m_context.recordAnswer(result);
        onWritten(keys, result);
    }));
}

void WithdrawalTable::onWritten(const std::vector<KeyId> &keys, const Result<TableCommit> &result)
{
    const bool written = result.has_value() && result.value().committed;
    m_nextWriteAt = m_context.clock.now() + (written ? Duration::zero() : m_context.settings.retryInterval);
    if (written) {
        m_keysInTable.insert(keys.begin(), keys.end());
        const auto completions = removeCompletions(keys);
        for (const KeyId &key : keys) {
            m_pending.erase(key);
        }
        complete(completions, success());
    } else if (!result && result.error().kind == ErrorKind::Unavailable) {
        complete(
            removeCompletions(keys),
            makeError(ErrorKind::Unavailable,
                      "The withdrawal is in effect and is sent to other nodes, but is not written to the table yet: "
                          + result.error().message,
                      "No action is needed; a node writes it when the table is available again."));
    }
    // The write is idempotent, so it is retried after a lost answer without reading the rows back.
}

void WithdrawalTable::completeOverdue()
{
    std::vector<KeyId> overdue;
    for (const auto &[key, pending] : m_pending) {
        if (pending.done && m_context.clock.now() >= pending.deadline) {
            overdue.push_back(key);
        }
    }
    complete(
        removeCompletions(overdue),
        makeError(ErrorKind::OutcomeUnknown,
                  "The withdrawal is in effect and is sent to other nodes, but the table did not confirm it in time.",
                  "No action is needed; a node writes it when the table is available again."));
}

// Completions are removed before they are called, since they may call write().
std::vector<IDocuments::WithdrawCompletion> WithdrawalTable::removeCompletions(const std::vector<KeyId> &keys)
{
    std::vector<IDocuments::WithdrawCompletion> completions;
    for (const KeyId &key : keys) {
        const auto found = m_pending.find(key);
        if (found != m_pending.end() && found->second.done) {
            completions.push_back(std::exchange(found->second.done, {}));
        }
    }
    return completions;
}

void WithdrawalTable::complete(const std::vector<IDocuments::WithdrawCompletion> &completions,
                               const Result<void> &result)
{
    for (const IDocuments::WithdrawCompletion &done : completions) {
        done(result);
    }
}

void WithdrawalTable::remove(const std::vector<WithdrawnKey> &keys)
{
    std::vector<TableWrite> writes;
    for (const WithdrawnKey &withdrawn : keys) {
        m_pending.erase(withdrawn.key);
        if (m_keysInTable.erase(withdrawn.key) > 0 && m_context.isReader() && writes.size() < RowsPerTransaction) {
            writes.push_back({.key = withdrawnRowKey(withdrawn.key), .value = {}, .expectedVersion = {}});
        }
    }
    if (!writes.empty()) {
        // Rows that are not deleted now are deleted after a later scan.
        m_context.table.commit(writes, [](const Result<TableCommit> &) {});
    }
}

} // namespace vanillatack
