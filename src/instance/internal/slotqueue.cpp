#include "instance/slotqueue.h"

#include "base/durations.h"

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

/// Share of the announced slots to use. Instances slow down when nearly full, and a new connection can briefly occupy a
/// slot.
constexpr double UsableShare = 0.94;
/// Share of the slots to use directly after the instance refused a request because it was full.
constexpr double UsableShareAfterOverflow = 0.7;
/// Time in which the usable share rises linearly back to UsableShare.
constexpr Duration OverflowRecoveryTime = std::chrono::seconds(2);
/// Weight of the newest work time in the mean, which covers about the last 30 requests.
constexpr double WorkTimeWeight = 0.06;
/// Work time assumed for routes without a finished request.
constexpr Duration DefaultWorkTime = std::chrono::milliseconds(50);

} // namespace

void SlotQueue::setSlots(int slots)
{
    m_slots = std::max(slots, 0);
}

void SlotQueue::recordOverflow(TimePoint now)
{
    m_overflowAt = now;
}

int SlotQueue::limit(TimePoint now) const
{
    double usable = UsableShare;
    const Duration since = now - m_overflowAt;
    if (m_overflowAt != TimePoint{} && since < OverflowRecoveryTime) {
        usable = UsableShareAfterOverflow
            + (UsableShare - UsableShareAfterOverflow) * (toSeconds(since) / toSeconds(OverflowRecoveryTime));
    }
    return m_slots == 0 ? 0 : std::max(1, static_cast<int>(m_slots * usable));
}

int SlotQueue::sustainableLimit(TimePoint now) const
{
    const auto rate = m_pacer.rate();
    if (!rate || m_meanWorkSeconds == 0) {
        return limit(now);
    }
    return std::min(limit(now), std::max(1, static_cast<int>(std::ceil(*rate * m_meanWorkSeconds))));
}

void SlotQueue::setRequestRate(std::optional<double> requestsPerSecond)
{
    m_pacer.setRate(requestsPerSecond);
}

bool SlotQueue::canStart(TimePoint now) const
{
    return running() < limit(now) && m_pacer.waitTime(0, now) == Duration{0};
}

SlotDecision SlotQueue::offer(const SlotRequest &request, TimePoint now)
{
    if (m_queued == 0 && canStart(now)) {
        start(request, now);
        return {.outcome = SlotOutcome::Start, .expectedWait = Duration{0}};
    }
    const QueueKey key{!request.innerCall, request.rank};
    const Duration wait = expectedWait(key, now);
    const Duration left = request.deadline - now - estimatedWorkTime(request.route);
    if (wait > std::min(left, request.maxWait)) {
        return {.outcome = SlotOutcome::Refused, .expectedWait = wait};
    }
    m_queues[key].push_back({request, now});
    ++m_queued;
    return {.outcome = SlotOutcome::Queued, .expectedWait = wait};
}

void SlotQueue::start(const SlotRequest &request, TimePoint now)
{
    m_running[request.ticket] = {request.route, now};
    m_pacer.recordStart(now);
}

std::vector<TicketId> SlotQueue::finish(TicketId ticket, bool answerComplete, TimePoint now)
{
    const auto entry = m_running.find(ticket);
    if (entry != m_running.end()) {
        if (answerComplete) {
            const double work = toSeconds(now - entry->second.startedAt);
            auto [mean, first] = m_workSeconds.try_emplace(entry->second.route, work);
            mean->second += first ? 0 : WorkTimeWeight * (work - mean->second);
            m_meanWorkSeconds += m_meanWorkSeconds == 0 ? work : WorkTimeWeight * (work - m_meanWorkSeconds);
        }
        m_running.erase(entry);
    }
    return startQueued(now);
}

std::vector<TicketId> SlotQueue::startQueued(TimePoint now)
{
    std::vector<TicketId> started;
    for (auto &[key, queue] : m_queues) {
        while (!queue.empty() && canStart(now)) {
            const SlotRequest request = queue.front().request;
            queue.erase(queue.begin());
            --m_queued;
            start(request, now);
            started.push_back(request.ticket);
        }
    }
    return started;
}

bool SlotQueue::cancel(TicketId ticket)
{
    for (auto &[key, queue] : m_queues) {
        const std::size_t removed = std::erase_if(queue, [ticket](const QueuedRequest &queued) {
            return queued.request.ticket == ticket;
        });
        if (removed > 0) {
            --m_queued;
            return true;
        }
    }
    return false;
}

std::vector<TicketId> SlotQueue::expire(TimePoint now)
{
    std::vector<TicketId> expired;
    for (auto &[key, queue] : m_queues) {
        std::erase_if(queue, [&](const QueuedRequest &queued) {
            const Duration work = estimatedWorkTime(queued.request.route);
            const bool late = now - queued.queuedAt > queued.request.maxWait || now + work > queued.request.deadline;
            if (late) {
                expired.push_back(queued.request.ticket);
            }
            return late;
        });
    }
    m_queued -= static_cast<int>(expired.size());
    return expired;
}

std::vector<TicketId> SlotQueue::clear()
{
    std::vector<TicketId> removed;
    for (const auto &[key, queue] : m_queues) {
        for (const QueuedRequest &queued : queue) {
            removed.push_back(queued.request.ticket);
        }
    }
    m_queues.clear();
    m_queued = 0;
    return removed;
}

Duration SlotQueue::workTime(const RouteName &route) const
{
    const auto entry = m_workSeconds.find(route);
    return entry == m_workSeconds.end() ? Duration{0} : fromSeconds(entry->second);
}

void SlotQueue::forgetWorkTime(const RouteName &route)
{
    m_workSeconds.erase(route);
}

Duration SlotQueue::estimatedWorkTime(const RouteName &route) const
{
    const Duration measured = workTime(route);
    return measured == Duration{0} ? DefaultWorkTime : measured;
}

Duration SlotQueue::expectedWait(QueueKey key, TimePoint now) const
{
    double work = 0;
    int before = 0;
    for (const auto &[queueKey, queue] : m_queues) {
        if (queueKey > key) {
            break;
        }
        before += static_cast<int>(queue.size());
        for (const QueuedRequest &queued : queue) {
            work += toSeconds(estimatedWorkTime(queued.request.route));
        }
    }
    const int slots = std::max(limit(now), 1);
    return std::max(fromSeconds(work / slots), m_pacer.waitTime(before, now));
}

} // namespace vanillatack
