#pragma once

#include "claims/claimssetup.h"
#include "claims/internal/claimrow.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillatack {

/// Implements IClaims as a set of attempts, each with a goal for its row. Only a successful commit or a read of the row
/// settles a write: after any other answer of the table, even "failed", the write may have taken effect.
class ClaimsService final : public IClaims
{
public:
    ClaimsService(IClock &clock,
                  IRandom &random,
                  ITableService &table,
                  const NodeName &self,
                  std::uint64_t incarnation,
                  const ClaimsSettings &settings);

    void claim(const ClaimKey &key, TimePoint deadline, ClaimCompletion done) override;
    void complete(const std::string &claimId, const StoredAnswer &answer) override;
    void release(const std::string &claimId) override;
    void keepUnresolved(const std::string &claimId) override;
    void tick() override;
    void setRetention(Duration retention) override;

private:
    enum class Goal {
        Acquire, ///< Write the row in state running with this attempt's id; the caller waits.
        Hold, ///< Acquired; the caller runs the operation.
        Store, ///< Write the answer, or state Ran, to the row.
        Release, ///< Write state Released if the row belongs to this attempt.
    };

    enum class Step {
        Idle, ///< Nothing in flight: the claim is held, or a read is due at notBefore.
        Queued, ///< Waiting for the next transaction.
        Committing,
        Reading,
    };

    /// One call of claim() and the state of its writes, until its row is settled.
    struct Attempt {
        std::string id;
        std::string rowKey;
        ClaimRow row; ///< Value to write.
        Goal goal = Goal::Acquire;
        Step step = Step::Queued;
        ClaimState sentState = ClaimState::Running; ///< State in the write that is in flight.
        std::uint64_t version = 0; ///< Row version that the next write expects; 0 for an absent row.
        TimePoint queuedAt;
        TimePoint notBefore; ///< Earliest time of the next read.
        TimePoint claimDeadline; ///< The caller gets a result by this time.
        Duration retryDelay{0}; ///< Delay before the next read after a failure; grows with each failure.
        int rereadsLeft = 0; ///< Remaining reads for a write that may still take effect.
        ClaimCompletion done;
    };

    struct Transaction {
        std::vector<std::string> attempts; ///< Ids of the attempts written or read, in this order.
        TimePoint startedAt;
        bool reads = false; ///< A read of rows instead of a commit.
    };

    // ---- batching (claimsbatching.cpp)
    void enqueue(Attempt &attempt);
    void requeue(Attempt &attempt);
    void startTransactions(TimePoint now);
    std::vector<TableWrite> popBatch(Transaction &transaction);
    void startReads(TimePoint now);
    void onCommit(std::uint64_t transactionId, const Result<TableCommit> &result);
    void onRows(std::uint64_t transactionId, const Result<std::vector<TableRow>> &result);
    void timeOutTransactions(TimePoint now);
    void scheduleRead(Attempt &attempt, Duration delay);
    void scheduleReadWithBackoff(Attempt &attempt);
    void sweep(TimePoint now);
    void onSweptRows(const std::vector<TableRow> &rows);

    // ---- results of commits and reads
    void onWritten(Attempt &attempt, std::uint64_t version);
    void onRow(Attempt &attempt, const TableRow *row);
    void onOwnRow(Attempt &attempt, const ClaimRow &row);
    void onOtherRow(Attempt &attempt, const TableRow &tableRow, const ClaimRow &row);
    void onAcquired(Attempt &attempt);
    void reportResult(Attempt &attempt, ClaimResult result);
    void timeOutClaim(Attempt &attempt);
    void startRelease(Attempt &attempt);
    void removeAttempt(const std::string &id);
    [[nodiscard]] bool isExpired(const ClaimRow &row) const;
    [[nodiscard]] std::int64_t wallTimeMs() const;
    Attempt *find(const std::string &id);

    IClock &m_clock;
    IRandom &m_random;
    ITableService &m_table;
    std::string m_idPrefix;
    ClaimsSettings m_settings;
    std::map<std::string, Attempt> m_attempts;
    std::deque<std::string> m_queue; ///< Ids of attempts with a row to write.
    std::map<std::uint64_t, Transaction> m_transactions; ///< Commits and reads in flight.
    std::uint64_t m_nextTransaction = 1;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_pendingAnswers = 0; ///< Number of attempts with goal Store.
    std::size_t m_pendingAnswerBytes = 0;
    TimePoint m_nextSweepAt;
    bool m_sweepFromStart = false; ///< The previous page reached the last row.
    std::shared_ptr<bool> m_alive; ///< Lets completions detect that this object was destroyed.
};

} // namespace vanillatack
