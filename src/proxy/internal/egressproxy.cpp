#include "proxy/internal/egressproxy.h"

#include "base/durations.h"
#include "http/http.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace vanillatack {

namespace {

/// Nodes that are asked for a slot, one after the other, before a request is refused.
constexpr int MaxTries = 4;
constexpr Duration NoWaitKnown{0};
/// A repeated attempt with less time than this would fail as well.
constexpr Duration LeastTimeToRepeat = std::chrono::milliseconds(30);

} // namespace

EgressProxy::EgressProxy(const NodeParts &parts)
    : m_parts(parts)
{
}

void EgressProxy::connect(IHttpServer &server, IPeerLink &link)
{
    m_server = &server;
    m_link = &link;
}

void EgressProxy::setTable(RouteTable table)
{
    m_table = std::move(table);
    const CallerLimits &limits = m_table.config().limits;
    m_server->setLimits({.headBytes = limits.maxHeadBytes,
                         .bodyBytes = limits.maxBodyBytes,
                         .headTimeout = limits.headTimeout,
                         .idleTimeout = limits.idleTimeout});
    std::map<WorkspaceName, RateLimit> rates;
    for (const TrafficWorkspace &workspace : m_table.config().workspaces) {
        rates[workspace.name] = {workspace.ratePerSecond, workspace.burst};
    }
    m_parts.rates.setLimits(rates);
}

void EgressProxy::refuseNew()
{
    m_refusing = true;
}

std::map<RouteName, int> EgressProxy::takeOffered()
{
    return std::exchange(m_offered, {});
}

std::string EgressProxy::freshnessText() const
{
    const auto age = m_freshness.age(m_parts.clock.elapsed());
    return age ? millisecondsText(*age) : "never";
}

void EgressProxy::onRequest(ExchangeId exchange, HttpRequest http, const std::string & /*peerAddress*/)
{
    Request request;
    request.exchange = exchange;
    request.enteredAt = m_parts.clock.now();
    request.attemptId = http.header(m_parts.settings.headers.attemptId);
    if (const auto rejection = check(http, request)) {
        reject(request, *rejection);
        return;
    }
    prepareCall(http, request);
    const RequestId id{++m_lastRequest};
    request.timer = m_parts.loop.callAfter(request.deadline - request.enteredAt, [this, id] {
        onTimeout(id);
    });
    m_exchanges[exchange] = id;
    const WorkspaceName workspace = request.workspace;
    m_requests.emplace(id, std::move(request));
    if (workspace.empty()) {
        enter(id);
        return;
    }
    m_parts.rates.acquire(
        workspace, m_parts.clock.now(), [this, id, workspace](TokenOutcome outcome, Duration expectedWait) {
            if (m_requests.contains(id)) {
                onToken(id, outcome, expectedWait);
            } else if (outcome == TokenOutcome::Granted) {
                // The caller left while the owner of the rate was asked.
                m_parts.rates.refund(workspace);
            }
        });
}

/// Whether the request is one that the configuration allows.
std::optional<EgressProxy::Rejection> EgressProxy::check(const HttpRequest &http, Request &request)
{
    const TimePoint now = request.enteredAt;
    if (m_table.config().version == 0 || m_refusing) {
        return Rejection{503, m_refusing ? RefusalKind::Draining : RefusalKind::NotReady, std::chrono::seconds(1)};
    }
    if (request.attemptId.empty()) {
        return Rejection{400, RefusalKind::MalformedRequest};
    }
    const TrafficRoute *route = m_table.find(http.header("Host"), http.target);
    if (route == nullptr) {
        return Rejection{404, RefusalKind::UnknownRoute};
    }
    request.route = route->name;
    // Callers and the own instance send from the same address. Calls of instances carry no key, and their routes need
    // none; callers send a key unless the route is open to all.
    request.fromInstance =
        route->open && !m_table.config().workspaces.empty() && http.header(m_parts.settings.headers.key).empty();
    request.idempotent = route->idempotent;
    request.targetLatency = route->targetLatency;
    request.maxAttempts = route->idempotent ? std::max(route->maxAttempts, 1) : 1;
    request.rank = route->rank;
    Duration left = route->timeout;
    double callerLeftMs = 0;
    if (absl::SimpleAtod(http.header(m_parts.settings.headers.timeLeft), &callerLeftMs)) {
        left = std::min(left,
                        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(callerLeftMs)));
    }
    request.deadline = now + left;
    if (const auto rejection = identify(http, *route, request)) {
        return rejection;
    }
    if (request.fromInstance) {
        m_parts.ingress.callGraph().recordCall(route->name, now);
    }
    request.service = m_table.nextService(*route);
    return std::nullopt;
}

void EgressProxy::onToken(RequestId id, TokenOutcome outcome, Duration expectedWait)
{
    const Request &request = m_requests.at(id);
    if (outcome == TokenOutcome::Exhausted) {
        rejectStored(id, rejectionOf(request, 429, RefusalKind::RateExceeded, expectedWait));
    } else if (outcome == TokenOutcome::OwnerUnresponsive) {
        rejectStored(id, rejectionOf(request, 503, RefusalKind::RateOwnerSilent));
    } else {
        enter(id);
    }
}

/// Takes the request in, unless the services have no room for it.
void EgressProxy::enter(RequestId id)
{
    const Request &request = m_requests.at(id);
    if (!request.fromInstance) {
        ++m_offered[request.route];
        if (!m_parts.shedder.admit(request.route, request.workspace)) {
            m_parts.rates.refund(request.workspace);
            rejectStored(id, rejectionOf(request, 503, RefusalKind::Overloaded));
            return;
        }
    }
    attempt(id);
}

EgressProxy::Rejection
EgressProxy::rejectionOf(const Request &request, int status, RefusalKind kind, Duration expectedWait)
{
    const Duration left = std::max(request.deadline - m_parts.clock.now(), Duration{0});
    return {status,
            kind,
            retryAfter({.timeLeft = left, .targetLatency = request.targetLatency, .expectedWait = expectedWait},
                       m_parts.random)};
}

/// Finds the workspace by the caller's key.
std::optional<EgressProxy::Rejection>
EgressProxy::identify(const HttpRequest &http, const TrafficRoute &route, Request &request)
{
    if (route.open || m_table.config().workspaces.empty()) {
        return std::nullopt;
    }
    const auto age = m_freshness.age(m_parts.clock.elapsed());
    if (!age || *age > m_parts.settings.keyGrace) {
        // The key may have been withdrawn meanwhile.
        return Rejection{503,
                         RefusalKind::StoreUnavailable,
                         retryAfter({.timeLeft = request.deadline - request.enteredAt}, m_parts.random)};
    }
    const TrafficWorkspace *workspace = m_table.workspaceOf(http.header(m_parts.settings.headers.key));
    if (workspace == nullptr) {
        return Rejection{401, RefusalKind::UnknownKey};
    }
    request.workspace = workspace->name;
    request.rank = workspace->rank.value_or(request.rank);
    return std::nullopt;
}

void EgressProxy::prepareCall(const HttpRequest &http, Request &request) const
{
    const HeaderNames &names = m_parts.settings.headers;
    CallRequest &call = request.call;
    call.rootId = request.attemptId;
    call.workspace = request.workspace;
    call.route = request.route;
    call.service = request.service;
    call.rank = request.rank;
    call.depth = request.fromInstance ? 1 : 0;
    call.idempotent = request.idempotent;
    call.method = http.method;
    call.target = http.target;
    call.body = http.body;
    std::vector<std::string> connectionOnly = absl::StrSplit(http.header("Connection"), absl::ByAnyChar(", "));
    for (const auto &[name, value] : http.headers) {
        const bool dropped = isHopByHopHeader(name) || sameHeader(name, names.key) || sameHeader(name, names.workspace)
            || sameHeader(name, names.callerService) || sameHeader(name, names.expectedInstance)
            || sameHeader(name, names.timeLeft)
            || std::any_of(connectionOnly.begin(), connectionOnly.end(), [&name = name](const std::string &option) {
                                 return sameHeader(option, name);
                             });
        if (!dropped) {
            call.headers.emplace_back(name, value);
        }
    }
    call.headers.emplace_back(names.callerService, m_parts.settings.service.value);
    if (!request.workspace.empty()) {
        call.headers.emplace_back(names.workspace, request.workspace.value);
    }
}

void EgressProxy::rejectStored(RequestId id, const Rejection &rejection)
{
    // The answer may free the connection for the next request of the caller, which must not find this one.
    const Request request = m_requests.at(id);
    close(id);
    reject(request, rejection);
}

void EgressProxy::reject(const Request &request, const Rejection &rejection)
{
    m_parts.metrics.countRefusal(rejection.kind, PriorityClass::Interactive);
    m_parts.decisions.record("egress.rejected",
                             {{"id", request.attemptId},
                              {"status", std::to_string(rejection.status)},
                              {"reason", std::string(RefusalKindNames.name(rejection.kind))},
                              {"route", request.route.value},
                              {"workspace", request.workspace.value},
                              {"run", "not-run"},
                              {"config", std::to_string(m_table.config().version)},
                              {"config_age_ms", freshnessText()},
                              {"share", absl::StrFormat("%.2f", m_parts.shedder.share(request.route))},
                              {"rate_owner", m_parts.rates.owner(request.workspace, m_parts.clock.now()).value},
                              {"retry_after_s", absl::StrFormat("%.2f", toSeconds(rejection.retryAfter))}});
    HttpResponse response;
    response.status = rejection.status;
    if (!request.attemptId.empty()) {
        response.headers.emplace_back(m_parts.settings.headers.attemptId, request.attemptId);
    }
    if (rejection.retryAfter > Duration{0}) {
        response.headers.emplace_back("Retry-After", absl::StrFormat("%.3f", toSeconds(rejection.retryAfter)));
    }
    m_server->respond(request.exchange, std::move(response));
}

void EgressProxy::attempt(RequestId id)
{
    Request &request = m_requests.at(id);
    const TimePoint now = m_parts.clock.now();
    const auto node = m_parts.directory.choose(request.service, request.excluded, m_parts.random, now);
    if (!node || request.tries >= MaxTries) {
        if (node) {
            m_parts.directory.finish(node->node, CallOutcome::Served, now);
        }
        // After an attempt that may have run, "not run" would be untrue.
        const int status = request.arrived > 0 ? 502 : 503;
        giveUp(id, status, request.tries == 0 ? RefusalKind::NoInstance : RefusalKind::Overloaded, NoWaitKnown);
        return;
    }
    if (request.tries == 0) {
        retryBudget(request).recordFirstAttempt(request.service);
    }
    m_parts.metrics.countAttempt(request.service, request.tries > 0);
    ++request.tries;
    request.node = node->node;
    request.instance = node->instance;
    request.excluded.insert(node->node);
    CallRequest call = request.call;
    call.deadlineLeft = request.deadline - now;
    call.instance = node->instance;
    if (node->node == m_parts.settings.node) {
        // The completion may come before offer() returns; a ticket that is over is not stored.
        const auto pending = std::make_shared<bool>(true);
        const TicketId ticket = m_parts.ingress.offer(std::move(call), [this, id, pending](CallReply reply) {
            *pending = false;
            onReply(id, PeerCallEnd::Replied, std::move(reply));
        });
        const auto entry = m_requests.find(id);
        if (*pending && entry != m_requests.end()) {
            entry->second.local = ticket;
        }
        return;
    }
    request.outgoing = m_link->call(node->peer, std::move(call), [this, id](PeerCallEnd end, CallReply reply) {
        onReply(id, end, std::move(reply));
    });
}

void EgressProxy::onReply(RequestId id, PeerCallEnd end, CallReply reply)
{
    const auto entry = m_requests.find(id);
    if (entry == m_requests.end()) {
        return;
    }
    Request &request = entry->second;
    request.outgoing = {};
    request.local = {};
    const TimePoint now = m_parts.clock.now();
    if (end != PeerCallEnd::Replied) {
        m_parts.directory.finish(request.node, CallOutcome::Unreachable, now);
        if (end == PeerCallEnd::NotSent) {
            attempt(id);
        } else {
            ++request.arrived;
            onUnknownEnd(id, RefusalKind::UpstreamFailed);
        }
        return;
    }
    if (reply.refusal == RefusalKind::None) {
        ++request.arrived;
        const bool failed = reply.status >= 500;
        m_parts.directory.finish(request.node, failed ? CallOutcome::Failed : CallOutcome::Served, now);
        if (failed && mayRepeat(request)) {
            attempt(id);
        } else {
            answer(id, std::move(reply));
        }
        return;
    }
    if (reply.runState == RunState::NotRun) {
        const bool gone = reply.refusal == RefusalKind::NoInstance || reply.refusal == RefusalKind::Draining;
        m_parts.directory.finish(request.node, gone ? CallOutcome::Unreachable : CallOutcome::Refused, now);
        onRefusedReply(id, reply);
        return;
    }
    m_parts.directory.finish(request.node, CallOutcome::Failed, now);
    ++request.arrived;
    onUnknownEnd(id, reply.refusal);
}

/// The request has not run and never will there; another node can be asked.
void EgressProxy::onRefusedReply(RequestId id, const CallReply &reply)
{
    Request &request = m_requests.at(id);
    const bool arrivedAtInstance = reply.refusal == RefusalKind::UpstreamOverloaded;
    if (arrivedAtInstance && !retryBudget(request).tryAcquireRetry(request.service)) {
        giveUp(id, request.arrived > 0 ? 502 : 503, reply.refusal, reply.retryAfter);
        return;
    }
    attempt(id);
}

/// The request may have run. Only idempotent ones are tried again.
void EgressProxy::onUnknownEnd(RequestId id, RefusalKind kind)
{
    Request &request = m_requests.at(id);
    if (mayRepeat(request)) {
        attempt(id);
        return;
    }
    giveUp(id, kind == RefusalKind::DeadlineExceeded ? 504 : 502, kind, NoWaitKnown);
}

bool EgressProxy::mayRepeat(const Request &request)
{
    return request.idempotent && request.arrived < request.maxAttempts && request.tries < MaxTries
        && request.deadline - m_parts.clock.now() > LeastTimeToRepeat
        && retryBudget(request).tryAcquireRetry(request.service);
}

IRetryBudget &EgressProxy::retryBudget(const Request &request)
{
    return request.fromInstance ? m_parts.callRetries : m_parts.retries;
}

void EgressProxy::onTimeout(RequestId id)
{
    Request &request = m_requests.at(id);
    request.timer = 0;
    cancelAttempt(request);
    giveUp(id, 504, RefusalKind::DeadlineExceeded, NoWaitKnown);
}

void EgressProxy::answer(RequestId id, CallReply reply)
{
    const Request &request = m_requests.at(id);
    m_parts.metrics.countRequest(
        request.route, request.workspace, reply.status, m_parts.clock.now() - request.enteredAt);
    if (reply.status >= 500) {
        m_parts.decisions.record("egress.instance-error",
                                 {{"id", request.attemptId},
                                  {"route", request.route.value},
                                  {"status", std::to_string(reply.status)},
                                  {"peer", request.node.value},
                                  {"attempts", std::to_string(request.arrived)}});
    }
    if (!request.fromInstance) {
        m_parts.decisions.record("egress.answered",
                                 {{"id", request.attemptId},
                                  {"route", request.route.value},
                                  {"workspace", request.workspace.value},
                                  {"status", std::to_string(reply.status)},
                                  {"peer", request.node.value},
                                  {"instance", request.instance},
                                  {"attempts", std::to_string(request.arrived)},
                                  {"spent_ms", millisecondsText(m_parts.clock.now() - request.enteredAt)},
                                  {"config", std::to_string(m_table.config().version)},
                                  {"config_age_ms", freshnessText()}});
    }
    HttpResponse response;
    response.status = reply.status;
    response.headers = std::move(reply.headers);
    response.body = std::move(reply.body);
    const ExchangeId exchange = request.exchange;
    close(id);
    m_server->respond(exchange, std::move(response));
}

void EgressProxy::giveUp(RequestId id, int status, RefusalKind kind, Duration expectedWait)
{
    const Request &request = m_requests.at(id);
    const TimePoint now = m_parts.clock.now();
    m_parts.metrics.countRequest(request.route, request.workspace, status, now - request.enteredAt);
    m_parts.metrics.countRefusal(kind, PriorityClass::Interactive);
    const bool notRun = status == 503;
    const Duration wait = notRun
        ? retryAfter({.timeLeft = std::max(request.deadline - now, Duration{0}),
                      .targetLatency = std::max(request.targetLatency - (now - request.enteredAt), Duration{0}),
                      .expectedWait = expectedWait},
                     m_parts.random)
        : Duration{0};
    m_parts.decisions.record("egress.gave-up",
                             {{"id", request.attemptId},
                              {"status", std::to_string(status)},
                              {"reason", std::string(RefusalKindNames.name(kind))},
                              {"route", request.route.value},
                              {"service", request.service.value},
                              {"workspace", request.workspace.value},
                              {"run", notRun ? "not-run" : "unknown"},
                              {"peer", request.node.value},
                              {"tries", std::to_string(request.tries)},
                              {"attempts", std::to_string(request.arrived)},
                              {"spent_ms", millisecondsText(now - request.enteredAt)},
                              {"config", std::to_string(m_table.config().version)},
                              {"retry_after_s", absl::StrFormat("%.2f", toSeconds(wait))}});
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back(m_parts.settings.headers.attemptId, request.attemptId);
    if (notRun) {
        response.headers.emplace_back("Retry-After", absl::StrFormat("%.3f", toSeconds(wait)));
        m_parts.rates.refund(request.workspace);
    }
    const ExchangeId exchange = request.exchange;
    close(id);
    m_server->respond(exchange, std::move(response));
}

void EgressProxy::onCallerGone(ExchangeId exchange)
{
    const auto entry = m_exchanges.find(exchange);
    if (entry == m_exchanges.end()) {
        return;
    }
    const RequestId id = entry->second;
    Request &request = m_requests.at(id);
    m_parts.decisions.record("egress.caller-gone",
                             {{"id", request.attemptId},
                              {"route", request.route.value},
                              {"spent_ms", millisecondsText(m_parts.clock.now() - request.enteredAt)}});
    cancelAttempt(request);
    close(id);
}

void EgressProxy::cancelAttempt(Request &request)
{
    if (request.outgoing.value != 0 || request.local.value != 0) {
        m_parts.directory.finish(request.node, CallOutcome::Served, m_parts.clock.now());
    }
    if (request.outgoing.value != 0) {
        m_link->cancel(request.outgoing);
    }
    if (request.local.value != 0) {
        m_parts.ingress.abandon(request.local);
    }
    request.outgoing = {};
    request.local = {};
}

void EgressProxy::close(RequestId id)
{
    const auto request = m_requests.extract(id);
    if (request.mapped().timer != 0) {
        m_parts.loop.cancel(request.mapped().timer);
    }
    m_exchanges.erase(request.mapped().exchange);
}

} // namespace vanillatack
