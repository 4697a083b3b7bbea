#include "claims/internal/claimsservice.h"

#include "base/invariant.h"
#include "base/log.h"

namespace vanillatack {

namespace {

constexpr Log ClaimsLog("claims");

// Wall clocks of VMs may differ by this; a row is taken over only when it is expired for all of them.
constexpr std::chrono::seconds WallClockMargin{60};

// A write that was given up may still take effect this much later; looked for as often as CheckCount.
constexpr std::chrono::seconds CheckDelay{5};
constexpr int CheckCount = 3;

constexpr std::chrono::seconds RetryAfterRunning{1};
constexpr std::chrono::seconds RetryAfterUnavailable{2};

} // namespace

ClaimsService::ClaimsService(IClock &clock,
                             IRandom &random,
                             ITableService &table,
                             const NodeName &self,
                             std::uint64_t incarnation,
                             const ClaimsSettings &settings)
    : m_clock(clock)
    , m_random(random)
    , m_table(table)
    , m_idPrefix(self.value + "/" + std::to_string(incarnation) + "/")
    , m_settings(settings)
    , m_sweepAt(clock.now())
    , m_alive(std::make_shared<bool>(true))
{
}

std::int64_t ClaimsService::wallMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch()).count();
}

ClaimsService::Attempt *ClaimsService::find(const std::string &id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : &found->second;
}

void ClaimsService::claim(const ClaimKey &key, TimePoint deadline, ClaimCompletion done)
{
    const TimePoint now = m_clock.now();
    Attempt attempt;
    // The random part keeps ids apart should two processes ever run with the same name and incarnation.
    attempt.id = m_idPrefix + std::to_string(m_nextAttempt++) + "/" + m_random.hexToken(64);
    attempt.rowKey = claimRowKey(key);
    attempt.giveUpAt = std::min(deadline, now + m_settings.patience);
    attempt.done = std::move(done);
    // The row must outlive the operation, however short the retention is.
    const Duration lifetime = std::max(m_settings.retention, deadline - now + WallClockMargin);
    attempt.row = {.attempt = attempt.id,
                   .digest = key.requestDigest,
                   .expiresAtMs = wallMs() + std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count(),
                   .answer = {}};
    Attempt &stored = m_attempts.emplace(attempt.id, std::move(attempt)).first->second;
    enqueue(stored);
}

void ClaimsService::complete(const std::string &claimId, const StoredAnswer &storedAnswer)
{
    Attempt *attempt = find(claimId);
    if (attempt == nullptr || attempt->goal != Goal::Hold) {
        return;
    }
    if (m_storing >= m_settings.pendingAnswers) {
        // The row stays in state running, so that a repeat does not run the operation.
        ClaimsLog.warning("Too many answers wait for the table, one is dropped.", {{"claim", claimId}});
        finish(claimId);
        return;
    }
    const std::size_t size = storedAnswer.body.size();
    if (size > m_settings.storedBodyLimit || m_storingBytes + size > m_settings.pendingAnswerBytes) {
        attempt->row.state = ClaimState::Ran;
    } else {
        attempt->row.state = ClaimState::Answered;
        attempt->row.answer = storedAnswer;
    }
    attempt->goal = Goal::Store;
    ++m_storing;
    m_storingBytes += attempt->row.answer.body.size();
    enqueue(*attempt);
}

void ClaimsService::release(const std::string &claimId)
{
    Attempt *attempt = find(claimId);
    if (attempt != nullptr && attempt->goal == Goal::Hold) {
        startRelease(*attempt);
        enqueue(*attempt);
    }
}

void ClaimsService::keepUnresolved(const std::string &claimId)
{
    const Attempt *attempt = find(claimId);
    if (attempt != nullptr && attempt->goal == Goal::Hold) {
        finish(claimId);
    }
}

void ClaimsService::setRetention(Duration retention)
{
    m_settings.retention = retention;
}

void ClaimsService::tick()
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> late;
    std::vector<std::string> expired;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.goal == Goal::Acquire && attempt.giveUpAt <= now) {
            late.push_back(id);
        } else if (attempt.step == Step::Idle && attempt.row.expiresAtMs <= wallMs()) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        finish(id);
    }
    for (const std::string &id : late) {
        giveUp(m_attempts.at(id));
    }
    timeOutTransactions(now);
    startReads(now);
    startTransactions(now);
    sweep(now);
}

void ClaimsService::startRelease(Attempt &attempt)
{
    attempt.goal = Goal::Release;
    attempt.row.state = ClaimState::Released;
    attempt.checksLeft = CheckCount;
}

void ClaimsService::finish(const std::string &id)
{
    const auto found = m_attempts.find(id);
    if (found->second.goal == Goal::Store) {
        --m_storing;
        m_storingBytes -= found->second.row.answer.body.size();
    }
    m_attempts.erase(found);
}

/// The caller gets its answer; a write that took effect or still will is released.
void ClaimsService::giveUp(Attempt &attempt)
{
    ClaimCompletion done = std::move(attempt.done);
    attempt.done = nullptr;
    const bool neverSent = attempt.step == Step::Queued && attempt.checksLeft == 0;
    if (neverSent) {
        std::erase(m_queue, attempt.id);
        finish(attempt.id);
    } else {
        const bool queued = attempt.step == Step::Queued;
        startRelease(attempt);
        if (queued) {
            std::erase(m_queue, attempt.id);
            readLater(attempt, Duration::zero());
        }
    }
    done({.outcome = ClaimOutcome::Unavailable, .claimId = {}, .answer = {}, .retryAfter = RetryAfterUnavailable});
}

void ClaimsService::answer(Attempt &attempt, ClaimResult result)
{
    const ClaimCompletion done = std::move(attempt.done);
    if (result.outcome != ClaimOutcome::Acquired) {
        finish(attempt.id);
    }
    done(result);
}

void ClaimsService::acquired(Attempt &attempt)
{
    VT_INVARIANT(attempt.goal == Goal::Acquire && attempt.done != nullptr, "A claim is reported as acquired twice.");
    if (attempt.giveUpAt <= m_clock.now() || attempt.row.expiresAtMs <= wallMs()) {
        const std::uint64_t version = attempt.version;
        giveUp(attempt);
        attempt.version = version;
        enqueue(attempt);
        return;
    }
    attempt.goal = Goal::Hold;
    attempt.step = Step::Idle;
    attempt.retryDelay = Duration::zero();
    const std::string id = attempt.id;
    answer(attempt, {.outcome = ClaimOutcome::Acquired, .claimId = id, .answer = {}, .retryAfter = Duration{0}});
}

void ClaimsService::onWritten(Attempt &attempt, std::uint64_t version)
{
    attempt.version = version;
    if (attempt.goal == Goal::Acquire) {
        acquired(attempt);
    } else if (attempt.sentState == attempt.row.state) {
        finish(attempt.id);
    } else {
        // Given up while its claim was being written.
        enqueue(attempt);
    }
}

bool ClaimsService::isExpired(const ClaimRow &row) const
{
    return wallMs() > row.expiresAtMs + std::chrono::milliseconds(WallClockMargin).count();
}

void ClaimsService::onRow(Attempt &attempt, const TableRow *tableRow)
{
    const std::optional<ClaimRow> row = tableRow == nullptr ? std::nullopt : decodeClaimRow(tableRow->value);
    if (row && row->attempt == attempt.id) {
        attempt.version = tableRow->version;
        onOwnRow(attempt, *row);
        return;
    }
    if (attempt.goal == Goal::Acquire) {
        if (tableRow == nullptr) {
            attempt.version = 0;
            enqueue(attempt);
        } else if (row) {
            onOtherRow(attempt, *tableRow, *row);
        } else {
            ClaimsLog.error("A claim's row cannot be read.", {{"row", attempt.rowKey}});
            answer(attempt,
                   {.outcome = ClaimOutcome::InProgress, .claimId = {}, .answer = {}, .retryAfter = RetryAfterRunning});
        }
        return;
    }
    // Not this attempt's row. A late write may still create it, so it is looked at again some times.
    if (attempt.goal == Goal::Release && --attempt.checksLeft > 0) {
        readLater(attempt, CheckDelay);
        return;
    }
    finish(attempt.id);
}

void ClaimsService::onOwnRow(Attempt &attempt, const ClaimRow &row)
{
    if (attempt.goal == Goal::Acquire) {
        VT_INVARIANT(row.state == ClaimState::Running, "A row was completed by an attempt that was not acquired.");
        acquired(attempt);
    } else if (row.state == attempt.row.state) {
        finish(attempt.id);
    } else {
        enqueue(attempt);
    }
}

void ClaimsService::onOtherRow(Attempt &attempt, const TableRow &tableRow, const ClaimRow &row)
{
    if (row.state == ClaimState::Released || isExpired(row)) {
        attempt.version = tableRow.version;
        enqueue(attempt);
        return;
    }
    ClaimResult result;
    if (row.digest != attempt.row.digest) {
        result.outcome = ClaimOutcome::Mismatch;
    } else if (row.state == ClaimState::Answered) {
        result.outcome = ClaimOutcome::Answered;
        result.answer = row.answer;
    } else {
        result.outcome = ClaimOutcome::InProgress;
        result.retryAfter = RetryAfterRunning;
    }
    answer(attempt, result);
}

std::unique_ptr<IClaims> makeClaims(IClock &clock,
                                    IRandom &random,
                                    ITableService &table,
                                    const NodeName &self,
                                    std::uint64_t incarnation,
                                    const ClaimsSettings &settings)
{
    return std::make_unique<ClaimsService>(clock, random, table, self, incarnation, settings);
}

} // namespace vanillatack
