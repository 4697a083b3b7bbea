#include "proxy/internal/ingressproxy.h"

#include "base/durations.h"
#include "http/http.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace vanillatack {

namespace {

/// Announcement intervals without an announcement after which the instance is unresponsive. Announcements may be late
/// by a whole interval.
constexpr int AnnouncementTimeoutIntervals = 4;
/// Share of its remaining time that a root request may spend in the queue. After a longer wait the answer would be too
/// late to be useful, and a retry serves the caller better.
constexpr double RootRequestQueueShare = 0.3;
/// Subtracted from the time left to give the time limit sent to the instance, so that its answer arrives before the
/// caller's node times out.
constexpr Duration DeadlineMargin = std::chrono::milliseconds(10);
/// Extra time to wait for the answer after the time limit sent to the instance.
constexpr Duration AnswerMargin = std::chrono::milliseconds(5);
/// How often the queue is checked for calls that have waited too long or may start.
constexpr Duration QueueCheckInterval = std::chrono::milliseconds(20);
/// Time after its last request for which a route's work time is kept and reported. Of a long list of routes, few are
/// used at a time.
constexpr Duration RouteMemory = std::chrono::seconds(60);
constexpr int StatusMisdirectedRequest = 421;
/// Memory of a call without its head and body.
constexpr std::size_t CallBytes = 4096;
/// How often the head of a call is in memory: as received and as sent to the instance.
constexpr std::size_t HeadCopies = 2;
/// Slots that are used until the first answer: only answers tell whether the instance limits its request rate, and this
/// node may have started beside an instance that does.
constexpr int SlotsBeforeFirstAnswer = 8;

const std::string *findHeader(const HeaderList &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (sameHeader(key, name)) {
            return &value;
        }
    }
    return nullptr;
}

CallReply makeRefusal(RefusalKind kind, RunState runState, Duration expectedWait = Duration{0})
{
    CallReply reply;
    reply.refusal = kind;
    reply.runState = runState;
    reply.retryAfter = expectedWait; // The egress derives Retry-After from the expected wait.
    return reply;
}

} // namespace

IngressProxy::IngressProxy(EventLoop &loop,
                           const IClock &clock,
                           const ProxySettings &settings,
                           DecisionLog &decisions,
                           IMetrics &metrics,
                           std::shared_ptr<MemoryBudget> memory)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_memory(std::move(memory))
    , m_client(makeHttpClient(loop, {.memory = m_memory}))
    , m_instance(settings.service, settings.instanceEndpoint, settings.announceInterval * AnnouncementTimeoutIntervals)
{
}

bool IngressProxy::accepts() const
{
    return !m_refusingNewCalls && m_instance.accepts(m_clock.now());
}

TicketId IngressProxy::offer(CallRequest request, IngressCompletion completion)
{
    const TimePoint now = m_clock.now();
    const TicketId ticket{++m_lastTicket};
    Call call;
    call.request = std::move(request);
    call.completion = std::move(completion);
    call.deadline = now + call.request.deadlineLeft;
    call.charge = MemoryCharge(m_memory, MemoryOwner::Node);
    const bool fits = call.charge.tryResize(CallBytes + HeadCopies * memoryOf(call.request.headers));
    const CallRequest &stored = m_calls.emplace(ticket, std::move(call)).first->second.request;
    const bool isExpectedInstance =
        m_instance.current() && (stored.instance.empty() || stored.instance == m_instance.current()->id);
    if (!accepts() || !isExpectedInstance || stored.service != m_settings.service) {
        refuse(ticket, m_refusingNewCalls ? RefusalKind::Draining : RefusalKind::NoInstance, Duration{0});
        return ticket;
    }
    if (!fits) {
        refuse(ticket, RefusalKind::Overloaded, Duration{0});
        return ticket;
    }
    m_routeLastSeenAt[stored.route] = now;
    SlotRequest slotRequest;
    slotRequest.ticket = ticket;
    slotRequest.route = stored.route;
    slotRequest.rank = stored.rank;
    slotRequest.innerCall = stored.depth > 0;
    slotRequest.deadline = now + stored.deadlineLeft;
    slotRequest.maxWait = slotRequest.innerCall
        ? stored.deadlineLeft
        : std::chrono::duration_cast<Duration>(stored.deadlineLeft * RootRequestQueueShare);
    const SlotDecision decision = m_slotQueue.offer(slotRequest, now);
    if (decision.outcome == SlotOutcome::Start) {
        start(ticket);
    } else if (decision.outcome == SlotOutcome::Refused) {
        refuse(ticket, RefusalKind::Overloaded, decision.expectedWait);
    } else {
        scheduleQueueCheck();
    }
    return ticket;
}

void IngressProxy::start(TicketId ticket)
{
    Call &call = m_calls.at(ticket);
    call.started = true;
    const TimePoint now = m_clock.now();
    m_callGraph.begin(call.request.route, now);
    const Duration left = std::max<Duration>(call.deadline - now - DeadlineMargin, std::chrono::milliseconds(1));
    call.upstreamCall = m_client->send(m_settings.instanceEndpoint,
                                       upstreamRequest(call, left),
                                       left + AnswerMargin,
                                       {.name = m_settings.headers.attemptId, .value = call.request.rootId},
                                       [this, ticket](ClientResult result) {
                                           onUpstreamResult(ticket, std::move(result));
                                       });
}

/// Takes the body of the call, which is sent once.
HttpRequest IngressProxy::upstreamRequest(Call &call, Duration timeLeft) const
{
    HttpRequest request;
    request.method = call.request.method;
    request.target = call.request.target;
    request.headers = call.request.headers;
    request.headers.emplace_back(m_settings.headers.timeLeft, millisecondsText(timeLeft));
    request.headers.emplace_back(m_settings.headers.expectedInstance, m_instance.current()->id);
    request.body = std::move(call.request.body);
    return request;
}

void IngressProxy::onUpstreamResult(TicketId ticket, ClientResult result)
{
    const auto entry = m_calls.find(ticket);
    if (entry == m_calls.end()) {
        return;
    }
    Call &call = entry->second;
    CallReply reply = classify(call, std::move(result));
    const bool answerComplete = reply.refusal == RefusalKind::None;
    if (!answerComplete) {
        m_decisions.record("ingress.failed",
                           {{"id", call.request.rootId},
                            {"route", call.request.route.value},
                            {"reason", std::string(RefusalKindNames.name(reply.refusal))},
                            {"run", std::string(RunStateNames.name(reply.runState))},
                            {"instance", m_instance.current() ? m_instance.current()->id : ""},
                            {"running", std::to_string(m_slotQueue.running())}});
    }
    const IngressCompletion completion = std::move(call.completion);
    release(ticket, answerComplete);
    if (completion) {
        completion(std::move(reply));
    }
}

/// Converts the result of the upstream request to a reply. A response must repeat the attempt id, to prove that it
/// belongs to this request; a status below 300 must also carry the signature header and no Content-Encoding, to prove
/// that it is the instance's complete answer. Otherwise the call fails with BadUpstreamReply.
CallReply IngressProxy::classify(const Call &call, ClientResult result)
{
    const HeaderNames &names = m_settings.headers;
    if (result.outcome == ClientOutcome::NotSent) {
        m_instance.markUnreachable();
        return makeRefusal(RefusalKind::NoInstance, RunState::NotRun);
    }
    if (result.outcome == ClientOutcome::TimedOut) {
        return makeRefusal(RefusalKind::DeadlineExceeded, result.sentAnything ? RunState::Unknown : RunState::NotRun);
    }
    if (result.outcome == ClientOutcome::Broken) {
        return makeRefusal(RefusalKind::UpstreamFailed, RunState::Unknown);
    }
    HttpResponse &response = result.response;
    const std::string *id = findHeader(response.headers, names.attemptId);
    if (id == nullptr || *id != call.request.rootId) {
        // Also a refusal: it may repeat that of an earlier request while the instance runs this one.
        return makeRefusal(RefusalKind::BadUpstreamReply, RunState::Unknown);
    }
    if (response.status == StatusMisdirectedRequest) {
        m_instance.markUnreachable();
        return makeRefusal(RefusalKind::NoInstance, RunState::NotRun);
    }
    const bool refused = findHeader(response.headers, names.notExecuted) != nullptr;
    recordRequestLimit(response.headers, !refused);
    recordLeaving(response.headers);
    if (refused) {
        m_slotQueue.recordOverflow(m_clock.now());
        return makeRefusal(RefusalKind::UpstreamOverloaded, RunState::NotRun);
    }
    const bool success = response.status < 300;
    const bool complete = findHeader(response.headers, names.signature) != nullptr
        && findHeader(response.headers, "Content-Encoding") == nullptr;
    if (success && !complete) {
        return makeRefusal(RefusalKind::BadUpstreamReply, RunState::Unknown);
    }
    CallReply reply;
    reply.runState = RunState::Ran;
    reply.status = response.status;
    for (auto &[name, value] : response.headers) {
        if (!isHopByHopHeader(name)) {
            reply.headers.emplace_back(std::move(name), std::move(value));
        }
    }
    reply.body = std::move(response.body);
    return reply;
}

/// Stops new requests to an instance that says in a response that it is about to stop, before it announces so.
void IngressProxy::recordLeaving(const HeaderList &headers)
{
    const std::string *leaving = findHeader(headers, m_settings.headers.leaving);
    if (leaving == nullptr || *leaving != "1" || !m_instance.current() || m_instance.current()->draining) {
        return;
    }
    m_instance.markDraining();
    m_decisions.record("instance.leaving",
                       {{"instance", m_instance.current()->id},
                        {"running", std::to_string(m_slotQueue.running())},
                        {"queued", std::to_string(m_slotQueue.queued())}});
}

/// Applies the request rate that the instance names in a response. An answer that names none ends the limit; a refusal
/// does not.
void IngressProxy::recordRequestLimit(const HeaderList &headers, bool answered)
{
    if (answered && !m_instanceAnswered) {
        m_instanceAnswered = true;
        updateSlots();
    }
    const std::string *text = findHeader(headers, m_settings.headers.requestLimit);
    if (text == nullptr && !answered) {
        return;
    }
    std::optional<double> limit;
    if (text != nullptr) {
        double value = 0;
        if (!absl::SimpleAtod(*text, &value) || !std::isfinite(value) || value < 0) {
            m_decisions.record("instance.limit-invalid", {{"instance", m_instance.current()->id}, {"value", *text}});
            return;
        }
        limit = value;
    }
    const std::optional<double> before = m_slotQueue.requestRate();
    m_slotQueue.setRequestRate(limit);
    const std::optional<double> now = m_slotQueue.requestRate();
    if (before != now) {
        const auto describe = [](const std::optional<double> &rate) {
            return rate ? absl::StrFormat("%.1f", *rate) : std::string("none");
        };
        m_decisions.record("instance.limit",
                           {{"instance", m_instance.current()->id},
                            {"limit_per_s", describe(now)},
                            {"before", describe(before)},
                            {"running", std::to_string(m_slotQueue.running())},
                            {"queued", std::to_string(m_slotQueue.queued())}});
    }
}

void IngressProxy::updateSlots()
{
    const int slots = m_instance.current() ? m_instance.current()->slots : 0;
    m_slotQueue.setSlots(m_instanceAnswered ? slots : std::min(slots, SlotsBeforeFirstAnswer));
}

void IngressProxy::release(TicketId ticket, bool answerComplete)
{
    const auto call = m_calls.extract(ticket);
    const TimePoint now = m_clock.now();
    if (!call.empty() && call.mapped().started) {
        m_callGraph.end(call.mapped().request.route, now);
    }
    if (!accepts()) {
        refuseQueued(RefusalKind::NoInstance);
    }
    for (const TicketId next : m_slotQueue.finish(ticket, answerComplete, now)) {
        start(next);
    }
}

void IngressProxy::refuse(TicketId ticket, RefusalKind kind, Duration expectedWait)
{
    const auto call = m_calls.extract(ticket);
    if (call.empty()) {
        return;
    }
    const CallRequest &request = call.mapped().request;
    m_metrics.countRefusal(kind, request.depth > 0 ? PriorityClass::Critical : PriorityClass::Interactive);
    m_decisions.record("ingress.refused",
                       {{"id", request.rootId},
                        {"route", request.route.value},
                        {"reason", std::string(RefusalKindNames.name(kind))},
                        {"running", std::to_string(m_slotQueue.running())},
                        {"limit", std::to_string(m_slotQueue.limit(m_clock.now()))},
                        {"queued", std::to_string(m_slotQueue.queued())},
                        {"wait_ms", millisecondsText(expectedWait)},
                        {"left_ms", millisecondsText(request.deadlineLeft)}});
    if (call.mapped().completion) {
        call.mapped().completion(makeRefusal(kind, RunState::NotRun, expectedWait));
    }
}

void IngressProxy::refuseQueued(RefusalKind kind)
{
    for (const TicketId ticket : m_slotQueue.clear()) {
        refuse(ticket, kind, Duration{0});
    }
}

RunState IngressProxy::abandon(TicketId ticket)
{
    const auto entry = m_calls.find(ticket);
    if (entry == m_calls.end()) {
        return RunState::Unknown;
    }
    Call &call = entry->second;
    call.completion = nullptr;
    if (!call.started) {
        m_slotQueue.cancel(ticket);
        m_calls.extract(ticket);
        return RunState::NotRun;
    }
    if (call.request.idempotent) {
        m_client->cancel(call.upstreamCall);
        release(ticket, false);
    }
    return RunState::Unknown;
}

AnnouncementVerdict IngressProxy::announce(const InstanceAnnouncement &announcement)
{
    const bool acceptedBefore = accepts();
    const std::string previousId = m_instance.current() ? m_instance.current()->id : "";
    const std::uint64_t previousStart = m_instance.current() ? m_instance.current()->startedAtMs : 0;
    const AnnouncementVerdict verdict = m_instance.announce(announcement, m_clock.now());
    if (m_instance.current() && m_instance.current()->startedAtMs != previousStart) {
        m_instanceAnswered = false;
        m_slotQueue.setRequestRate(std::nullopt);
    }
    updateSlots();
    const bool changed =
        acceptedBefore != accepts() || (m_instance.current() && m_instance.current()->id != previousId);
    if (changed || verdict != AnnouncementVerdict::Accepted) {
        m_decisions.record("instance.announced",
                           {{"instance", announcement.id},
                            {"started_ms", std::to_string(announcement.startedAtMs)},
                            {"sequence", std::to_string(announcement.sequence)},
                            {"draining", announcement.draining ? "yes" : "no"},
                            {"verdict", std::string(AnnouncementVerdictNames.name(verdict))},
                            {"accepts", accepts() ? "yes" : "no"}});
    }
    if (m_instance.current() && m_instance.current()->id != previousId) {
        m_client->closeIdle(m_settings.instanceEndpoint);
    }
    if (!accepts()) {
        refuseQueued(RefusalKind::NoInstance);
    }
    return verdict;
}

AnnouncementVerdict IngressProxy::withdraw(const std::string &id, std::uint64_t startedAtMs)
{
    const AnnouncementVerdict verdict = m_instance.withdraw(id, startedAtMs, m_clock.now());
    m_decisions.record("instance.withdrawn",
                       {{"instance", id},
                        {"started_ms", std::to_string(startedAtMs)},
                        {"verdict", std::string(AnnouncementVerdictNames.name(verdict))}});
    if (!accepts()) {
        refuseQueued(RefusalKind::NoInstance);
    }
    return verdict;
}

void IngressProxy::startRecovery()
{
    m_instance.startRecovery();
}

void IngressProxy::finishRecovery()
{
    m_instance.finishRecovery();
}

void IngressProxy::restore(const std::vector<Departure> &departures)
{
    m_instance.restore(departures, m_clock.now());
    if (!accepts()) {
        refuseQueued(RefusalKind::NoInstance);
    }
}

void IngressProxy::refuseNewCalls()
{
    if (!m_refusingNewCalls) {
        m_refusingNewCalls = true;
        refuseQueued(RefusalKind::Draining);
    }
}

/// Refuses queued calls that have waited too long and starts those for which the instance's request rate has left room.
/// Repeats until the queue is empty.
void IngressProxy::scheduleQueueCheck()
{
    if (m_queueCheckScheduled || m_slotQueue.queued() == 0) {
        return;
    }
    m_queueCheckScheduled = true;
    m_loop.callAfter(QueueCheckInterval, [this] {
        m_queueCheckScheduled = false;
        for (const TicketId ticket : m_slotQueue.expire(m_clock.now())) {
            refuse(ticket, RefusalKind::Overloaded, Duration{0});
        }
        if (accepts()) {
            for (const TicketId ticket : m_slotQueue.startQueued(m_clock.now())) {
                start(ticket);
            }
        }
        scheduleQueueCheck();
    });
}

std::vector<RouteLoad> IngressProxy::workTimes()
{
    const TimePoint now = m_clock.now();
    std::vector<RouteLoad> loads;
    for (auto entry = m_routeLastSeenAt.begin(); entry != m_routeLastSeenAt.end();) {
        const RouteName &route = entry->first;
        if (now - entry->second > RouteMemory) {
            m_slotQueue.forgetWorkTime(route);
            entry = m_routeLastSeenAt.erase(entry);
            continue;
        }
        const Duration work = m_slotQueue.workTime(route);
        if (work > Duration{0}) {
            loads.push_back({route, 0, toSeconds(work)});
        }
        ++entry;
    }
    return loads;
}

} // namespace vanillatack
