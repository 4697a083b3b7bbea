#include "claims/internal/claimsservice.h"

#include "base/inidocument.h"
#include "base/log.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr Log ClaimsLog("claims");

// The row is read immediately after the first failure, since usually only the answer was lost. Later reads back off
// exponentially, so that nodes do not keep an overloaded table from recovering.
constexpr std::chrono::milliseconds FirstRetryDelay{50};
constexpr std::chrono::seconds MaxRetryDelay{5};
constexpr std::size_t SweepPageSize = 50;

// Expired rows are deleted only after this margin, when no transaction on them can still be in flight.
constexpr std::chrono::hours SweepMargin{1};

} // namespace

void ClaimsService::enqueue(Attempt &attempt)
{
    attempt.step = Step::Queued;
    attempt.queuedAt = m_clock.now();
    m_queue.push_back(attempt.id);
    if (m_queue.size() >= m_settings.maxBatchSize) {
        startTransactions(m_clock.now());
    }
}

/// Puts the attempt back at the head of the queue after its transaction failed because of conflicts on other rows.
void ClaimsService::requeue(Attempt &attempt)
{
    attempt.step = Step::Queued;
    m_queue.push_front(attempt.id);
}

void ClaimsService::startTransactions(TimePoint now)
{
    while (!m_queue.empty() && m_transactions.size() < m_settings.maxTransactionsInFlight) {
        const Attempt &oldest = m_attempts.at(m_queue.front());
        if (m_queue.size() < m_settings.maxBatchSize && now - oldest.queuedAt < m_settings.maxBatchDelay) {
            return;
        }
        Transaction transaction{.attempts = {}, .startedAt = now};
        const std::vector<TableWrite> writes = popBatch(transaction);
        if (writes.empty()) {
            return;
        }
        const std::uint64_t id = m_nextTransaction++;
        m_transactions.emplace(id, std::move(transaction));
        m_table.commit(writes, [this, id, alive = std::weak_ptr(m_alive)](const Result<TableCommit> &result) {
            if (!alive.expired()) {
                onCommit(id, result);
            }
        });
    }
}

/// Pops writes from the queue for one transaction, at most one per row.
std::vector<TableWrite> ClaimsService::popBatch(Transaction &transaction)
{
    std::vector<TableWrite> writes;
    std::set<std::string> rows;
    std::deque<std::string> deferred;
    std::size_t bytes = 0;
    while (!m_queue.empty() && writes.size() < m_settings.maxBatchSize) {
        Attempt &attempt = m_attempts.at(m_queue.front());
        if (rows.contains(attempt.rowKey)) {
            deferred.push_back(attempt.id);
            m_queue.pop_front();
            continue;
        }
        TableWrite write{
            .key = attempt.rowKey, .value = encodeClaimRow(attempt.row), .expectedVersion = attempt.version};
        if (!writes.empty() && bytes + write.value->size() > m_settings.maxBatchBytes) {
            break;
        }
        bytes += write.value->size();
        rows.insert(attempt.rowKey);
        attempt.step = Step::Committing;
        attempt.sentState = attempt.row.state;
        transaction.attempts.push_back(attempt.id);
        writes.push_back(std::move(write));
        m_queue.pop_front();
    }
    m_queue.insert(m_queue.begin(), deferred.begin(), deferred.end());
    return writes;
}

void ClaimsService::onCommit(std::uint64_t transactionId, const Result<TableCommit> &result)
{
    const auto found = m_transactions.find(transactionId);
    if (found == m_transactions.end()) {
        return; // The transaction timed out; its rows are being read instead.
    }
    const Transaction transaction = std::move(found->second);
    m_transactions.erase(found);
    for (std::size_t index = 0; index < transaction.attempts.size(); ++index) {
        Attempt *attempt = find(transaction.attempts[index]);
        if (attempt == nullptr) {
            continue;
        }
        if (!result.has_value()) {
            attempt->rereadsLeft = std::max(attempt->rereadsLeft, 1);
            scheduleReadWithBackoff(*attempt);
            continue;
        }
        const TableCommit &commit = result.value();
        const std::vector<std::size_t> &conflicts = commit.conflicts;
        if (commit.committed && index < commit.versions.size()) {
            onWritten(*attempt, commit.versions[index]);
        } else if (attempt->goal == Goal::Release
                   || std::find(conflicts.begin(), conflicts.end(), index) != conflicts.end()) {
            // An attempt whose claim timed out during the transaction must read its row too.
            scheduleRead(*attempt, Duration::zero());
        } else {
            requeue(*attempt);
        }
    }
    const TimePoint now = m_clock.now();
    startReads(now);
    startTransactions(now);
}

void ClaimsService::scheduleRead(Attempt &attempt, Duration delay)
{
    attempt.step = Step::Idle;
    attempt.notBefore = m_clock.now() + delay;
}

void ClaimsService::scheduleReadWithBackoff(Attempt &attempt)
{
    scheduleRead(attempt, attempt.retryDelay);
    attempt.retryDelay = std::clamp<Duration>(attempt.retryDelay * 2, FirstRetryDelay, MaxRetryDelay);
}

void ClaimsService::startReads(TimePoint now)
{
    Transaction transaction{.attempts = {}, .startedAt = now, .reads = true};
    std::vector<std::string> keys;
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.step == Step::Idle && attempt.goal != Goal::Hold && attempt.notBefore <= now
            && keys.size() < m_settings.maxBatchSize) {
            attempt.step = Step::Reading;
            transaction.attempts.push_back(id);
            keys.push_back(attempt.rowKey);
        }
    }
    if (keys.empty()) {
        return;
    }
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    const std::uint64_t id = m_nextTransaction++;
    m_transactions.emplace(id, std::move(transaction));
    m_table.readMany(keys, [this, id, alive = std::weak_ptr(m_alive)](const Result<std::vector<TableRow>> &result) {
        if (!alive.expired()) {
            onRows(id, result);
        }
    });
}

void ClaimsService::onRows(std::uint64_t transactionId, const Result<std::vector<TableRow>> &result)
{
    const auto found = m_transactions.find(transactionId);
    if (found == m_transactions.end()) {
        return;
    }
    const Transaction transaction = std::move(found->second);
    m_transactions.erase(found);
    for (const std::string &id : transaction.attempts) {
        Attempt *attempt = find(id);
        if (attempt == nullptr) {
            continue;
        }
        if (!result.has_value()) {
            scheduleReadWithBackoff(*attempt);
            continue;
        }
        const std::vector<TableRow> &rows = result.value();
        const auto row = std::find_if(rows.begin(), rows.end(), [&](const TableRow &candidate) {
            return candidate.key == attempt->rowKey;
        });
        onRow(*attempt, row == rows.end() ? nullptr : &*row);
    }
}

void ClaimsService::timeOutTransactions(TimePoint now)
{
    std::vector<std::uint64_t> timedOut;
    for (const auto &[id, transaction] : m_transactions) {
        if (now - transaction.startedAt > m_settings.tableTimeout) {
            timedOut.push_back(id);
        }
    }
    for (const std::uint64_t id : timedOut) {
        const bool reads = m_transactions.at(id).reads;
        ClaimsLog.warning("A table request for " + std::to_string(m_transactions.at(id).attempts.size())
                              + " claims had no answer within " + formatDuration(m_settings.tableTimeout)
                              + "; their rows are read again.",
                          {{"request", reads ? "read" : "commit"}});
        const Error error = makeError(ErrorKind::Timeout, "The table request timed out.");
        if (reads) {
            onRows(id, error);
        } else {
            onCommit(id, error);
        }
    }
}

/// Scans one page of rows from a random key and deletes those that expired more than SweepMargin ago. The random start
/// lets any number of nodes share the work without coordination.
void ClaimsService::sweep(TimePoint now)
{
    if (now < m_nextSweepAt) {
        return;
    }
    const Duration interval = m_settings.sweepInterval;
    m_nextSweepAt = now + interval / 2
        + Duration(static_cast<std::int64_t>(m_random.fraction() * static_cast<double>(interval.count())));
    m_table.scan("claim/",
                 m_sweepFromStart ? "claim/" : "claim/" + m_random.hexToken(64),
                 SweepPageSize,
                 [this, alive = std::weak_ptr(m_alive)](const Result<std::vector<TableRow>> &result) {
                     if (!alive.expired() && result.has_value()) {
                         onSweptRows(result.value());
                     }
                 });
}

void ClaimsService::onSweptRows(const std::vector<TableRow> &rows)
{
    m_sweepFromStart = rows.size() < SweepPageSize;
    std::vector<TableWrite> deletions;
    for (const TableRow &row : rows) {
        const std::optional<ClaimRow> claim = decodeClaimRow(row.value);
        if (claim && claim->expiresAtMs + std::chrono::milliseconds(SweepMargin).count() < wallTimeMs()) {
            deletions.push_back({.key = row.key, .value = std::nullopt, .expectedVersion = row.version});
        }
    }
    if (!deletions.empty()) {
        // Failures are ignored: a later sweep finds the rows again.
        m_table.commit(deletions, [](const Result<TableCommit> &) {});
    }
}

} // namespace vanillatack
