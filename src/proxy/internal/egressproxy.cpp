#include "proxy/internal/egressproxy.h"

#include "base/durations.h"
#include "http/http.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace vanillatack {

namespace {

/// Maximum number of nodes tried, one after another, for a request.
constexpr int MaxTries = 4;
constexpr Duration UnknownWait{0};
/// Minimum time left for a retry; with less, it would fail too.
constexpr Duration MinTimeForRetry = std::chrono::milliseconds(30);

} // namespace

EgressProxy::EgressProxy(const NodeDependencies &dependencies)
    : m_dependencies(dependencies)
{
}

void EgressProxy::connect(IHttpServer &server, IPeerLink &link)
{
    m_server = &server;
    m_link = &link;
}

void EgressProxy::setRouteTable(RouteTable table)
{
    m_routeTable = std::move(table);
    const CallerLimits &limits = m_routeTable.config().limits;
    m_server->setLimits({.headBytes = limits.maxHeadBytes,
                         .bodyBytes = std::min(limits.maxBodyBytes, m_dependencies.memory->largeLimit()),
                         .connections = m_dependencies.settings.maxCallerConnections,
                         .headTimeout = limits.headTimeout,
                         .idleTimeout = limits.idleTimeout});
    std::map<WorkspaceName, RateLimit> rates;
    for (const TrafficWorkspace &workspace : m_routeTable.config().workspaces) {
        rates[workspace.name] = {workspace.ratePerSecond, workspace.burst};
    }
    m_dependencies.rateLimiter.setLimits(rates);
}

void EgressProxy::refuseNewRequests()
{
    m_refusingNewRequests = true;
}

void EgressProxy::limitDeadlines(TimePoint latestOfStored, TimePoint latestOfNew)
{
    m_latestDeadline = latestOfNew;
    for (auto &[id, request] : m_requests) {
        if (request.deadline > latestOfStored) {
            m_dependencies.loop.cancel(request.deadlineTimer);
            request.deadline = latestOfStored;
            startDeadlineTimer(id, request);
        }
    }
}

void EgressProxy::startDeadlineTimer(RequestId id, Request &request)
{
    request.deadlineTimer = m_dependencies.loop.callAfter(request.deadline - m_dependencies.clock.now(), [this, id] {
        onTimeout(id);
    });
}

std::map<RouteName, int> EgressProxy::popOfferedCounts()
{
    return std::exchange(m_offeredCounts, {});
}

std::string EgressProxy::configAgeText() const
{
    const auto age = m_freshness.age(m_dependencies.clock.elapsed());
    return age ? millisecondsText(*age) : "never";
}

void EgressProxy::onRequest(ExchangeId exchange, HttpRequest http, const std::string & /*peerAddress*/)
{
    Request request;
    request.exchange = exchange;
    request.receivedAt = m_dependencies.clock.now();
    request.attemptId = http.header(m_dependencies.settings.headers.attemptId);
    if (const auto rejection = validate(http, request)) {
        reject(request, *rejection);
        return;
    }
    prepareCall(std::move(http), request);
    const RequestId id{++m_lastRequestId};
    startDeadlineTimer(id, request);
    m_exchanges[exchange] = id;
    const WorkspaceName workspace = request.workspace;
    m_requests.emplace(id, std::move(request));
    if (workspace.empty()) {
        admit(id);
        return;
    }
    m_dependencies.rateLimiter.acquire(
        workspace, m_dependencies.clock.now(), [this, id, workspace](TokenOutcome outcome, Duration expectedWait) {
            if (m_requests.contains(id)) {
                onTokenOutcome(id, outcome, expectedWait);
            } else if (outcome == TokenOutcome::Granted) {
                // The request was abandoned or timed out while the owner of the rate was asked.
                m_dependencies.rateLimiter.refund(workspace);
            }
        });
}

/// Checks the request against the configuration and fills in its route, deadline, workspace and service. Also records
/// an inner call in the call graph and advances the traffic split of the route.
std::optional<EgressProxy::Rejection> EgressProxy::validate(const HttpRequest &http, Request &request)
{
    const TimePoint now = request.receivedAt;
    if (!hasRequiredConfig() || m_refusingNewRequests) {
        return Rejection{
            503, m_refusingNewRequests ? RefusalKind::Draining : RefusalKind::NotReady, std::chrono::seconds(1)};
    }
    if (request.attemptId.empty()) {
        return Rejection{400, RefusalKind::MalformedRequest};
    }
    const TrafficRoute *route = m_routeTable.find(http.header("Host"), http.target);
    if (route == nullptr) {
        return Rejection{404, RefusalKind::UnknownRoute};
    }
    request.route = route->name;
    // Root requests and inner calls arrive at the same address. Inner calls use open routes and carry no key, so a
    // request without a key on an open route is taken for an inner call, also if a caller sent it. Without configured
    // workspaces, no request is.
    request.innerCall = route->open && !m_routeTable.config().workspaces.empty()
        && http.header(m_dependencies.settings.headers.key).empty();
    request.idempotent = route->isIdempotent();
    request.targetLatency = route->targetLatency;
    request.maxRuns = route->isIdempotent() ? std::max(route->maxAttempts, 1) : 1;
    request.rank = route->rank;
    Duration left = route->timeout;
    double callerLeftMs = 0;
    if (absl::SimpleAtod(http.header(m_dependencies.settings.headers.timeLeft), &callerLeftMs)) {
        left = std::min(left,
                        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(callerLeftMs)));
    }
    request.callerDeadline = now + left;
    request.deadline = std::min(request.callerDeadline, m_latestDeadline);
    if (route->services.empty()) {
        return makeRejection(request, 503, RefusalKind::NotReady);
    }
    if (const auto rejection = authenticate(http, *route, request)) {
        return rejection;
    }
    if (request.innerCall) {
        m_dependencies.ingress.callGraph().recordCall(route->name, now);
    }
    request.service = m_routeTable.nextService(*route);
    return std::nullopt;
}

void EgressProxy::onTokenOutcome(RequestId id, TokenOutcome outcome, Duration expectedWait)
{
    const Request &request = m_requests.at(id);
    if (outcome == TokenOutcome::Exhausted) {
        rejectStored(id, makeRejection(request, 429, RefusalKind::RateExceeded, expectedWait));
    } else if (outcome == TokenOutcome::OwnerUnresponsive) {
        rejectStored(id, makeRejection(request, 503, RefusalKind::RateOwnerSilent));
    } else {
        admit(id);
    }
}

/// Starts the first attempt, unless the load shedder refuses the request for lack of capacity.
void EgressProxy::admit(RequestId id)
{
    const Request &request = m_requests.at(id);
    if (!request.innerCall) {
        ++m_offeredCounts[request.route];
        if (!m_dependencies.shedder.admit(request.route, request.workspace)) {
            m_dependencies.rateLimiter.refund(request.workspace);
            rejectStored(id, makeRejection(request, 503, RefusalKind::Overloaded));
            return;
        }
    }
    startAttempt(id);
}

EgressProxy::Rejection
EgressProxy::makeRejection(const Request &request, int status, RefusalKind kind, Duration expectedWait)
{
    const Duration left = std::max(request.callerDeadline - m_dependencies.clock.now(), Duration{0});
    return {status,
            kind,
            retryAfter({.timeLeft = left, .targetLatency = request.targetLatency, .expectedWait = expectedWait},
                       m_dependencies.random)};
}

/// Determines the workspace by the caller's key. Open routes need no key.
std::optional<EgressProxy::Rejection>
EgressProxy::authenticate(const HttpRequest &http, const TrafficRoute &route, Request &request)
{
    if (route.open || m_routeTable.config().workspaces.empty()) {
        return std::nullopt;
    }
    const auto age = m_freshness.age(m_dependencies.clock.elapsed());
    if (!age || *age > m_dependencies.settings.keyGrace) {
        // The key may have been withdrawn since the last confirmation.
        return Rejection{503,
                         RefusalKind::StoreUnavailable,
                         retryAfter({.timeLeft = request.callerDeadline - request.receivedAt}, m_dependencies.random)};
    }
    const TrafficWorkspace *workspace = m_routeTable.workspaceOf(http.header(m_dependencies.settings.headers.key));
    if (workspace == nullptr) {
        return Rejection{401, RefusalKind::UnknownKey};
    }
    if (workspace->suspended) {
        return makeRejection(request, 503, RefusalKind::NotReady);
    }
    request.workspace = workspace->name;
    request.rank = workspace->rank.value_or(request.rank);
    return std::nullopt;
}

/// Takes the headers and the body of the request.
void EgressProxy::prepareCall(HttpRequest http, Request &request) const
{
    const HeaderNames &names = m_dependencies.settings.headers;
    CallRequest &call = request.call;
    call.rootId = request.attemptId;
    call.workspace = request.workspace;
    call.route = request.route;
    call.service = request.service;
    call.rank = request.rank;
    call.depth = request.innerCall ? 1 : 0;
    call.idempotent = request.idempotent;
    const std::vector<std::string> connectionHeaders = absl::StrSplit(http.header("Connection"), absl::ByAnyChar(", "));
    call.method = std::move(http.method);
    call.target = std::move(http.target);
    call.body = std::move(http.body);
    call.headers.reserve(http.headers.size() + 2);
    for (auto &[name, value] : http.headers) {
        const bool dropped = isHopByHopHeader(name) || sameHeader(name, names.key) || sameHeader(name, names.workspace)
            || sameHeader(name, names.callerService) || sameHeader(name, names.expectedInstance)
            || sameHeader(name, names.timeLeft)
            || std::any_of(connectionHeaders.begin(),
                           connectionHeaders.end(),
                           [&name = name](const std::string &option) {
                               return sameHeader(option, name);
                           });
        if (!dropped) {
            call.headers.emplace_back(std::move(name), std::move(value));
        }
    }
    call.headers.emplace_back(names.callerService, m_dependencies.settings.service.value);
    if (!request.workspace.empty()) {
        call.headers.emplace_back(names.workspace, request.workspace.value);
    }
}

void EgressProxy::rejectStored(RequestId id, const Rejection &rejection)
{
    // Removed first, because responding may start the next request of the same connection, which must not find this
    // one.
    const Request request = m_requests.at(id);
    removeRequest(id);
    reject(request, rejection);
}

void EgressProxy::reject(const Request &request, const Rejection &rejection)
{
    m_dependencies.metrics.countRefusal(rejection.kind, PriorityClass::Interactive);
    m_dependencies.decisions.record(
        "egress.rejected",
        {{"id", request.attemptId},
         {"status", std::to_string(rejection.status)},
         {"reason", std::string(RefusalKindNames.name(rejection.kind))},
         {"route", request.route.value},
         {"workspace", request.workspace.value},
         {"run", "not-run"},
         {"config", std::to_string(m_routeTable.config().version)},
         {"config_age_ms", configAgeText()},
         {"share", absl::StrFormat("%.2f", m_dependencies.shedder.share(request.route))},
         {"rate_owner", m_dependencies.rateLimiter.owner(request.workspace, m_dependencies.clock.now()).value},
         {"retry_after_s", absl::StrFormat("%.2f", toSeconds(rejection.retryAfter))}});
    HttpResponse response;
    response.status = rejection.status;
    if (!request.attemptId.empty()) {
        response.headers.emplace_back(m_dependencies.settings.headers.attemptId, request.attemptId);
    }
    if (rejection.retryAfter > Duration{0}) {
        response.headers.emplace_back("Retry-After", absl::StrFormat("%.3f", toSeconds(rejection.retryAfter)));
    }
    m_server->respond(request.exchange, std::move(response));
}

void EgressProxy::startAttempt(RequestId id)
{
    Request &request = m_requests.at(id);
    const TimePoint now = m_dependencies.clock.now();
    const auto node = m_dependencies.directory.choose(request.service, request.triedNodes, m_dependencies.random, now);
    if (!node || request.tries >= MaxTries) {
        if (node) {
            m_dependencies.directory.finish(node->node, CallOutcome::Served, now);
        }
        // 503 promises that the request did not run, which is unknown after an attempt that may have run.
        const int status = request.possibleRuns > 0 ? 502 : 503;
        fail(id, status, request.tries == 0 ? RefusalKind::NoInstance : RefusalKind::Overloaded, UnknownWait);
        return;
    }
    if (request.tries == 0) {
        retryBudget(request).recordFirstAttempt(request.service);
    }
    m_dependencies.metrics.countAttempt(request.service, request.tries > 0);
    ++request.tries;
    request.node = node->node;
    request.instance = node->instance;
    request.triedNodes.insert(node->node);
    CallRequest call = request.call;
    call.deadlineLeft = request.deadline - now;
    call.instance = node->instance;
    if (node->node == m_dependencies.settings.node) {
        // The completion may be called before offer() returns; then the ticket is not stored.
        const auto pending = std::make_shared<bool>(true);
        const TicketId ticket = m_dependencies.ingress.offer(std::move(call), [this, id, pending](CallReply reply) {
            *pending = false;
            onReply(id, PeerCallOutcome::Replied, std::move(reply));
        });
        const auto entry = m_requests.find(id);
        if (*pending && entry != m_requests.end()) {
            entry->second.localTicket = ticket;
        }
        return;
    }
    request.outgoingCall =
        m_link->call(node->peerEndpoint, std::move(call), [this, id](PeerCallOutcome outcome, CallReply reply) {
            onReply(id, outcome, std::move(reply));
        });
}

void EgressProxy::onReply(RequestId id, PeerCallOutcome outcome, CallReply reply)
{
    const auto entry = m_requests.find(id);
    if (entry == m_requests.end()) {
        return;
    }
    Request &request = entry->second;
    request.outgoingCall = {};
    request.localTicket = {};
    const TimePoint now = m_dependencies.clock.now();
    if (outcome != PeerCallOutcome::Replied) {
        m_dependencies.directory.finish(request.node, CallOutcome::Unreachable, now);
        if (outcome == PeerCallOutcome::NotSent) {
            startAttempt(id);
        } else {
            ++request.possibleRuns;
            onUnknownOutcome(id, RefusalKind::UpstreamFailed);
        }
        return;
    }
    if (reply.refusal == RefusalKind::None) {
        ++request.possibleRuns;
        const bool failed = reply.status >= 500;
        m_dependencies.directory.finish(request.node, failed ? CallOutcome::Failed : CallOutcome::Served, now);
        if (failed && tryAcquireRetry(request)) {
            startAttempt(id);
        } else {
            sendAnswer(id, std::move(reply));
        }
        return;
    }
    if (reply.runState == RunState::NotRun) {
        const bool notAccepting = reply.refusal == RefusalKind::NoInstance || reply.refusal == RefusalKind::Draining;
        m_dependencies.directory.finish(
            request.node, notAccepting ? CallOutcome::Unreachable : CallOutcome::Refused, now);
        onRefusedReply(id, reply);
        return;
    }
    m_dependencies.directory.finish(request.node, CallOutcome::Failed, now);
    ++request.possibleRuns;
    onUnknownOutcome(id, reply.refusal);
}

/// Handles a refusal by a node where the request has not run and will not run, so that another node can be tried.
void EgressProxy::onRefusedReply(RequestId id, const CallReply &reply)
{
    Request &request = m_requests.at(id);
    const bool reachedInstance = reply.refusal == RefusalKind::UpstreamOverloaded;
    if (reachedInstance && !retryBudget(request).tryAcquireRetry(request.service)) {
        fail(id, request.possibleRuns > 0 ? 502 : 503, reply.refusal, reply.retryAfter);
        return;
    }
    startAttempt(id);
}

/// Handles an attempt that may have run. Only idempotent requests are retried.
void EgressProxy::onUnknownOutcome(RequestId id, RefusalKind kind)
{
    Request &request = m_requests.at(id);
    if (tryAcquireRetry(request)) {
        startAttempt(id);
        return;
    }
    fail(id, kind == RefusalKind::DeadlineExceeded ? 504 : 502, kind, UnknownWait);
}

bool EgressProxy::tryAcquireRetry(const Request &request)
{
    return request.idempotent && request.possibleRuns < request.maxRuns && request.tries < MaxTries
        && request.deadline - m_dependencies.clock.now() > MinTimeForRetry
        && retryBudget(request).tryAcquireRetry(request.service);
}

IRetryBudget &EgressProxy::retryBudget(const Request &request)
{
    return request.innerCall ? m_dependencies.innerCallRetryBudget : m_dependencies.rootRequestRetryBudget;
}

void EgressProxy::onTimeout(RequestId id)
{
    Request &request = m_requests.at(id);
    request.deadlineTimer = 0;
    const bool notRun = cancelAttempt(request) == RunState::NotRun && request.possibleRuns == 0;
    if (notRun && m_dependencies.clock.now() < request.callerDeadline) {
        // This node stops before the caller's time is over; another node can still serve the request.
        fail(id, 503, RefusalKind::Draining, UnknownWait);
        return;
    }
    fail(id, 504, RefusalKind::DeadlineExceeded, UnknownWait);
}

void EgressProxy::sendAnswer(RequestId id, CallReply reply)
{
    const Request &request = m_requests.at(id);
    m_dependencies.metrics.countRequest(
        request.route, request.workspace, reply.status, m_dependencies.clock.now() - request.receivedAt);
    if (reply.status >= 500) {
        m_dependencies.decisions.record("egress.instance-error",
                                        {{"id", request.attemptId},
                                         {"route", request.route.value},
                                         {"status", std::to_string(reply.status)},
                                         {"peer", request.node.value},
                                         {"attempts", std::to_string(request.possibleRuns)}});
    }
    if (!request.innerCall) {
        m_dependencies.decisions.record(
            "egress.answered",
            {{"id", request.attemptId},
             {"route", request.route.value},
             {"workspace", request.workspace.value},
             {"status", std::to_string(reply.status)},
             {"peer", request.node.value},
             {"instance", request.instance},
             {"attempts", std::to_string(request.possibleRuns)},
             {"spent_ms", millisecondsText(m_dependencies.clock.now() - request.receivedAt)},
             {"config", std::to_string(m_routeTable.config().version)},
             {"config_age_ms", configAgeText()}});
    }
    HttpResponse response;
    response.status = reply.status;
    response.headers = std::move(reply.headers);
    response.body = std::move(reply.body);
    const ExchangeId exchange = request.exchange;
    removeRequest(id);
    m_server->respond(exchange, std::move(response));
}

void EgressProxy::fail(RequestId id, int status, RefusalKind kind, Duration expectedWait)
{
    const Request &request = m_requests.at(id);
    const TimePoint now = m_dependencies.clock.now();
    m_dependencies.metrics.countRequest(request.route, request.workspace, status, now - request.receivedAt);
    m_dependencies.metrics.countRefusal(kind, PriorityClass::Interactive);
    const bool notRun = status == 503;
    const Duration wait = notRun
        ? retryAfter({.timeLeft = std::max(request.callerDeadline - now, Duration{0}),
                      .targetLatency = std::max(request.targetLatency - (now - request.receivedAt), Duration{0}),
                      .expectedWait = expectedWait},
                     m_dependencies.random)
        : Duration{0};
    m_dependencies.decisions.record("egress.gave-up",
                                    {{"id", request.attemptId},
                                     {"status", std::to_string(status)},
                                     {"reason", std::string(RefusalKindNames.name(kind))},
                                     {"route", request.route.value},
                                     {"service", request.service.value},
                                     {"workspace", request.workspace.value},
                                     {"run", notRun ? "not-run" : "unknown"},
                                     {"peer", request.node.value},
                                     {"tries", std::to_string(request.tries)},
                                     {"attempts", std::to_string(request.possibleRuns)},
                                     {"spent_ms", millisecondsText(now - request.receivedAt)},
                                     {"config", std::to_string(m_routeTable.config().version)},
                                     {"retry_after_s", absl::StrFormat("%.2f", toSeconds(wait))}});
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back(m_dependencies.settings.headers.attemptId, request.attemptId);
    if (notRun) {
        response.headers.emplace_back("Retry-After", absl::StrFormat("%.3f", toSeconds(wait)));
        m_dependencies.rateLimiter.refund(request.workspace);
    }
    const ExchangeId exchange = request.exchange;
    removeRequest(id);
    m_server->respond(exchange, std::move(response));
}

void EgressProxy::onExchangeAbandoned(ExchangeId exchange)
{
    const auto entry = m_exchanges.find(exchange);
    if (entry == m_exchanges.end()) {
        return;
    }
    const RequestId id = entry->second;
    Request &request = m_requests.at(id);
    m_dependencies.decisions.record("egress.caller-gone",
                                    {{"id", request.attemptId},
                                     {"route", request.route.value},
                                     {"spent_ms", millisecondsText(m_dependencies.clock.now() - request.receivedAt)}});
    // Removed first: ending the attempt may complete other requests, whose callbacks must not find this one.
    Request abandoned = std::move(request);
    removeRequest(id);
    cancelAttempt(abandoned);
}

/// Returns NotRun if the current attempt, if any, has not run and will not run.
RunState EgressProxy::cancelAttempt(Request &request)
{
    const OutgoingCallId outgoingCall = std::exchange(request.outgoingCall, {});
    const TicketId localTicket = std::exchange(request.localTicket, {});
    if (outgoingCall.value != 0 || localTicket.value != 0) {
        m_dependencies.directory.finish(request.node, CallOutcome::Served, m_dependencies.clock.now());
    }
    if (outgoingCall.value != 0) {
        return m_link->cancel(outgoingCall);
    }
    return localTicket.value != 0 ? m_dependencies.ingress.abandon(localTicket) : RunState::NotRun;
}

void EgressProxy::removeRequest(RequestId id)
{
    const auto request = m_requests.extract(id);
    if (request.mapped().deadlineTimer != 0) {
        m_dependencies.loop.cancel(request.mapped().deadlineTimer);
    }
    m_exchanges.erase(request.mapped().exchange);
}

} // namespace vanillatack
