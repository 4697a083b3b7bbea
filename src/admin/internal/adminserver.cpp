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
constexpr std::size_t MaxNoteBytes = 1000;

int statusOf(ErrorKind kind)
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

void answerError(Response &response, const Error &error)
{
    response.status = statusOf(error.kind);
    response.set_content(formatAdminValue(AdminProblem{error}), "application/json");
}

template<class T>
void answer(Response &response, const Result<T> &result)
{
    if (result) {
        response.status = 200;
        response.set_content(formatAdminValue(result.value()), "application/json");
    } else {
        answerError(response, result.error());
    }
}

// Both sides are hashed first, so that the comparison does not show the length of the credential.
bool isAuthorized(const Request &request, const std::string &credential)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string header = request.get_header_value("Authorization");
    if (credential.empty() || header.substr(0, Scheme.size()) != Scheme) {
        return false;
    }
    return equalConstantTime(sha256Hex(header.substr(Scheme.size())), sha256Hex(credential));
}

// The parameter, or the fallback when it is absent.
Result<std::int64_t> integerParameter(const Request &request, const char *name, std::int64_t fallback)
{
    if (!request.has_param(name)) {
        return fallback;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(request.get_param_value(name), &value) || value < 0) {
        return makeError(ErrorKind::InvalidArgument,
                         absl::StrCat("The parameter ", name, " is not a number of at least 0."),
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

Result<RefusalQuery> refusalQueryOf(const Request &request)
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
            return makeError(ErrorKind::InvalidArgument,
                             "There is no such kind of refusal.",
                             "Use one of: " + RefusalKindNames.list() + ".");
        }
    }
    return query;
}

Result<BurnQuery> burnQueryOf(const Request &request)
{
    const Result<std::int64_t> from = integerParameter(request, "from", 0);
    const Result<std::int64_t> to = integerParameter(request, "to", std::numeric_limits<std::int64_t>::max());
    if (!from || !to) {
        return from ? to.error() : from.error();
    }
    return BurnQuery{from.value(), to.value()};
}

Result<void> checkAuthor(const std::string &author, const std::string &note)
{
    if (author.empty() || author.size() > MaxNoteBytes || note.size() > MaxNoteBytes) {
        return makeError(ErrorKind::InvalidArgument,
                         "The author is missing, or the author or the note is too long.",
                         absl::StrCat("Use at most ", MaxNoteBytes, " bytes."));
    }
    return success();
}

// The node checks as well, since the tool may have another version.
Result<void> checkConfig(const std::string &text)
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

struct AdminServer::Parts {
    Parts(IAdminService &adminService, std::string operatorCredential, const AdminLimits &limits)
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
        // An idle connection holds a thread, so each connection serves one request.
        server.set_keep_alive_max_count(1);
        server.set_tcp_nodelay(true);
        addChecks();
        addReads();
        addChanges();
    }

    void addChecks()
    {
        server.set_pre_routing_handler([this](const Request &request, Response &response) {
            if (isAuthorized(request, credential)) {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            AdminLog.warning("A request without the operator credential was refused.", {{"from", request.remote_addr}});
            answerError(response,
                        makeError(ErrorKind::Unauthorized,
                                  "The operator credential is missing or wrong.",
                                  "Pass the credential of the node's settings."));
            return httplib::Server::HandlerResponse::Handled;
        });
        server.set_error_handler([](const Request &, Response &response) {
            if (!response.body.empty()) {
                return;
            }
            const int status = response.status;
            answerError(response,
                        makeError(status == 404 ? ErrorKind::NotFound : ErrorKind::InvalidMessage,
                                  "The node does not serve this request.",
                                  "Check the versions of the tool and the node, and the size of the file."));
            response.status = status;
        });
        server.set_exception_handler([](const Request &, Response &response, std::exception_ptr) {
            answerError(response,
                        makeError(ErrorKind::Internal,
                                  "The node failed while it served the request.",
                                  "Check the log of the node."));
        });
    }

    void addReads()
    {
        server.Get("/v1/config", [this](const Request &, Response &response) {
            answer(response, service.showConfig());
        });
        server.Get("/v1/config/history", [this](const Request &request, Response &response) {
            const Result<int> limit = limitParameter(request);
            limit ? answer(response, service.configHistory(limit.value())) : answerError(response, limit.error());
        });
        server.Get("/v1/workspaces", [this](const Request &, Response &response) {
            answer(response, service.listWorkspaces());
        });
        server.Get("/v1/keys", [this](const Request &, Response &response) {
            answer(response, service.listKeys());
        });
        server.Get("/v1/fleet", [this](const Request &, Response &response) {
            answer(response, service.viewFleet());
        });
        server.Get("/v1/refusals", [this](const Request &request, Response &response) {
            const Result<RefusalQuery> query = refusalQueryOf(request);
            query ? answer(response, service.listRefusals(query.value())) : answerError(response, query.error());
        });
        server.Get("/v1/burn", [this](const Request &request, Response &response) {
            const Result<BurnQuery> query = burnQueryOf(request);
            query ? answer(response, service.burnFigures(query.value())) : answerError(response, query.error());
        });
        server.Get("/v1/status", [this](const Request &, Response &response) {
            answer(response, service.nodeStatus());
        });
    }

    void addChanges()
    {
        addChange<ConfigChange>("/v1/config", [this](const ConfigChange &change) -> Result<ConfigApplied> {
            if (const Result<void> valid = checkConfig(change.text); !valid) {
                return valid.error();
            }
            return service.applyConfig(change);
        });
        addChange<KeyGrantRequest>("/v1/keys", [this](const KeyGrantRequest &request) {
            return service.grantKey(request);
        });
        addChange<KeyWithdrawRequest>("/v1/keys/withdraw", [this](const KeyWithdrawRequest &request) {
            return service.withdrawKey(request);
        });
        addChange<DrainRequest>("/v1/drain", [this](const DrainRequest &request) {
            return service.drain(request);
        });
        addChange<DrainRequest>("/v1/undrain", [this](const DrainRequest &request) {
            return service.undrain(request);
        });
    }

    template<class Change, class Carry>
    void addChange(const char *path, Carry carry)
    {
        server.Post(path, [carry, path](const Request &request, Response &response) {
            const Result<Change> change = parseAdminValue<Change>(request.body);
            if (!change) {
                return answerError(response, change.error());
            }
            std::string note;
            if constexpr (requires { change.value().note; }) {
                note = change.value().note;
            }
            if (const Result<void> valid = checkAuthor(change.value().author, note); !valid) {
                return answerError(response, valid.error());
            }
            answer(response, carry(change.value()));
            AdminLog.info("An operator asked for a change.",
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
    : m_parts(std::make_unique<Parts>(service, std::move(credential), limits))
{
}

AdminServer::~AdminServer()
{
    stop();
}

Result<std::uint16_t> AdminServer::start(const Endpoint &endpoint)
{
    httplib::Server &server = m_parts->server;
    int port = endpoint.port;
    if (port == 0) {
        port = server.bind_to_any_port(endpoint.address);
    } else if (!server.bind_to_port(endpoint.address, port)) {
        port = -1;
    }
    if (port <= 0) {
        return makeError(ErrorKind::Unavailable,
                         "The admin port " + endpoint.text() + " cannot be opened.",
                         "Choose a free port of an address of this VM.");
    }
    m_parts->thread = std::thread([&server] {
        server.listen_after_bind();
    });
    return static_cast<std::uint16_t>(port);
}

void AdminServer::stop()
{
    if (m_parts->thread.joinable()) {
        // stop() has no effect before the server runs.
        while (!m_parts->server.is_running()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        m_parts->server.stop();
        m_parts->thread.join();
    }
}

} // namespace vanillatack
