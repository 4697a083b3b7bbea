#pragma once

#include "claims/claimssetup.h"
#include "claims/internal/claimrow.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillatack {

/// IClaims as a set of attempts, each of which wants its row in some state. A write is settled only by a commit that
/// succeeded or by reading the row: every other answer of the table, also "failed", may hide a write that took effect.
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
        Acquire, ///< Row in state running with this attempt's id; the caller waits.
        Hold, ///< Acquired, the caller runs the operation.
        Store, ///< Row with the answer.
        Release, ///< Row released when it is this attempt's.
    };

    enum class Step {
        Idle, ///< Holding, or waiting until notBefore.
        Queued, ///< For the next transaction.
        Committing,
        Reading,
    };

    struct Attempt {
        std::string id;
        std::string rowKey;
        ClaimRow row; ///< As it is to be written.
        Goal goal = Goal::Acquire;
        Step step = Step::Queued;
        ClaimState sentState = ClaimState::Running; ///< Of the write that is in flight.
        std::uint64_t version = 0; ///< Expected by the next write; 0 for an absent row.
        TimePoint queuedAt;
        TimePoint notBefore;
        TimePoint giveUpAt; ///< The caller gets an answer by then.
        Duration retryDelay{0}; ///< Grows with each failure.
        int checksLeft = 0; ///< Further looks for a write that may still take effect.
        ClaimCompletion done;
    };

    struct Transaction {
        std::vector<std::string> attempts; ///< Written or read, in this order.
        TimePoint startedAt;
        bool reads = false;
    };

    // ---- batching (claimsbatching.cpp)
    void enqueue(Attempt &attempt);
    void requeue(Attempt &attempt);
    void startTransactions(TimePoint now);
    std::vector<TableWrite> nextBatch(Transaction &transaction);
    void startReads(TimePoint now);
    void onCommit(std::uint64_t transactionId, const Result<TableCommit> &result);
    void onRows(std::uint64_t transactionId, const Result<std::vector<TableRow>> &result);
    void timeOutTransactions(TimePoint now);
    void readLater(Attempt &attempt, Duration delay);
    void readAfterFailure(Attempt &attempt);
    void sweep(TimePoint now);
    void onSweptRows(const std::vector<TableRow> &rows);

    // ---- settling
    void onWritten(Attempt &attempt, std::uint64_t version);
    void onRow(Attempt &attempt, const TableRow *row);
    void onOwnRow(Attempt &attempt, const ClaimRow &row);
    void onOtherRow(Attempt &attempt, const TableRow &tableRow, const ClaimRow &row);
    void acquired(Attempt &attempt);
    void answer(Attempt &attempt, ClaimResult result);
    void giveUp(Attempt &attempt);
    void startRelease(Attempt &attempt);
    void finish(const std::string &id);
    [[nodiscard]] bool isExpired(const ClaimRow &row) const;
    [[nodiscard]] std::int64_t wallMs() const;
    Attempt *find(const std::string &id);

    IClock &m_clock;
    IRandom &m_random;
    ITableService &m_table;
    std::string m_idPrefix;
    ClaimsSettings m_settings;
    std::map<std::string, Attempt> m_attempts;
    std::deque<std::string> m_queue; ///< Attempts whose row is to be written.
    std::map<std::uint64_t, Transaction> m_transactions; ///< In flight.
    std::uint64_t m_nextTransaction = 1;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_storing = 0; ///< Attempts with goal Store.
    std::size_t m_storingBytes = 0;
    TimePoint m_sweepAt;
    bool m_sweepFromStart = false; ///< The last page ended at the last row.
    std::shared_ptr<bool> m_alive; ///< Completions that come after destruction find it gone.
};

} // namespace vanillatack
