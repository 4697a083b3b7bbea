#include "net/httpserver.h"

#include "base/log.h"
#include "net/internal/chargedbody.h"
#include "net/internal/receivebuffer.h"
#include "net/internal/requestframing.h"
#include "net/internal/socketbuffers.h"

#include <absl/cleanup/cleanup.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
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

/// Unparsed bytes of pipelined requests above which a connection is not read until a response is sent.
constexpr std::size_t MaxPipelinedBytes = 65536;
/// Requests of one connection that are processed concurrently.
constexpr std::size_t MaxPipelinedRequests = 32;
/// Unconfirmed bytes of responses above which the kernel is asked how many it still holds.
constexpr std::size_t UncheckedSentBytes = 16384;
/// Memory of a connection without its buffers, and of a request without its head and body.
constexpr std::size_t ConnectionBytes = 4096;
constexpr std::size_t RequestBytes = 4096;
/// How often a request's head is in memory: as received, as stored for retries, and as sent to a node.
constexpr std::size_t HeadCopies = 3;
/// Capacity above which the input buffer of a connection is released when it is not filled.
constexpr std::size_t MaxIdleInputBytes = 4096;
/// Time without progress after which a caller is cut off when there is no room for others.
constexpr Duration StallTimeout = std::chrono::seconds(1);
/// How long callers are cut off after there was no room, so that those that stalled just before are found too.
constexpr Duration ShortagePeriod = std::chrono::seconds(3);
/// Interval at which connections are checked for timeouts.
constexpr Duration SweepInterval = std::chrono::milliseconds(500);
/// Time limit for sending one response to a caller that reads slowly.
constexpr Duration SendTimeout = std::chrono::seconds(30);
/// Time that a connection stays open after the last response. Closing a connection with unread bytes at once would
/// reset it, and the caller could lose the response.
constexpr Duration LingerTimeout = std::chrono::seconds(2);
/// Percentage of the connection limit down to which idle connections are closed, so that the search for them is not
/// repeated for each new connection.
constexpr std::size_t IdleCloseTargetPercent = 95;
/// Delay after a failed accept, for instance because the process has no free file descriptor.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

/// State of a connection, by the event it waits for.
enum class Phase {
    Idle, ///< The first byte of the next request.
    Reading, ///< The rest of a request.
    Processing, ///< The response of the listener.
    Sending, ///< The end of writing a response.
    Lingering, ///< The caller closing its side after the last response; received bytes are discarded.
};

class HttpServer final : public IHttpServer
{
public:
    HttpServer(EventLoop &loop, IHttpListener &listener, std::shared_ptr<MemoryBudget> memory)
        : m_loop(loop)
        , m_listener(listener)
        , m_memory(memory ? std::move(memory) : makeDefaultMemoryBudget())
        , m_acceptor(loop.context())
    {
    }

    Result<void> listen(const Endpoint &endpoint) override
    {
        error_code error;
        m_acceptor.open(Tcp::v4(), error);
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        limitSocketBuffers(m_acceptor, *m_memory);
        m_acceptor.bind(toTcpEndpoint(endpoint), error);
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return makeError(ErrorKind::Unavailable,
                             "Cannot listen on " + endpoint.text() + ": " + error.message() + ".",
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

    [[nodiscard]] bool hasUnsentResponses() const override
    {
        return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
            return entry.second->sending || !entry.second->exchanges.empty();
        });
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        error_code error;
        return m_acceptor.local_endpoint(error).port();
    }

private:
    /// A received request whose response is not being sent yet.
    struct Exchange {
        ExchangeId id;
        bool head = false; ///< HEAD request; the response has no body.
        MemoryCharge charge; ///< Of the request without its body, until the response is being sent.
        std::optional<HttpResponse> response; ///< Sent once the earlier requests are answered.
    };

    struct Connection {
        explicit Connection(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        std::uint64_t id = 0;
        Tcp::socket socket;
        boost::beast::flat_buffer input;
        std::optional<http::request_parser<ChargedBody>> parser;
        HeadMemory head; ///< Of the request that is being parsed.
        std::string output; ///< Head of the response that is being sent.
        Body outputBody;
        std::size_t written = 0; ///< Bytes of output and outputBody that the kernel has taken.
        std::size_t unconfirmedBytes = 0; ///< Bytes of responses that the kernel may still hold.
        std::string peerAddress;
        std::deque<Exchange> exchanges; ///< In the order in which the requests were received.
        TimePoint phaseStart; ///< Start of the current phase.
        TimePoint lastProgress; ///< When the caller last sent bytes or took bytes of a response.
        bool readPending = false;
        bool answeredBefore = false; ///< At least one response was sent.
        bool closeRequested = false; ///< No further requests are accepted; the last response has "Connection: close".
        bool parsing = false; ///< parse() is running; it continues with the next request by itself.
        bool parsePosted = false; ///< parse() is called by the loop soon.
        bool sending = false; ///< A response is being written and the socket accepts no more bytes.
        bool lingering = false;
        bool readPaused = false; ///< Received bytes wait in the kernel's buffer.
        MemoryCharge charge; ///< Of the connection, its buffers and those of the kernel.
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void closeExcessConnections();
    void sweep();
    void read(const ConnectionPointer &connection);
    void onBytes(const ConnectionPointer &connection, std::size_t bytes);
    void parse(const ConnectionPointer &connection);
    void parseRequests(const ConnectionPointer &connection);
    void closeStalledConnections();
    void refuseForMemory(const ConnectionPointer &connection);
    static std::size_t memoryOfRequest(const http::request_header<> &header);
    [[nodiscard]] std::size_t memoryOfConnection(const Connection &connection) const;
    static void shrinkInput(Connection &connection);
    static void checkUnconfirmedBytes(Connection &connection);
    static bool isClosedByCaller(Connection &connection);
    bool dispatchRequest(const ConnectionPointer &connection);
    void refuse(const ConnectionPointer &connection, int status);
    void sendNext(const ConnectionPointer &connection);
    void sendFront(const ConnectionPointer &connection);
    bool writeSome(const ConnectionPointer &connection, error_code &error);
    void awaitWritable(const ConnectionPointer &connection, bool last);
    void onSent(const ConnectionPointer &connection, bool last);
    static std::string formatHead(const HttpResponse &response, bool lastResponse);
    void linger(const ConnectionPointer &connection);
    void close(const ConnectionPointer &connection);
    static Phase phase(const Connection &connection);
    static bool acceptsRequests(const Connection &connection);
    static bool isReusable(const Connection &connection);
    void abort(const ConnectionPointer &connection);

    EventLoop &m_loop;
    IHttpListener &m_listener;
    std::shared_ptr<MemoryBudget> m_memory;
    Tcp::acceptor m_acceptor;
    SystemClock m_clock; // The same clock as Asio's timers.
    HttpServerLimits m_limits;
    bool m_draining = false;
    std::uint64_t m_seenShortages = 0;
    std::optional<TimePoint> m_lastShortageAt;
    std::uint64_t m_lastId = 0;
    absl::flat_hash_map<std::uint64_t, ConnectionPointer> m_connections;
    absl::flat_hash_map<ExchangeId, std::uint64_t> m_exchanges;
};

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const error_code &error, Tcp::socket socket) {
        if (error) {
            ServerLog.warning(
                "Cannot accept a connection on port " + std::to_string(port()) + "; retrying in "
                    + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(AcceptRetryDelay).count())
                    + " ms. If it persists, check the limit of file descriptors.",
                {{"error", error.message()}});
            m_loop.callAfter(AcceptRetryDelay, [this] {
                accept();
            });
            return;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        error_code ignored; // The read reports a connection that is already closed.
        connection->socket.set_option(Tcp::no_delay(true), ignored);
        connection->socket.non_blocking(true, ignored);
        connection->peerAddress = connection->socket.remote_endpoint(ignored).address().to_string(ignored);
        connection->id = ++m_lastId;
        connection->phaseStart = m_clock.now();
        connection->lastProgress = connection->phaseStart;
        connection->charge = MemoryCharge(m_memory, MemoryOwner::Caller);
        connection->charge.resize(memoryOfConnection(*connection));
        m_connections.emplace(connection->id, connection);
        read(connection);
        closeExcessConnections();
        accept();
    });
}

/// Closes connections when there are more than the limit: the longest idle ones, and then those that have waited
/// longest for a complete request. Otherwise they could use up the process's file descriptors, and no further
/// connection could be accepted.
void HttpServer::closeExcessConnections()
{
    if (m_connections.size() <= m_limits.connections) {
        return;
    }
    const TimePoint now = m_clock.now();
    std::vector<ConnectionPointer> closable;
    std::size_t dispensable = 0;
    for (const auto &[id, connection] : m_connections) {
        const Phase current = phase(*connection);
        if (current == Phase::Idle || current == Phase::Reading || current == Phase::Lingering) {
            dispensable += isReusable(*connection) || now - connection->phaseStart > StallTimeout ? 1 : 0;
            closable.push_back(connection);
        }
    }
    // More are closed than necessary, but not those whose first request may be about to arrive.
    const std::size_t excess = m_connections.size() - m_limits.connections * IdleCloseTargetPercent / 100;
    const std::size_t required = m_connections.size() - m_limits.connections;
    const std::size_t count = std::min(std::max(std::min(excess, dispensable), required), closable.size());
    std::partial_sort(closable.begin(),
                      closable.begin() + static_cast<std::ptrdiff_t>(count),
                      closable.end(),
                      [](const ConnectionPointer &a, const ConnectionPointer &b) {
                          return std::pair(!isReusable(*a), a->phaseStart) < std::pair(!isReusable(*b), b->phaseStart);
                      });
    for (std::size_t index = 0; index < count; ++index) {
        close(closable[index]);
    }
}

/// If there was no room for something lately, cuts off the callers that have not got on for longest with sending a
/// request or reading responses, until half of the memory budget is free.
void HttpServer::closeStalledConnections()
{
    const TimePoint now = m_clock.now();
    if (std::exchange(m_seenShortages, m_memory->shortages()) != m_memory->shortages()) {
        m_lastShortageAt = now;
    }
    const std::size_t target = m_memory->limit() / 2;
    if (!m_lastShortageAt || now - *m_lastShortageAt > ShortagePeriod || m_memory->used() <= target) {
        return;
    }
    std::vector<ConnectionPointer> stalled;
    for (const auto &[id, connection] : m_connections) {
        if (connection->unconfirmedBytes > 0) {
            const std::size_t before = connection->unconfirmedBytes;
            checkUnconfirmedBytes(*connection);
            connection->charge.resize(memoryOfConnection(*connection));
            if (connection->unconfirmedBytes < before) {
                connection->lastProgress = now;
            }
        }
        const Phase current = phase(*connection);
        const bool waits = current == Phase::Reading || current == Phase::Sending || connection->readPaused
            || connection->unconfirmedBytes > 0;
        if (waits && now - connection->lastProgress >= StallTimeout) {
            stalled.push_back(connection);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [](const ConnectionPointer &a, const ConnectionPointer &b) {
        return a->lastProgress < b->lastProgress;
    });
    std::size_t count = 0;
    while (count < stalled.size() && m_memory->used() > target) {
        abort(stalled[count]);
        ++count;
    }
    if (count > 0) {
        ServerLog.warning("There was no room for messages; connections of callers that do not get on are closed. Check "
                          "which callers stop in the middle of a request or do not read.",
                          {{"closed", std::to_string(count)},
                           {"bytes", std::to_string(m_memory->used())},
                           {"limit", std::to_string(m_memory->limit())}});
    }
}

void HttpServer::sweep()
{
    const TimePoint now = m_clock.now();
    std::vector<ConnectionPointer> expired;
    for (const auto &[id, connection] : m_connections) {
        const Duration age = now - connection->phaseStart;
        const Phase current = phase(*connection);
        const bool timedOut = (current == Phase::Idle && age > m_limits.idleTimeout)
            || (current == Phase::Reading && age > m_limits.headTimeout + m_limits.idleTimeout)
            || (current == Phase::Sending && age > SendTimeout) || (current == Phase::Lingering && age > LingerTimeout);
        if (timedOut) {
            expired.push_back(connection);
        }
    }
    m_loop.callAfter(SweepInterval, [this] {
        sweep();
    });
    for (const ConnectionPointer &connection : expired) {
        close(connection);
    }
    closeStalledConnections();
}

void HttpServer::read(const ConnectionPointer &connection)
{
    if (connection->readPending || !connection->socket.is_open()) {
        return;
    }
    connection->readPending = true;
    // Waits without a buffer: most connections are idle, and parsing moves the input buffer.
    connection->socket.async_wait(Tcp::socket::wait_read, [this, connection](const error_code &waited) {
        connection->readPending = false;
        if (!connection->socket.is_open()) {
            return;
        }
        error_code error = waited;
        const std::size_t bytes = error ? 0 : connection->socket.read_some(asio::buffer(receiveBuffer()), error);
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
    connection->lastProgress = m_clock.now();
    if (!connection->lingering && !connection->closeRequested) {
        if (connection->exchanges.empty() && !connection->sending) {
            connection->unconfirmedBytes = 0; // The caller sends its next request after the last response.
        }
        const auto room = connection->input.prepare(bytes);
        connection->input.commit(asio::buffer_copy(room, asio::buffer(receiveBuffer().data(), bytes)));
    }
    parse(connection);
    if (!connection->socket.is_open()) {
        return;
    }
    shrinkInput(*connection);
    connection->readPaused = connection->input.size() >= MaxPipelinedBytes && !acceptsRequests(*connection);
    const bool fits = connection->charge.tryResize(memoryOfConnection(*connection));
    if (!fits && connection->readPaused) {
        ServerLog.warning("No memory for the pipelined requests of a caller; its connection is closed.",
                          {{"caller", connection->peerAddress}, {"bytes", std::to_string(m_memory->used())}});
        abort(connection);
        return;
    }
    const bool requestStarted = connection->parser || connection->input.size() > 0;
    if (!fits && requestStarted && !connection->closeRequested) {
        refuseForMemory(connection);
    }
    connection->charge.resize(memoryOfConnection(*connection));
    if (!connection->readPaused) {
        read(connection);
    }
}

void HttpServer::shrinkInput(Connection &connection)
{
    if (connection.input.capacity() > 2 * connection.input.size() + MaxIdleInputBytes) {
        connection.input.shrink_to_fit();
    }
}

std::size_t HttpServer::memoryOfConnection(const Connection &connection) const
{
    const std::size_t unreadBytes = connection.readPaused ? static_cast<std::size_t>(socketBufferBytes(*m_memory)) : 0;
    return ConnectionBytes + connection.input.capacity() + (connection.parser ? connection.head.bytes() : 0)
        + connection.output.size() + connection.unconfirmedBytes + unreadBytes;
}

std::size_t HttpServer::memoryOfRequest(const http::request_header<> &header)
{
    return RequestBytes + HeadCopies * (header.target().size() + HeadMemory::memoryOfFields(header));
}

/// Updates the number of bytes of responses that the kernel holds. Without an answer of the kernel it stays.
void HttpServer::checkUnconfirmedBytes(Connection &connection)
{
    int unsent = 0;
    if (connection.socket.is_open() && ioctl(connection.socket.native_handle(), SIOCOUTQ, &unsent) == 0
        && unsent >= 0) {
        connection.unconfirmedBytes = std::min(connection.unconfirmedBytes, static_cast<std::size_t>(unsent));
    }
}

/// Whether the connection is idle after a response, or closing.
bool HttpServer::isReusable(const Connection &connection)
{
    const Phase current = phase(connection);
    return current == Phase::Lingering || (current == Phase::Idle && connection.answeredBefore);
}

bool HttpServer::acceptsRequests(const Connection &connection)
{
    return !connection.closeRequested && !connection.lingering && connection.exchanges.size() < MaxPipelinedRequests;
}

void HttpServer::parse(const ConnectionPointer &connection)
{
    if (connection->parsing) {
        return;
    }
    connection->parsing = true;
    const absl::Cleanup ended = [&connection] {
        connection->parsing = false;
    };
    parseRequests(connection);
}

void HttpServer::parseRequests(const ConnectionPointer &connection)
{
    while (connection->input.size() > 0 && acceptsRequests(*connection)) {
        if (!connection->parser) {
            connection->parser.emplace();
            connection->head = {};
            connection->parser->eager(true);
            connection->parser->header_limit(static_cast<std::uint32_t>(m_limits.headBytes));
            connection->parser->body_limit(m_limits.bodyBytes);
            connection->parser->get().body().charge = MemoryCharge(m_memory, MemoryOwner::Caller);
            connection->parser->get().body().maxBytes = m_limits.bodyBytes;
            connection->phaseStart = connection->exchanges.empty() ? m_clock.now() : connection->phaseStart;
        }
        error_code error;
        const auto input = connection->input.data();
        const std::size_t used = parseBytes(
            *connection->parser, {static_cast<const char *>(input.data()), input.size()}, connection->head, error);
        connection->input.consume(used);
        if (connection->parser->is_header_done() && hasAmbiguousFraming(connection->parser->get())) {
            refuse(connection, 400);
            return;
        }
        if (error == http::error::buffer_overflow
            || (!error && connection->parser->is_header_done() && !reserveKnownBody(*connection->parser))) {
            refuseForMemory(connection);
            return;
        }
        // The parser keeps the bytes of a line of a chunked body, or of the fields after its last chunk, until it is
        // complete.
        const bool framingTooLong = error == http::error::need_more && connection->input.size() > m_limits.headBytes;
        if (error == http::error::need_more && !framingTooLong) {
            return;
        }
        if (error) {
            const bool tooLarge = error == http::error::body_limit;
            const bool headTooLarge = error == http::error::header_limit;
            refuse(connection, tooLarge ? 413 : headTooLarge || framingTooLong ? 431 : 400);
            return;
        }
        if (connection->parser->is_done() && !dispatchRequest(connection)) {
            return;
        }
    }
}

/// Answers a request with 503 because there is no room for it in the memory budget.
void HttpServer::refuseForMemory(const ConnectionPointer &connection)
{
    ServerLog.warning("Messages in memory leave no room for a request; it is refused with 503.",
                      {{"caller", connection->peerAddress},
                       {"bytes", std::to_string(m_memory->used())},
                       {"limit", std::to_string(m_memory->limit())},
                       {"for_callers", std::to_string(m_memory->usedFor(MemoryOwner::Caller))},
                       {"for_instance", std::to_string(m_memory->usedFor(MemoryOwner::Instance))},
                       {"for_nodes", std::to_string(m_memory->usedFor(MemoryOwner::Node))}});
    refuse(connection, 503);
}

/// Returns whether the caller has already closed its side. Its request may have waited for long before it was read.
bool HttpServer::isClosedByCaller(Connection &connection)
{
    char byte = 0;
    return recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// Gives a complete request to the listener. Returns false if the connection is closed.
bool HttpServer::dispatchRequest(const ConnectionPointer &connection)
{
    if (isClosedByCaller(*connection)) {
        close(connection);
        return false;
    }
    MemoryCharge charge(m_memory, MemoryOwner::Caller);
    if (!charge.tryResize(memoryOfRequest(connection->parser->get()))) {
        refuseForMemory(connection);
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
    request.body = Body(std::move(message.body().bytes), std::move(message.body().charge));
    connection->closeRequested |= !message.keep_alive();
    Exchange exchange;
    exchange.id = ExchangeId{++m_lastId};
    exchange.head = message.method() == http::verb::head;
    exchange.charge = std::move(charge);
    const ExchangeId id = exchange.id;
    connection->exchanges.push_back(std::move(exchange));
    m_exchanges.emplace(id, connection->id);
    m_listener.onRequest(id, std::move(request), connection->peerAddress);
    return connection->socket.is_open();
}

/// Answers an invalid or excessive request with the status, after the earlier requests. Later bytes are not parsed.
void HttpServer::refuse(const ConnectionPointer &connection, int status)
{
    connection->parser.reset();
    connection->input.clear();
    shrinkInput(*connection);
    connection->closeRequested = true;
    Exchange exchange;
    exchange.response.emplace().status = status;
    if (status == 503) {
        exchange.response->headers.emplace_back("Retry-After", "1");
    }
    connection->exchanges.push_back(std::move(exchange));
    sendNext(connection);
}

void HttpServer::respond(ExchangeId exchange, HttpResponse response)
{
    const auto entry = m_exchanges.find(exchange);
    if (entry == m_exchanges.end()) {
        return;
    }
    const auto found = m_connections.find(entry->second);
    m_exchanges.erase(entry);
    if (found == m_connections.end()) {
        return;
    }
    const ConnectionPointer connection = found->second;
    const auto item =
        std::find_if(connection->exchanges.begin(), connection->exchanges.end(), [exchange](const Exchange &candidate) {
            return candidate.id == exchange;
        });
    // The head is in memory already; its body has a charge of its own.
    item->charge.resize(RequestBytes + memoryOf(response.headers));
    item->response = std::move(response);
    sendNext(connection);
}

/// Sends the responses that are available, in the order of their requests.
void HttpServer::sendNext(const ConnectionPointer &connection)
{
    bool sent = false;
    while (!connection->sending && !connection->lingering && !connection->exchanges.empty()
           && connection->exchanges.front().response) {
        sendFront(connection);
        sent = true;
    }
    connection->charge.resize(memoryOfConnection(*connection));
    if (!sent || connection->sending || connection->lingering || !connection->socket.is_open()) {
        return;
    }
    // Reading may have paused because of the number of requests.
    connection->readPaused = false;
    read(connection);
    if (connection->input.size() > 0 && !connection->parsing && !connection->parsePosted) {
        // Parsed later, because respond() must not re-enter the listener.
        connection->parsePosted = true;
        asio::post(m_loop.context(), [this, connection] {
            connection->parsePosted = false;
            if (connection->socket.is_open()) {
                parse(connection);
            }
        });
    }
}

/// Writes without waiting what the socket accepts of the first response, which is nearly always everything, and the
/// rest once it accepts more. Only the last response has "Connection: close", since later requests of the connection
/// may already be running.
void HttpServer::sendFront(const ConnectionPointer &connection)
{
    Exchange exchange = std::move(connection->exchanges.front());
    connection->exchanges.pop_front();
    connection->closeRequested |= exchange.response->closeConnection || m_draining;
    const bool last = connection->closeRequested && connection->exchanges.empty();
    connection->output = formatHead(*exchange.response, last);
    connection->outputBody = exchange.head ? Body() : std::move(exchange.response->body);
    connection->written = 0;
    connection->phaseStart = m_clock.now();
    error_code error;
    if (writeSome(connection, error)) {
        onSent(connection, last);
        return;
    }
    connection->sending = true;
    // Also reports the error of a failed write, since the listener must not be re-entered from here.
    awaitWritable(connection, last);
}

/// Writes what the socket accepts. Returns whether the response is written completely.
bool HttpServer::writeSome(const ConnectionPointer &connection, error_code &error)
{
    const std::string &head = connection->output;
    const std::string &body = connection->outputBody.bytes();
    const std::size_t headWritten = std::min(connection->written, head.size());
    const std::size_t bodyWritten = connection->written - headWritten;
    const std::array<asio::const_buffer, 2> rest{asio::buffer(head) + headWritten, asio::buffer(body) + bodyWritten};
    const std::size_t bytes = connection->socket.write_some(rest, error);
    connection->written += bytes;
    connection->unconfirmedBytes += bytes;
    if (bytes > 0) {
        connection->lastProgress = m_clock.now();
    }
    if (connection->unconfirmedBytes > UncheckedSentBytes) {
        checkUnconfirmedBytes(*connection);
    }
    return connection->written == head.size() + body.size();
}

void HttpServer::awaitWritable(const ConnectionPointer &connection, bool last)
{
    connection->socket.async_wait(Tcp::socket::wait_write, [this, connection, last](const error_code &waited) {
        if (!connection->socket.is_open()) {
            return;
        }
        error_code error = waited;
        const bool complete = !error && writeSome(connection, error);
        if (error && error != asio::error::would_block) {
            close(connection);
            return;
        }
        connection->charge.resize(memoryOfConnection(*connection));
        if (!complete) {
            awaitWritable(connection, last);
            return;
        }
        connection->sending = false;
        onSent(connection, last);
        sendNext(connection);
        if (!connection->lingering) {
            parse(connection);
            read(connection);
        }
    });
}

void HttpServer::onSent(const ConnectionPointer &connection, bool last)
{
    connection->output = {};
    connection->outputBody = {};
    if (last) {
        linger(connection);
        return;
    }
    connection->answeredBefore = true;
    connection->phaseStart = m_clock.now();
}

std::string HttpServer::formatHead(const HttpResponse &response, bool lastResponse)
{
    std::string out =
        absl::StrCat("HTTP/1.1 ", response.status, " ", std::string(reasonPhrase(response.status)), "\r\n");
    for (const auto &[name, value] : response.headers) {
        absl::StrAppend(&out, name, ": ", value, "\r\n");
    }
    if (response.status != 204 && response.status != 304) {
        absl::StrAppend(&out, "Content-Length: ", response.body.size(), "\r\n");
    }
    out += lastResponse ? "Connection: close\r\n\r\n" : "\r\n";
    return out;
}

void HttpServer::linger(const ConnectionPointer &connection)
{
    error_code ignored; // The caller may have closed first.
    connection->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    connection->lingering = true;
    connection->phaseStart = m_clock.now();
    connection->input.clear();
    connection->readPaused = false;
    shrinkInput(*connection);
    read(connection);
}

/// Closes with a reset, so that the kernel drops the bytes that the caller has not taken.
void HttpServer::abort(const ConnectionPointer &connection)
{
    error_code ignored; // The caller may have closed first.
    connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close(connection);
}

void HttpServer::close(const ConnectionPointer &connection)
{
    if (m_connections.erase(connection->id) == 0) {
        return;
    }
    error_code ignored; // The caller may have closed first.
    connection->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    connection->socket.close(ignored);
    // All are removed first: the listener may respond to further requests of this connection when it learns that one is
    // abandoned.
    std::vector<ExchangeId> abandoned;
    for (const Exchange &exchange : connection->exchanges) {
        if (m_exchanges.erase(exchange.id) == 1) {
            abandoned.push_back(exchange.id);
        }
    }
    // The connection itself may live on until its last callback.
    connection->exchanges.clear();
    connection->parser.reset();
    connection->input = {};
    connection->output = {};
    connection->outputBody = {};
    connection->charge.resize(0);
    for (const ExchangeId exchange : abandoned) {
        m_listener.onExchangeAbandoned(exchange);
    }
}

Phase HttpServer::phase(const Connection &connection)
{
    if (connection.lingering) {
        return Phase::Lingering;
    }
    if (connection.sending) {
        return Phase::Sending;
    }
    if (!connection.exchanges.empty()) {
        return Phase::Processing;
    }
    return connection.parser ? Phase::Reading : Phase::Idle;
}

} // namespace

std::unique_ptr<IHttpServer>
makeHttpServer(EventLoop &loop, IHttpListener &listener, std::shared_ptr<MemoryBudget> memory)
{
    return std::make_unique<HttpServer>(loop, listener, std::move(memory));
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = http::obsolete_reason(static_cast<http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace vanillatack
