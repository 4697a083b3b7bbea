#include "admin/adminserver.h"

#include "admin/adminjson.h"
#include "base/digest.h"
#include "base/log.h"
#include "base/text.h"
#include "config/fleetconfig.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>
#include <string_view>
#include <thread>

namespace vanillatack {

namespace {

using httplib::Request;
using httplib::Response;

constexpr Log AdminLog("admin");
constexpr int MaxListLength = 1000;
constexpr std::size_t MaxAuthorOrNoteBytes = 1000;

int httpStatusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSetting:
    case ErrorKind::InvalidConfiguration:
    case ErrorKind::InvalidMessage:
    case ErrorKind::InvalidArgument:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::LimitExceeded:
        return 429;
    case ErrorKind::Unavailable:
        return 503;
    case ErrorKind::Timeout:
    case ErrorKind::OutcomeUnknown:
        return 504;
    case ErrorKind::Internal:
        break;
    }
    return 500;
}

void sendError(Response &response, const Error &error)
{
    response.status = httpStatusOf(error.kind);
    response.set_content(formatAdminValue(AdminProblem{error}), "application/json");
}

template<class T>
void sendResult(Response &response, const Result<T> &result)
{
    if (result) {
        response.status = 200;
        response.set_content(formatAdminValue(result.value()), "application/json");
    } else {
        sendError(response, result.error());
    }
}

// Both credentials are hashed first, so that the duration of the comparison does not reveal the length.
bool isAuthorized(const Request &request, const std::string &credential)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string header = request.get_header_value("Authorization");
    if (credential.empty() || header.substr(0, Scheme.size()) != Scheme) {
        return false;
    }
    return equalConstantTime(sha256Hex(header.substr(Scheme.size())), sha256Hex(credential));
}

// Returns the fallback if the parameter is absent.
Result<std::int64_t> integerParameter(const Request &request, const char *name, std::int64_t fallback)
{
    if (!request.has_param(name)) {
        return fallback;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(request.get_param_value(name), &value) || value < 0) {
        return makeError(ErrorKind::InvalidArgument,
                         absl::StrCat("The parameter ", name, " is not a non-negative integer."),
                         "Correct the parameter.");
    }
    return value;
}

Result<int> limitParameter(const Request &request)
{
    const Result<std::int64_t> limit = integerParameter(request, "limit", 20);
    if (!limit) {
        return limit.error();
    }
    return static_cast<int>(std::clamp<std::int64_t>(limit.value(), 1, MaxListLength));
}

Result<RefusalQuery> parseRefusalQuery(const Request &request)
{
    const Result<int> limit = limitParameter(request);
    if (!limit) {
        return limit.error();
    }
    RefusalQuery query;
    query.limit = limit.value();
    query.requestId = request.get_param_value("request");
    if (request.has_param("kind")) {
        query.kind = RefusalKindNames.value(request.get_param_value("kind"));
        if (!query.kind) {
            return makeError(
                ErrorKind::InvalidArgument, "Unknown kind of refusal.", "Use one of: " + RefusalKindNames.list() + ".");
        }
    }
    return query;
}

Result<BurnQuery> parseBurnQuery(const Request &request)
{
    const Result<std::int64_t> from = integerParameter(request, "from", 0);
    const Result<std::int64_t> to = integerParameter(request, "to", std::numeric_limits<std::int64_t>::max());
    if (!from || !to) {
        return from ? to.error() : from.error();
    }
    return BurnQuery{from.value(), to.value()};
}

Result<void> checkAuthorAndNote(const std::string &author, const std::string &note)
{
    if (author.empty() || author.size() > MaxAuthorOrNoteBytes || note.size() > MaxAuthorOrNoteBytes) {
        return makeError(ErrorKind::InvalidArgument,
                         "The author is missing, or the author or note is too long.",
                         absl::StrCat("Pass an author; use at most ", MaxAuthorOrNoteBytes, " bytes for each."));
    }
    return success();
}

// The node validates too, since the tool may have a different version.
Result<void> validateConfig(const std::string &text)
{
    const ConfigParseResult parse = parseFleetConfig(text, "configuration");
    if (parse.config) {
        return success();
    }
    std::string problems = "The configuration is not valid.";
    for (const TextProblem &problem : parse.problems) {
        absl::StrAppend(&problems, "\n", problem.text());
    }
    return makeError(ErrorKind::InvalidConfiguration, problems, "Correct the configuration and apply it again.");
}

} // namespace

struct AdminServer::Impl {
    Impl(IAdminService &adminService, std::string operatorCredential, const AdminLimits &limits)
        : service(adminService)
        , credential(std::move(operatorCredential))
    {
        const auto threads = static_cast<std::size_t>(limits.threads);
        server.new_task_queue = [threads] {
            return new httplib::ThreadPool(threads);
        };
        server.set_payload_max_length(limits.bodyBytes);
        server.set_read_timeout(limits.socketTimeout);
        server.set_write_timeout(limits.socketTimeout);
        // An idle keep-alive connection would occupy a thread, so each connection serves one request.
        server.set_keep_alive_max_count(1);
        server.set_tcp_nodelay(true);
        installCommonHandlers();
        addReadRoutes();
        addChangeRoutes();
    }

    void installCommonHandlers()
    {
        server.set_pre_routing_handler([this](const Request &request, Response &response) {
            if (isAuthorized(request, credential)) {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            AdminLog.warning("Rejected an admin request: operator credential missing or wrong.",
                             {{"from", request.remote_addr}});
            sendError(response,
                      makeError(ErrorKind::Unauthorized,
                                "The operator credential is missing or wrong.",
                                "Pass the operator credential from the node's settings."));
            return httplib::Server::HandlerResponse::Handled;
        });
        server.set_error_handler([](const Request &, Response &response) {
            if (!response.body.empty()) {
                return;
            }
            const int status = response.status;
            sendError(response,
                      makeError(status == 404 ? ErrorKind::NotFound : ErrorKind::InvalidMessage,
                                absl::StrCat("The node cannot handle this request (HTTP status ", status, ")."),
                                "404: check the versions of the tool and the node. 413: use a smaller file."));
            response.status = status;
        });
        server.set_exception_handler([](const Request &, Response &response, std::exception_ptr) {
            sendError(response,
                      makeError(ErrorKind::Internal,
                                "The node failed while it handled the request.",
                                "Check the log of the node."));
        });
    }

    void addReadRoutes()
    {
        server.Get("/v1/config", [this](const Request &, Response &response) {
            sendResult(response, service.showConfig());
        });
        server.Get("/v1/config/history", [this](const Request &request, Response &response) {
            const Result<int> limit = limitParameter(request);
            limit ? sendResult(response, service.configHistory(limit.value())) : sendError(response, limit.error());
        });
        server.Get("/v1/workspaces", [this](const Request &, Response &response) {
            sendResult(response, service.listWorkspaces());
        });
        server.Get("/v1/keys", [this](const Request &, Response &response) {
            sendResult(response, service.listKeys());
        });
        server.Get("/v1/fleet", [this](const Request &, Response &response) {
            sendResult(response, service.viewFleet());
        });
        server.Get("/v1/refusals", [this](const Request &request, Response &response) {
            const Result<RefusalQuery> query = parseRefusalQuery(request);
            query ? sendResult(response, service.listRefusals(query.value())) : sendError(response, query.error());
        });
        server.Get("/v1/burn", [this](const Request &request, Response &response) {
            const Result<BurnQuery> query = parseBurnQuery(request);
            query ? sendResult(response, service.burnFigures(query.value())) : sendError(response, query.error());
        });
        server.Get("/v1/status", [this](const Request &, Response &response) {
            sendResult(response, service.nodeStatus());
        });
    }

    void addChangeRoutes()
    {
        addChangeRoute<ConfigChange>("/v1/config", [this](const ConfigChange &change) -> Result<ConfigApplied> {
            if (const Result<void> valid = validateConfig(change.text); !valid) {
                return valid.error();
            }
            return service.applyConfig(change);
        });
        addChangeRoute<KeyGrantRequest>("/v1/keys", [this](const KeyGrantRequest &request) {
            return service.grantKey(request);
        });
        addChangeRoute<KeyWithdrawRequest>("/v1/keys/withdraw", [this](const KeyWithdrawRequest &request) {
            return service.withdrawKey(request);
        });
        addChangeRoute<DrainRequest>("/v1/drain", [this](const DrainRequest &request) {
            return service.drain(request);
        });
        addChangeRoute<DrainRequest>("/v1/undrain", [this](const DrainRequest &request) {
            return service.undrain(request);
        });
    }

    template<class Change, class Operation>
    void addChangeRoute(const char *path, Operation operation)
    {
        server.Post(path, [operation, path](const Request &request, Response &response) {
            const Result<Change> change = parseAdminValue<Change>(request.body);
            if (!change) {
                return sendError(response, change.error());
            }
            std::string note;
            if constexpr (requires { change.value().note; }) {
                note = change.value().note;
            }
            if (const Result<void> valid = checkAuthorAndNote(change.value().author, note); !valid) {
                return sendError(response, valid.error());
            }
            sendResult(response, operation(change.value()));
            AdminLog.info("Answered a change request of an operator.",
                          {{"path", path},
                           {"author", change.value().author},
                           {"from", request.remote_addr},
                           {"status", std::to_string(response.status)}});
        });
    }

    IAdminService &service;
    std::string credential;
    httplib::Server server;
    std::thread thread;
};

AdminServer::AdminServer(IAdminService &service, std::string credential, const AdminLimits &limits)
    : m_impl(std::make_unique<Impl>(service, std::move(credential), limits))
{
}

AdminServer::~AdminServer()
{
    stop();
}

Result<std::uint16_t> AdminServer::start(const Endpoint &endpoint)
{
    httplib::Server &server = m_impl->server;
    int port = endpoint.port;
    if (port == 0) {
        port = server.bind_to_any_port(endpoint.address);
    } else if (!server.bind_to_port(endpoint.address, port)) {
        port = -1;
    }
    if (port <= 0) {
        return makeError(ErrorKind::Unavailable,
                         "Cannot bind the admin port " + endpoint.text() + ".",
                         "Use an address of this VM and a free port.");
    }
    m_impl->thread = std::thread([&server] {
        server.listen_after_bind();
    });
    return static_cast<std::uint16_t>(port);
}

void AdminServer::stop()
{
    if (m_impl->thread.joinable()) {
        // httplib's stop() has no effect until the server is running.
        while (!m_impl->server.is_running()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        m_impl->server.stop();
        m_impl->thread.join();
    }
}

} // namespace vanillatack
