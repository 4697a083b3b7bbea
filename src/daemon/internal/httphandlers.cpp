#include "daemon/internal/httphandlers.h"

#include "daemon/internal/problem.h"

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

namespace vanillatack {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

std::optional<std::string> optionalHeader(const HttpRequest &request, std::string_view name)
{
    std::string value = request.header(name);
    return value.empty() ? std::nullopt : std::optional<std::string>(std::move(value));
}

std::optional<std::string> bearerKey(const HttpRequest &request)
{
    const std::string value = request.header("Authorization");
    if (!absl::StartsWithIgnoreCase(value, "bearer ")) {
        return std::nullopt;
    }
    return value.substr(BearerPrefix.size());
}

HttpResponse plain(int status, const std::string &text)
{
    return {status, {{"Content-Type", "text/plain"}}, text + "\n", false};
}

std::optional<UpstreamAnnouncement> parseAnnouncement(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        UpstreamAnnouncement announcement;
        announcement.service = ServiceName(json.at("service").get<std::string>());
        announcement.endpoint.address = json.at("address").get<std::string>();
        announcement.endpoint.port = json.at("port").get<std::uint16_t>();
        announcement.slots = json.at("slots").get<int>();
        announcement.state = json.at("state").get<std::string>();
        return announcement;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

CallerHttpHandler::CallerHttpHandler(EgressForwarder &egress)
    : m_egress(egress)
{
}

HttpResponse CallerHttpHandler::handle(const HttpRequest &request, int callerSocket)
{
    const EgressRequest egressRequest{
        request.method, request.target, bearerKey(request), std::nullopt, optionalHeader(request, "Idempotency-Key")};
    return m_egress.run(request, egressRequest, callerSocket);
}

HttpResponse CallerHttpHandler::makeErrorResponse(int status)
{
    return makeUnreadableRequestProblem(status);
}

LocalHttpHandler::LocalHttpHandler(EgressForwarder &egress, NodeLock &lock, INode &node)
    : m_egress(egress)
    , m_lock(lock)
    , m_node(node)
{
}

HttpResponse LocalHttpHandler::handle(const HttpRequest &request, int callerSocket)
{
    if (request.target == "/v1/announce") {
        return announce(request);
    }
    if (request.target == "/healthz") {
        return plain(200, "alive");
    }
    if (request.target == "/readyz") {
        return readiness();
    }
    // The token is set even when the header is missing, so that a request without one is refused instead of being
    // treated as the root request of an outside caller.
    const std::string token = request.header("Vanillatack-Request");
    const EgressRequest egressRequest{
        request.method, request.target, std::nullopt, token, optionalHeader(request, "Idempotency-Key")};
    return m_egress.run(request, egressRequest, callerSocket);
}

HttpResponse LocalHttpHandler::announce(const HttpRequest &request)
{
    const std::optional<UpstreamAnnouncement> announcement = parseAnnouncement(request.body);
    if (request.method != "POST" || !announcement) {
        return plain(400, "Send a POST with JSON: service, address, port, slots, state (cold, ready or draining).");
    }
    const auto lock = m_lock.acquire();
    const Result<void> result = m_node.announce(*announcement);
    return result ? plain(200, "known") : plain(400, result.error().text());
}

HttpResponse LocalHttpHandler::readiness()
{
    std::string reason;
    const auto lock = m_lock.acquire();
    return m_node.isReady(reason) ? plain(200, "ready") : plain(503, "not ready: " + reason);
}

HttpResponse LocalHttpHandler::makeErrorResponse(int status)
{
    return makeUnreadableRequestProblem(status);
}

} // namespace vanillatack
