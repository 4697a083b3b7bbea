#include "claims/internal/claimsservice.h"

#include "base/invariant.h"
#include "base/log.h"

namespace vanillatack {

namespace {

constexpr Log ClaimsLog("claims");

// Largest expected difference between the wall clocks of VMs. A row is taken over only when it has expired on all of
// them.
constexpr std::chrono::seconds WallClockMargin{60};

// A timed-out write may still take effect this much later, so a row to be released is read up to RereadCount times at
// this interval.
constexpr std::chrono::seconds RereadDelay{5};
constexpr int RereadCount = 3;

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
    , m_nextSweepAt(clock.now())
    , m_alive(std::make_shared<bool>(true))
{
}

std::int64_t ClaimsService::wallTimeMs() const
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
    // The random part keeps ids unique even if two processes run with the same name and incarnation.
    attempt.id = m_idPrefix + std::to_string(m_nextAttempt++) + "/" + m_random.hexToken(64);
    attempt.rowKey = claimRowKey(key);
    attempt.claimDeadline = std::min(deadline, now + m_settings.claimTimeout);
    attempt.done = std::move(done);
    // The row must outlive the operation even if the retention is shorter than the deadline.
    const Duration lifetime = std::max(m_settings.retention, deadline - now + WallClockMargin);
    attempt.row = {.attempt = attempt.id,
                   .digest = key.requestDigest,
                   .expiresAtMs =
                       wallTimeMs() + std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count(),
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
    if (m_pendingAnswers >= m_settings.maxPendingAnswers) {
        // The row stays in state running, so that a retry does not run the operation.
        ClaimsLog.warning(
            std::to_string(m_pendingAnswers)
                + " answers are waiting to be stored (the limit); dropped another one. A retry of its request is "
                  "refused as in progress until the claim expires. Check the latency of the table.",
            {{"claim", claimId}});
        removeAttempt(claimId);
        return;
    }
    const std::size_t size = storedAnswer.body.size();
    if (size > m_settings.maxStoredBodyBytes || m_pendingAnswerBytes + size > m_settings.maxPendingAnswerBytes) {
        attempt->row.state = ClaimState::Ran;
    } else {
        attempt->row.state = ClaimState::Answered;
        attempt->row.answer = storedAnswer;
    }
    attempt->goal = Goal::Store;
    ++m_pendingAnswers;
    m_pendingAnswerBytes += attempt->row.answer.body.size();
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
        removeAttempt(claimId);
    }
}

void ClaimsService::setRetention(Duration retention)
{
    m_settings.retention = retention;
}

void ClaimsService::tick()
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> timedOut;
    std::vector<std::string> expired;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.goal == Goal::Acquire && attempt.claimDeadline <= now) {
            timedOut.push_back(id);
        } else if (attempt.step == Step::Idle && attempt.row.expiresAtMs <= wallTimeMs()) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        removeAttempt(id);
    }
    for (const std::string &id : timedOut) {
        timeOutClaim(m_attempts.at(id));
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
    attempt.rereadsLeft = RereadCount;
}

void ClaimsService::removeAttempt(const std::string &id)
{
    const auto found = m_attempts.find(id);
    if (found->second.goal == Goal::Store) {
        --m_pendingAnswers;
        m_pendingAnswerBytes -= found->second.row.answer.body.size();
    }
    m_attempts.erase(found);
}

/// Reports Unavailable to the caller and releases the claim if its write took effect or may still do so.
void ClaimsService::timeOutClaim(Attempt &attempt)
{
    ClaimCompletion done = std::move(attempt.done);
    attempt.done = nullptr;
    const bool neverSent = attempt.step == Step::Queued && attempt.rereadsLeft == 0;
    if (neverSent) {
        std::erase(m_queue, attempt.id);
        removeAttempt(attempt.id);
    } else {
        const bool queued = attempt.step == Step::Queued;
        startRelease(attempt);
        if (queued) {
            std::erase(m_queue, attempt.id);
            scheduleRead(attempt, Duration::zero());
        }
    }
    done({.outcome = ClaimOutcome::Unavailable, .claimId = {}, .answer = {}, .retryAfter = RetryAfterUnavailable});
}

void ClaimsService::reportResult(Attempt &attempt, ClaimResult result)
{
    const ClaimCompletion done = std::move(attempt.done);
    if (result.outcome != ClaimOutcome::Acquired) {
        removeAttempt(attempt.id);
    }
    done(result);
}

void ClaimsService::onAcquired(Attempt &attempt)
{
    VT_INVARIANT(attempt.goal == Goal::Acquire && attempt.done != nullptr, "A claim is acquired twice.");
    if (attempt.claimDeadline <= m_clock.now() || attempt.row.expiresAtMs <= wallTimeMs()) {
        const std::uint64_t version = attempt.version;
        timeOutClaim(attempt);
        attempt.version = version;
        enqueue(attempt);
        return;
    }
    attempt.goal = Goal::Hold;
    attempt.step = Step::Idle;
    attempt.retryDelay = Duration::zero();
    const std::string id = attempt.id;
    reportResult(attempt, {.outcome = ClaimOutcome::Acquired, .claimId = id, .answer = {}, .retryAfter = Duration{0}});
}

void ClaimsService::onWritten(Attempt &attempt, std::uint64_t version)
{
    attempt.version = version;
    if (attempt.goal == Goal::Acquire) {
        onAcquired(attempt);
    } else if (attempt.sentState == attempt.row.state) {
        removeAttempt(attempt.id);
    } else {
        // The goal changed to Release while the claim was being written.
        enqueue(attempt);
    }
}

bool ClaimsService::isExpired(const ClaimRow &row) const
{
    return wallTimeMs() > row.expiresAtMs + std::chrono::milliseconds(WallClockMargin).count();
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
            ClaimsLog.error(
                "A claim row cannot be decoded; the request is reported as in progress. The row does not expire: "
                "delete it when no retry of the request can follow.",
                {{"row", attempt.rowKey}});
            reportResult(
                attempt,
                {.outcome = ClaimOutcome::InProgress, .claimId = {}, .answer = {}, .retryAfter = RetryAfterRunning});
        }
        return;
    }
    // This attempt does not own the row. A delayed write of this attempt may still take effect, so the
    // row is read again.
    if (attempt.goal == Goal::Release && --attempt.rereadsLeft > 0) {
        scheduleRead(attempt, RereadDelay);
        return;
    }
    removeAttempt(attempt.id);
}

void ClaimsService::onOwnRow(Attempt &attempt, const ClaimRow &row)
{
    if (attempt.goal == Goal::Acquire) {
        VT_INVARIANT(row.state == ClaimState::Running,
                     "A row in another state than running belongs to an attempt that has not acquired it.");
        onAcquired(attempt);
    } else if (row.state == attempt.row.state) {
        removeAttempt(attempt.id);
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
    reportResult(attempt, result);
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
