#include "net/httpserver.h"

#include "base/log.h"
#include "net/internal/requestframing.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace vanillatack {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr Log ServerLog("http");

/// Bytes read at once from a caller.
constexpr std::size_t ReadBytes = 16384;
/// Unparsed bytes of pipelined requests after which a connection is not read until an answer is sent.
constexpr std::size_t PipelineBytes = 65536;
/// Requests of one connection that are handled at the same time.
constexpr std::size_t PipelineRequests = 32;
/// How often time-outs of connections are looked at.
constexpr Duration SweepInterval = std::chrono::milliseconds(500);
/// Longest time to send one answer to a caller that reads slowly.
constexpr Duration SendTimeout = std::chrono::seconds(30);
/// Closing at once would reset a connection with unread bytes, and the caller could lose the answer.
constexpr Duration LingerTimeout = std::chrono::seconds(2);
/// Percentage of the connections to which idle ones are closed at once, so that it is not done for each new one.
constexpr std::size_t RoomShare = 95;
/// Pause of accepting when the process has no file descriptor left.
constexpr Duration AcceptPause = std::chrono::milliseconds(50);

/// What a connection is waiting for.
enum class Phase {
    Idle, ///< The next request.
    Reading, ///< The rest of a request.
    Handling, ///< The listener's answer.
    Sending, ///< The caller, which takes an answer.
    Closing, ///< The caller's end; the last answer is sent, and what still comes is dropped.
};

class HttpServer final : public IHttpServer
{
public:
    HttpServer(EventLoop &loop, IHttpListener &listener)
        : m_loop(loop)
        , m_listener(listener)
        , m_acceptor(loop.context())
    {
    }

    Result<void> listen(const Endpoint &endpoint) override
    {
        error_code error;
        m_acceptor.open(Tcp::v4(), error);
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(toTcp(endpoint), error);
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return makeError(ErrorKind::Unavailable,
                             "The address " + endpoint.text() + " cannot be opened: " + error.message() + ".",
                             "Choose a free port of an address of this VM.");
        }
        accept();
        sweep();
        return success();
    }

    void respond(ExchangeId exchange, HttpResponse response) override;

    void setLimits(const HttpServerLimits &limits) override
    {
        m_limits = limits;
    }

    void startDraining() override
    {
        m_draining = true;
    }

    [[nodiscard]] std::size_t connections() const override
    {
        return m_connections.size();
    }

    [[nodiscard]] std::size_t bytesHeld() const override
    {
        return m_bytesHeld;
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        error_code error;
        return m_acceptor.local_endpoint(error).port();
    }

private:
    /// A request that was taken, until its answer is sent.
    struct Exchange {
        ExchangeId id;
        bool head = false; ///< The answer has no body.
        std::size_t bytes = 0; ///< Of the request.
        std::optional<HttpResponse> response; ///< Waits until the requests before it are answered.
    };

    struct Connection {
        explicit Connection(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        std::uint64_t id = 0;
        Tcp::socket socket;
        boost::beast::flat_buffer input;
        std::optional<http::request_parser<http::string_body>> parser;
        std::string output;
        std::string peerAddress;
        std::deque<Exchange> exchanges; ///< In the order of the requests.
        TimePoint since; ///< Start of the phase.
        bool readPending = false;
        bool used = false; ///< A request has been answered on it.
        bool ending = false; ///< No further request is taken; the last answer asks for closing.
        bool sending = false;
        bool closing = false;
        std::size_t held = 0; ///< Bytes counted for this connection in m_bytesHeld.
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void makeRoom();
    void sweep();
    void read(const ConnectionPointer &connection);
    void onBytes(const ConnectionPointer &connection, std::size_t bytes);
    void parse(const ConnectionPointer &connection);
    static bool hasLeft(Connection &connection);
    bool takeRequest(const ConnectionPointer &connection);
    void refuse(const ConnectionPointer &connection, int status);
    void sendNext(const ConnectionPointer &connection);
    static std::string format(const Exchange &exchange, bool lastAnswer);
    void linger(const ConnectionPointer &connection);
    void close(const ConnectionPointer &connection);
    static Phase phase(const Connection &connection);
    static bool takesRequests(const Connection &connection);
    void countBytes(Connection &connection);

    EventLoop &m_loop;
    IHttpListener &m_listener;
    Tcp::acceptor m_acceptor;
    SystemClock m_clock; // Asio's timers use the same clock.
    HttpServerLimits m_limits;
    bool m_draining = false;
    std::size_t m_bytesHeld = 0;
    std::uint64_t m_lastId = 0;
    std::array<char, ReadBytes> m_chunk{};
    absl::flat_hash_map<std::uint64_t, ConnectionPointer> m_connections;
    absl::flat_hash_map<ExchangeId, std::uint64_t> m_exchanges;
};

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const error_code &error, Tcp::socket socket) {
        if (error) {
            ServerLog.warning("A connection could not be accepted.", {{"error", error.message()}});
            m_loop.callAfter(AcceptPause, [this] {
                accept();
            });
            return;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        error_code ignored; // The connection may be gone already; reading reports it.
        connection->socket.set_option(Tcp::no_delay(true), ignored);
        connection->socket.non_blocking(true, ignored);
        connection->peerAddress = connection->socket.remote_endpoint(ignored).address().to_string(ignored);
        connection->id = ++m_lastId;
        connection->since = m_clock.now();
        m_connections.emplace(connection->id, connection);
        read(connection);
        makeRoom();
        accept();
    });
}

/// Idle connections of callers could use up the process's descriptors, and nothing more could be accepted.
void HttpServer::makeRoom()
{
    if (m_connections.size() <= m_limits.connections) {
        return;
    }
    std::vector<ConnectionPointer> idle;
    for (const auto &[id, connection] : m_connections) {
        // A connection that was just accepted is about to send its first request.
        if ((phase(*connection) == Phase::Idle && connection->used) || connection->closing) {
            idle.push_back(connection);
        }
    }
    const std::size_t excess = m_connections.size() - m_limits.connections * RoomShare / 100;
    const std::size_t count = std::min(std::max<std::size_t>(excess, 1), idle.size());
    std::partial_sort(idle.begin(),
                      idle.begin() + static_cast<std::ptrdiff_t>(count),
                      idle.end(),
                      [](const ConnectionPointer &a, const ConnectionPointer &b) {
                          return a->since < b->since;
                      });
    for (std::size_t index = 0; index < count; ++index) {
        close(idle[index]);
    }
}

void HttpServer::sweep()
{
    const TimePoint now = m_clock.now();
    std::vector<ConnectionPointer> expired;
    for (const auto &[id, connection] : m_connections) {
        const Duration age = now - connection->since;
        const Phase current = phase(*connection);
        const bool late = (current == Phase::Idle && age > m_limits.idleTimeout)
            || (current == Phase::Reading && age > m_limits.headTimeout + m_limits.idleTimeout)
            || (current == Phase::Sending && age > SendTimeout) || (current == Phase::Closing && age > LingerTimeout);
        if (late) {
            expired.push_back(connection);
        }
    }
    for (const ConnectionPointer &connection : expired) {
        close(connection);
    }
    m_loop.callAfter(SweepInterval, [this] {
        sweep();
    });
}

void HttpServer::read(const ConnectionPointer &connection)
{
    if (connection->readPending || !connection->socket.is_open()) {
        return;
    }
    connection->readPending = true;
    // Waits without a buffer: most connections are idle, and the input buffer moves while requests are parsed from it.
    connection->socket.async_wait(Tcp::socket::wait_read, [this, connection](const error_code &waited) {
        connection->readPending = false;
        if (!connection->socket.is_open()) {
            return;
        }
        error_code error = waited;
        const std::size_t bytes = error ? 0 : connection->socket.read_some(asio::buffer(m_chunk), error);
        if (error == asio::error::would_block) {
            read(connection);
            return;
        }
        if (error) {
            close(connection);
            return;
        }
        onBytes(connection, bytes);
    });
}

void HttpServer::onBytes(const ConnectionPointer &connection, std::size_t bytes)
{
    if (!connection->closing && !connection->ending) {
        const auto room = connection->input.prepare(bytes);
        connection->input.commit(asio::buffer_copy(room, asio::buffer(m_chunk.data(), bytes)));
    }
    parse(connection);
    if (connection->input.size() < PipelineBytes || takesRequests(*connection)) {
        read(connection);
    }
}

bool HttpServer::takesRequests(const Connection &connection)
{
    return !connection.ending && !connection.closing && connection.exchanges.size() < PipelineRequests;
}

void HttpServer::parse(const ConnectionPointer &connection)
{
    while (connection->input.size() > 0 && takesRequests(*connection)) {
        if (!connection->parser) {
            connection->parser.emplace();
            connection->parser->eager(true);
            connection->parser->header_limit(static_cast<std::uint32_t>(m_limits.headBytes));
            connection->parser->body_limit(m_limits.bodyBytes);
            connection->since = connection->exchanges.empty() ? m_clock.now() : connection->since;
        }
        error_code error;
        const std::size_t used = connection->parser->put(connection->input.data(), error);
        connection->input.consume(used);
        if (connection->parser->is_header_done() && hasAmbiguousFraming(connection->parser->get())) {
            refuse(connection, 400);
            return;
        }
        countBytes(*connection);
        if (m_bytesHeld > m_limits.memoryBytes) {
            ServerLog.warning("The memory for requests is used up; a request is refused.",
                              {{"bytes", std::to_string(m_bytesHeld)}});
            refuse(connection, 503);
            return;
        }
        if (error == http::error::need_more) {
            return;
        }
        if (error) {
            const bool tooLarge = error == http::error::body_limit;
            const bool headTooLarge = error == http::error::header_limit;
            refuse(connection, tooLarge ? 413 : headTooLarge ? 431 : 400);
            return;
        }
        if (connection->parser->is_done() && !takeRequest(connection)) {
            return;
        }
    }
}

/// Whether the caller has closed its side already. Its request may have waited long to be read.
bool HttpServer::hasLeft(Connection &connection)
{
    char byte = 0;
    return recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// Hands a whole request to the listener. Returns false when the connection is not to be read on.
bool HttpServer::takeRequest(const ConnectionPointer &connection)
{
    if (hasLeft(*connection)) {
        close(connection);
        return false;
    }
    auto message = connection->parser->release();
    connection->parser.reset();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    connection->ending |= !message.keep_alive();
    Exchange exchange;
    exchange.id = ExchangeId{++m_lastId};
    exchange.head = message.method() == http::verb::head;
    exchange.bytes = request.body.size() + request.target.size();
    const ExchangeId id = exchange.id;
    connection->exchanges.push_back(std::move(exchange));
    countBytes(*connection);
    m_exchanges.emplace(id, connection->id);
    m_listener.onRequest(id, std::move(request), connection->peerAddress);
    return connection->socket.is_open();
}

/// Answers bytes that are no request to take, after the requests before them. The rest of what comes is not read.
void HttpServer::refuse(const ConnectionPointer &connection, int status)
{
    connection->parser.reset();
    connection->ending = true;
    Exchange exchange;
    exchange.response.emplace().status = status;
    connection->exchanges.push_back(std::move(exchange));
    sendNext(connection);
}

void HttpServer::respond(ExchangeId exchange, HttpResponse response)
{
    const auto entry = m_exchanges.find(exchange);
    if (entry == m_exchanges.end()) {
        return;
    }
    const ConnectionPointer connection = m_connections.at(entry->second);
    m_exchanges.erase(entry);
    const auto item =
        std::find_if(connection->exchanges.begin(), connection->exchanges.end(), [exchange](const Exchange &candidate) {
            return candidate.id == exchange;
        });
    item->response = std::move(response);
    sendNext(connection);
}

/// Sends the next answer when it is there. An answer asks for closing only when it is the last one, since requests
/// behind it may run already.
void HttpServer::sendNext(const ConnectionPointer &connection)
{
    if (connection->sending || connection->exchanges.empty() || !connection->exchanges.front().response) {
        countBytes(*connection);
        return;
    }
    const Exchange exchange = std::move(connection->exchanges.front());
    connection->exchanges.pop_front();
    connection->ending |= exchange.response->closeConnection || m_draining;
    const bool last = connection->ending && connection->exchanges.empty();
    connection->output = format(exchange, last);
    connection->sending = true;
    connection->since = m_clock.now();
    countBytes(*connection);
    asio::async_write(connection->socket,
                      asio::buffer(connection->output),
                      [this, connection, last](const error_code &error, std::size_t /*bytes*/) {
                          if (!connection->socket.is_open()) {
                              return;
                          }
                          connection->sending = false;
                          connection->output.clear();
                          countBytes(*connection);
                          if (error) {
                              close(connection);
                              return;
                          }
                          if (last) {
                              linger(connection);
                              return;
                          }
                          connection->used = true;
                          connection->since = m_clock.now();
                          sendNext(connection);
                          parse(connection);
                          read(connection);
                      });
}

std::string HttpServer::format(const Exchange &exchange, bool lastAnswer)
{
    const HttpResponse &response = *exchange.response;
    std::string out =
        absl::StrCat("HTTP/1.1 ", response.status, " ", std::string(reasonPhrase(response.status)), "\r\n");
    for (const auto &[name, value] : response.headers) {
        absl::StrAppend(&out, name, ": ", value, "\r\n");
    }
    if (response.status != 204 && response.status != 304) {
        absl::StrAppend(&out, "Content-Length: ", response.body.size(), "\r\n");
    }
    out += lastAnswer ? "Connection: close\r\n\r\n" : "\r\n";
    if (!exchange.head) {
        out += response.body;
    }
    return out;
}

void HttpServer::linger(const ConnectionPointer &connection)
{
    error_code ignored; // The peer may have closed first.
    connection->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    connection->closing = true;
    connection->since = m_clock.now();
    connection->input.clear();
    read(connection);
}

void HttpServer::close(const ConnectionPointer &connection)
{
    if (m_connections.erase(connection->id) == 0) {
        return;
    }
    m_bytesHeld -= connection->held;
    connection->held = 0;
    error_code ignored; // The peer may have closed first.
    connection->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    connection->socket.close(ignored);
    for (const Exchange &exchange : connection->exchanges) {
        if (m_exchanges.erase(exchange.id) == 1) {
            m_listener.onExchangeAbandoned(exchange.id);
        }
    }
}

Phase HttpServer::phase(const Connection &connection)
{
    if (connection.closing) {
        return Phase::Closing;
    }
    if (connection.sending) {
        return Phase::Sending;
    }
    if (!connection.exchanges.empty()) {
        return Phase::Handling;
    }
    return connection.parser ? Phase::Reading : Phase::Idle;
}

void HttpServer::countBytes(Connection &connection)
{
    std::size_t bytes = connection.output.size() + (connection.parser ? connection.parser->get().body().size() : 0);
    for (const Exchange &exchange : connection.exchanges) {
        bytes += exchange.bytes + (exchange.response ? exchange.response->body.size() : 0);
    }
    m_bytesHeld += bytes - connection.held;
    connection.held = bytes;
}

} // namespace

std::unique_ptr<IHttpServer> makeHttpServer(EventLoop &loop, IHttpListener &listener)
{
    return std::make_unique<HttpServer>(loop, listener);
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = http::obsolete_reason(static_cast<http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace vanillatack
