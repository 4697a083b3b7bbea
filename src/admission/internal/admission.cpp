#include "admission/internal/admission.h"

#include "base/invariant.h"
#include "base/log.h"

#include <algorithm>

namespace vanillatack {

namespace {

using namespace std::chrono_literals;

constexpr Log AdmissionLog("admission");

constexpr Duration MinRetryAfter = 100ms;
constexpr Duration MaxRetryAfter = 5s;

} // namespace

Admission::Admission(const IClock &clock, IAdmissionListener &listener, const AdmissionSettings &settings)
    : m_clock(clock)
    , m_listener(listener)
{
    configure(settings);
}

void Admission::configure(const AdmissionSettings &settings)
{
    m_settings = settings;
    m_limit.configure(settings.minLimit, settings.maxLimit);
    m_queue.configure(settings);
    const TimePoint now = m_clock.now();
    while (m_queue.size() > std::max(0, settings.queueLimit)) {
        refuse(*m_queue.remove(m_queue.leastImportant(now)), RefusalKind::Overloaded);
    }
    dispatch(now);
}

void Admission::setAnnouncedSlots(int slots)
{
    m_limit.setAnnouncedSlots(slots);
    dispatch(m_clock.now());
}

void Admission::startCold()
{
    m_limit.startCold(m_clock.now());
    dispatch(m_clock.now());
}

void Admission::setDraining(bool draining)
{
    m_draining = draining;
}

AdmissionDecision Admission::offer(const AdmissionRequest &request)
{
    const TimePoint now = m_clock.now();
    update(now);
    if (m_draining) {
        return makeRefusal(RefusalKind::Draining);
    }
    if (now + minServiceTime() > request.deadline || now >= request.deadline) {
        return makeRefusal(RefusalKind::DeadlineExceeded);
    }
    const TicketId ticket{++m_lastTicket};
    AdmissionDecision decision;
    decision.ticket = ticket;
    if (hasCapacityFor(request.priority)) {
        admit(ticket, request.priority, now);
        decision.outcome = AdmissionOutcome::Admitted;
    } else if (makeQueueSpaceFor(request, now)) {
        m_queue.add(makeQueuedRequest(ticket, request, now));
        if (request.priority != PriorityClass::Background) {
            m_limit.recordQueued(now);
        }
        decision.outcome = AdmissionOutcome::Queued;
    } else {
        m_level.recordRefused(request.priority);
        return makeRefusal(RefusalKind::Overloaded);
    }
    checkInvariants();
    return decision;
}

void Admission::finish(TicketId ticket, WorkOutcome outcome, Duration latency)
{
    const TimePoint now = m_clock.now();
    if (m_running.erase(ticket) == 0) {
        AdmissionLog.error("Ignored the end of a request that is not running. Please report this as a bug.",
                           {{"ticket", std::to_string(ticket.value)}});
        return;
    }
    m_limit.recordRunning(now, running());
    m_limit.recordFinish(now, outcome, latency);
    update(now);
}

void Admission::cancel(TicketId ticket)
{
    m_queue.remove(ticket);
}

void Admission::tick()
{
    update(m_clock.now());
}

ServiceLevel Admission::level() const
{
    return m_level.level();
}

AdmissionSnapshot Admission::snapshot() const
{
    return {.limit = m_limit.limit(),
            .running = running(),
            .queued = m_queue.size(),
            .baseline = m_limit.baseline(),
            .recentLatency = m_limit.recentLatency()};
}

int Admission::running() const
{
    return static_cast<int>(m_running.size());
}

bool Admission::hasCapacityFor(PriorityClass priority) const
{
    if (priority == PriorityClass::Background) {
        return m_queue.size() == 0 && running() * 100 < m_limit.limit() * m_settings.backgroundPercent;
    }
    return m_queue.foregroundSize() == 0 && running() < m_limit.limit();
}

Duration Admission::minServiceTime() const
{
    // Below the minimum limit no time is required, since otherwise a recent latency above all deadlines would refuse
    // all requests and never be updated. Half of the mean, because latencies vary and a request that can still finish
    // must not be refused.
    return running() < m_settings.minLimit ? Duration::zero() : m_limit.recentLatency() / 2;
}

Duration Admission::retryAfter() const
{
    const auto rounds = m_queue.size() / std::max(1, m_limit.limit()) + 1;
    return std::clamp<Duration>(rounds * m_limit.recentLatency(), MinRetryAfter, MaxRetryAfter);
}

QueuedRequest Admission::makeQueuedRequest(TicketId ticket, const AdmissionRequest &request, TimePoint now) const
{
    const bool deferrable = request.priority == PriorityClass::Deferrable;
    QueuedRequest queued;
    queued.ticket = ticket;
    queued.request = request;
    queued.enqueued = now;
    queued.expires =
        std::min(request.deadline, now + (deferrable ? m_settings.deferrableQueueTimeout : m_settings.queueTimeout));
    if (deferrable) {
        queued.promoteAt = now + m_settings.agingLimit;
    }
    return queued;
}

bool Admission::makeQueueSpaceFor(const AdmissionRequest &request, TimePoint now)
{
    if (m_queue.size() < m_settings.queueLimit) {
        return true;
    }
    const auto victim = m_queue.evictFor(request, now);
    if (!victim) {
        return false;
    }
    refuse(*victim, RefusalKind::Overloaded);
    return true;
}

void Admission::admit(TicketId ticket, PriorityClass priority, TimePoint now)
{
    m_running.insert(ticket);
    m_limit.recordRunning(now, running());
    m_level.recordAdmitted(priority);
}

void Admission::refuse(const QueuedRequest &request, RefusalKind refusal)
{
    m_level.recordRefused(request.request.priority);
    m_listener.onRefused(request.ticket, refusal, retryAfter());
}

AdmissionDecision Admission::makeRefusal(RefusalKind refusal) const
{
    AdmissionDecision decision;
    decision.outcome = AdmissionOutcome::Refused;
    decision.refusal = refusal;
    if (refusal == RefusalKind::Overloaded) {
        decision.retryAfter = retryAfter();
    }
    return decision;
}

void Admission::update(TimePoint now)
{
    for (const QueuedRequest &expired : m_queue.removeExpired(now)) {
        refuse(expired, expired.request.deadline <= now ? RefusalKind::DeadlineExceeded : RefusalKind::Overloaded);
    }
    m_queue.promoteAged(now);
    m_limit.update(now);
    m_level.update(now);
    dispatch(now);
}

void Admission::dispatch(TimePoint now)
{
    std::vector<QueuedRequest> infeasible;
    while (m_queue.size() > 0 && running() < m_limit.limit()) {
        const bool backgroundAllowed = running() * 100 < m_limit.limit() * m_settings.backgroundPercent;
        const auto next = m_queue.popNext(now, minServiceTime(), backgroundAllowed, infeasible);
        if (!next) {
            break;
        }
        admit(next->ticket, next->request.priority, now);
        m_listener.onAdmitted(next->ticket);
    }
    for (const QueuedRequest &request : infeasible) {
        refuse(request, RefusalKind::DeadlineExceeded);
    }
    checkInvariants();
}

void Admission::checkInvariants() const
{
    VT_INVARIANT(m_queue.foregroundSize() == 0 || running() >= m_limit.limit(),
                 "no foreground request is queued below the concurrency limit");
    VT_INVARIANT(m_queue.size() <= std::max(0, m_settings.queueLimit), "the queue does not exceed its limit");
}

} // namespace vanillatack
