#include "store/internal/httpconnection.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusAbsent = 204;
constexpr int StatusConflict = 409;
constexpr int StatusFirstServerError = 500;

std::unique_ptr<httplib::Client> makeClient(const HttpPlatformSettings &settings)
{
    auto client = std::make_unique<httplib::Client>(settings.address, settings.port);
    client->set_connection_timeout(settings.connectTimeout);
    client->set_read_timeout(settings.answerTimeout);
    client->set_write_timeout(settings.answerTimeout);
    client->set_keep_alive(true);
    // Header and body are written separately; without this the body waits for a delayed acknowledgement.
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    return client;
}

/// One client per thread of the pool.
std::vector<std::unique_ptr<httplib::Client>> makeClients(const HttpPlatformSettings &settings)
{
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (int thread = 0; thread < settings.threads; ++thread) {
        clients.push_back(makeClient(settings));
    }
    return clients;
}

Error notSent(const std::string &why)
{
    return makeError(ErrorKind::Unavailable,
                     "The platform was not reached: " + why + ".",
                     "Check the platform's address in the settings and that it is up.");
}

/// The service may have handled the call.
Error unanswered(const HttpCall &call, const std::string &why)
{
    if (call.isWrite) {
        return makeError(ErrorKind::OutcomeUnknown,
                         "The platform did not confirm a write: " + why + ".",
                         "Read the row back before writing again.");
    }
    return makeError(ErrorKind::Timeout, "The platform did not answer a read: " + why + ".", "Try again later.");
}

Result<HttpAnswer> toAnswer(const HttpCall &call, httplib::Response &response)
{
    switch (response.status) {
    case StatusOk:
    case StatusCreated:
    case StatusAbsent:
    case StatusConflict:
        return HttpAnswer{.status = response.status, .body = std::move(response.body)};
    default:
        break;
    }
    const std::string status = "status " + std::to_string(response.status);
    if (response.status >= 400 && response.status < StatusFirstServerError) {
        return makeError(ErrorKind::InvalidArgument,
                         "The platform refused the call with " + status + ".",
                         "Check that both sides use protocol version 1 and the size of the content.");
    }
    return unanswered(call, status);
}

} // namespace

HttpConnection::HttpConnection(HttpPlatformSettings settings, const IClock &clock, IExecutor &executor)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_executor(executor)
    , m_clients(makeClients(m_settings))
    , m_pool(m_settings.threads, m_settings.queueLimit)
{
}

void HttpConnection::start(HttpCall call, Completion done)
{
    auto task = [this, call = std::move(call), done, queuedAt = m_clock.now()](int worker) {
        m_executor.post([done, result = perform(call, worker, queuedAt)] {
            done(result);
        });
    };
    if (!m_pool.submit(std::move(task))) {
        fail(std::move(done), notSent("the queue of the client is full"));
    }
}

void HttpConnection::fail(Completion done, Error error)
{
    m_executor.post([done = std::move(done), error = std::move(error)] {
        done(error);
    });
}

Result<HttpAnswer> HttpConnection::perform(const HttpCall &call, int worker, TimePoint queuedAt)
{
    if (worker < 0) {
        return notSent("the client is shutting down");
    }
    if (m_clock.now() - queuedAt > m_settings.queueTimeout) {
        return notSent("the call waited too long for a free connection");
    }
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    if (!call.body.empty()) {
        request.set_header("Content-Type", call.contentType);
    }
    httplib::Result result = m_clients[static_cast<std::size_t>(worker)]->send(request);
    if (result) {
        return toAnswer(call, result.value());
    }
    switch (result.error()) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return notSent(httplib::to_string(result.error()));
    default:
        return unanswered(call, httplib::to_string(result.error()));
    }
}

} // namespace vanillatack
