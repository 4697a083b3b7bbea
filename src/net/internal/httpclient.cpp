#include "net/httpclient.h"

#include "base/log.h"
#include "net/internal/chargedbody.h"
#include "net/internal/receivebuffer.h"
#include "net/internal/socketbuffers.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <optional>
#include <vector>

namespace vanillatack {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr Log ClientLog("http");
/// Also the limit of each line of a chunked body's framing, and of the fields after its last chunk.
constexpr std::uint32_t MaxHeadBytes = 32768;
/// The kernel closes a connection whose sent bytes stay unacknowledged for this time.
constexpr Duration TcpUserTimeout = std::chrono::seconds(3);
/// Interval at which a response that waits unread is offered to the memory budget again.
constexpr Duration RoomCheckInterval = std::chrono::milliseconds(10);
/// Memory of a connection in use without its buffers.
constexpr std::size_t ConnectionBytes = 4096;
/// Capacity above which the input buffer of a connection is released when it is not filled.
constexpr std::size_t MaxIdleInputBytes = 4096;
/// Subtracted from the Keep-Alive timeout of the server to allow for the time that a request takes to reach it.
constexpr Duration IdleMargin = std::chrono::seconds(1);

struct Connection {
    explicit Connection(asio::io_context &context)
        : socket(context)
    {
    }

    Tcp::socket socket;
    Endpoint server;
    boost::beast::flat_buffer input;
    std::optional<http::response_parser<ChargedBody>> parser;
    HeadMemory head; ///< Of the response that is being parsed.
    std::string output; ///< Head of the request that is being sent.
    Body outputBody;
    std::size_t written = 0; ///< Bytes of output and outputBody that the kernel has taken.
    MemoryCharge charge; ///< Of the connection and its buffers.
    ClientCallId call; ///< 0 while idle.
    ClientCompletion completion;
    EchoedHeader echoed;
    /// A response to an earlier request was received; the connection is not reused.
    bool receivedStaleResponse = false;
    EventLoop::TimerId timer = 0;
    TimePoint idleUntil;
    TimePoint lastActivity; ///< When the call was sent, or the last bytes were received.
    bool connected = false;
    bool sent = false; ///< A byte of the request may have reached the server.
    bool writing = false;
    bool headRequest = false;
    bool awaitsRoom = false; ///< The response waits unread for room in the memory budget.
};
using ConnectionPointer = std::shared_ptr<Connection>;

std::string formatHead(const HttpRequest &request)
{
    std::string out = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    for (const auto &[name, value] : request.headers) {
        absl::StrAppend(&out, name, ": ", value, "\r\n");
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        absl::StrAppend(&out, "Content-Length: ", request.body.size(), "\r\n");
    }
    out += "\r\n";
    return out;
}

class HttpClient final : public IHttpClient
{
public:
    HttpClient(EventLoop &loop, const HttpClientSettings &settings)
        : m_loop(loop)
        , m_settings(settings)
        , m_memory(settings.memory ? settings.memory : makeDefaultMemoryBudget())
    {
    }

    ClientCallId send(const Endpoint &server,
                      const HttpRequest &request,
                      Duration timeout,
                      const EchoedHeader &echoed,
                      ClientCompletion completion) override;
    void cancel(ClientCallId call) override;
    void closeIdle(const Endpoint &server) override;
    void closeSilent(const Endpoint &server, TimePoint since) override;

    [[nodiscard]] std::uint64_t connectionsOpened() const override
    {
        return m_opened;
    }

private:
    ConnectionPointer popIdle(const Endpoint &server);
    void connect(const ConnectionPointer &connection);
    void write(const ConnectionPointer &connection);
    void writeSome(const ConnectionPointer &connection);
    void prepareParser(Connection &connection) const;
    void updateCharge(Connection &connection) const;
    bool prepareBody(const ConnectionPointer &connection);
    void awaitRoom(const ConnectionPointer &connection);
    static bool isStale(const Connection &connection);
    void read(const ConnectionPointer &connection);
    void onBytes(const ConnectionPointer &connection);
    void onReadable(const ConnectionPointer &connection);
    void breakForMemory(const ConnectionPointer &connection);
    void breakUnreadable(const ConnectionPointer &connection, const std::string &error);
    void onReadError(const ConnectionPointer &connection, const error_code &error);
    void finishMessage(const ConnectionPointer &connection);
    ClientCompletion popCompletion(const ConnectionPointer &connection);
    void complete(const ConnectionPointer &connection, ClientResult result);
    void addIdle(const ConnectionPointer &connection);
    void close(const ConnectionPointer &connection);
    [[nodiscard]] Duration idleLifetime(std::string_view keepAlive) const;

    EventLoop &m_loop;
    HttpClientSettings m_settings;
    SystemClock m_clock;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_opened = 0;
    std::shared_ptr<MemoryBudget> m_memory;
    absl::flat_hash_map<ClientCallId, ConnectionPointer> m_calls;
    absl::flat_hash_map<Endpoint, std::vector<ConnectionPointer>> m_idle;
};

ClientCallId HttpClient::send(const Endpoint &server,
                              const HttpRequest &request,
                              Duration timeout,
                              const EchoedHeader &echoed,
                              ClientCompletion completion)
{
    const ClientCallId call{++m_lastCall};
    ConnectionPointer connection = popIdle(server);
    const bool isNew = connection == nullptr;
    if (isNew) {
        connection = std::make_shared<Connection>(m_loop.context());
        connection->server = server;
        connection->charge = MemoryCharge(m_memory, m_settings.owner);
    }
    connection->call = call;
    connection->completion = std::move(completion);
    connection->echoed = echoed;
    connection->output = formatHead(request);
    connection->outputBody = request.body;
    updateCharge(*connection);
    connection->headRequest = request.method == "HEAD";
    connection->sent = false;
    connection->lastActivity = m_clock.now();
    connection->timer = m_loop.callAfter(std::max(timeout, Duration{0}), [this, connection] {
        connection->timer = 0;
        ClientResult result;
        result.outcome = ClientOutcome::TimedOut;
        result.sentAnything = connection->sent;
        close(connection);
        complete(connection, std::move(result));
    });
    m_calls.emplace(call, connection);
    if (isNew) {
        connect(connection);
    } else {
        write(connection);
    }
    return call;
}

ConnectionPointer HttpClient::popIdle(const Endpoint &server)
{
    std::vector<ConnectionPointer> &idle = m_idle[server];
    while (!idle.empty()) {
        ConnectionPointer connection = idle.back();
        idle.pop_back();
        if (connection->socket.is_open() && connection->idleUntil > m_clock.now()) {
            return connection;
        }
        close(connection);
    }
    return nullptr;
}

void HttpClient::connect(const ConnectionPointer &connection)
{
    ++m_opened;
    const EventLoop::TimerId connectTimer = m_loop.callAfter(m_settings.connectTimeout, [this, connection] {
        if (!connection->connected) {
            close(connection);
            complete(connection, {.outcome = ClientOutcome::NotSent, .sentAnything = false, .response = {}});
        }
    });
    error_code ignored; // Connecting reports a socket that cannot be opened.
    connection->socket.open(Tcp::v4(), ignored);
    limitSocketBuffers(connection->socket, *m_memory);
    connection->socket.async_connect(
        toTcpEndpoint(connection->server), [this, connection, connectTimer](const error_code &error) {
            m_loop.cancel(connectTimer);
            if (connection->call.value == 0 || !connection->socket.is_open()) {
                return;
            }
            if (error) {
                close(connection);
                complete(connection, {.outcome = ClientOutcome::NotSent, .sentAnything = false, .response = {}});
                return;
            }
            watchForReadsOnly(connection->socket);
            if (!connection->socket.is_open()) {
                complete(connection, {.outcome = ClientOutcome::NotSent, .sentAnything = false, .response = {}});
                return;
            }
            connection->connected = true;
            error_code unset; // The write reports a closed connection.
            connection->socket.set_option(Tcp::no_delay(true), unset);
            connection->socket.non_blocking(true, unset);
            setTcpUserTimeout(connection->socket, TcpUserTimeout);
            read(connection);
            write(connection);
        });
}

/// Writes without waiting what the socket accepts, which is nearly always everything, and the rest once it accepts
/// more.
void HttpClient::write(const ConnectionPointer &connection)
{
    connection->sent = true;
    connection->written = 0;
    connection->writing = true;
    prepareParser(*connection);
    writeSome(connection);
}

void HttpClient::writeSome(const ConnectionPointer &connection)
{
    const std::string &head = connection->output;
    const std::string &body = connection->outputBody.bytes();
    const std::size_t headWritten = std::min(connection->written, head.size());
    const std::size_t bodyWritten = connection->written - headWritten;
    const std::array<asio::const_buffer, 2> rest{asio::buffer(head) + headWritten, asio::buffer(body) + bodyWritten};
    error_code error;
    connection->written += connection->socket.write_some(rest, error);
    connection->writing = connection->written < head.size() + body.size();
    if (!connection->writing) {
        connection->output = {};
        connection->outputBody = {};
        updateCharge(*connection);
    } else if (!error || error == asio::error::would_block) {
        connection->socket.async_wait(Tcp::socket::wait_write, [this, connection](const error_code &waited) {
            if (!waited && connection->socket.is_open()) {
                writeSome(connection);
            }
        });
    }
    // The read reports a failed write; it may still receive an early response.
}

/// Charges the memory of the connection except its bodies, which have charges of their own.
void HttpClient::updateCharge(Connection &connection) const
{
    connection.charge.resize(ConnectionBytes + connection.input.capacity() + connection.output.size()
                             + (connection.parser ? connection.head.bytes() : 0));
}

void HttpClient::prepareParser(Connection &connection) const
{
    connection.parser.emplace();
    connection.head = {};
    connection.parser->eager(false); // Room for the body is reserved when the head is complete.
    connection.parser->skip(connection.headRequest);
    connection.parser->header_limit(MaxHeadBytes);
    connection.parser->body_limit(m_settings.maxBodyBytes);
    connection.parser->get().body().charge = MemoryCharge(m_memory, m_settings.owner);
    connection.parser->get().body().maxBytes = m_settings.maxBodyBytes;
}

bool HttpClient::isStale(const Connection &connection)
{
    if (connection.echoed.name.empty()) {
        return false;
    }
    const auto &message = connection.parser->get();
    const auto field = message.find(connection.echoed.name);
    return field != message.end()
        && std::string_view(field->value().data(), field->value().size()) != connection.echoed.value;
}

// Also waits while the connection is idle, to detect its end and bytes that belong to no request.
void HttpClient::read(const ConnectionPointer &connection)
{
    connection->socket.async_wait(Tcp::socket::wait_read, [this, connection](const error_code &waited) {
        if (!connection->socket.is_open()) {
            return;
        }
        if (connection->call.value == 0) {
            close(connection);
            return;
        }
        error_code error = waited;
        const std::size_t bytes = error ? 0 : connection->socket.read_some(asio::buffer(receiveBuffer()), error);
        if (error && error != asio::error::would_block) {
            onReadError(connection, error);
            return;
        }
        connection->lastActivity = m_clock.now();
        const auto room = connection->input.prepare(bytes);
        connection->input.commit(asio::buffer_copy(room, asio::buffer(receiveBuffer().data(), bytes)));
        onReadable(connection);
    });
}

/// Handles received bytes and reads on, unless the response waits for room.
void HttpClient::onReadable(const ConnectionPointer &connection)
{
    onBytes(connection);
    if (!connection->socket.is_open()) {
        return;
    }
    if (connection->input.capacity() > 2 * connection->input.size() + MaxIdleInputBytes) {
        connection->input.shrink_to_fit();
    }
    if (connection->call.value != 0) {
        updateCharge(*connection);
    }
    if (!connection->awaitsRoom) {
        read(connection);
    }
}

/// Reserves the room for the body once the head is complete. Returns false if the body cannot be read now.
bool HttpClient::prepareBody(const ConnectionPointer &connection)
{
    auto &parser = *connection->parser;
    if (!parser.is_header_done()) {
        return true;
    }
    if (reserveKnownBody(parser)) {
        parser.eager(true);
        return true;
    }
    if (parser.content_length().value_or(0) > m_memory->largeLimit()) {
        breakForMemory(connection);
    } else {
        awaitRoom(connection);
    }
    return false;
}

void HttpClient::awaitRoom(const ConnectionPointer &connection)
{
    connection->awaitsRoom = true;
    m_loop.callAfter(RoomCheckInterval, [this, connection] {
        if (connection->awaitsRoom && connection->socket.is_open() && connection->call.value != 0) {
            connection->awaitsRoom = false;
            onReadable(connection);
        }
    });
}

void HttpClient::breakForMemory(const ConnectionPointer &connection)
{
    ClientLog.warning("Messages in memory leave no room for a response; it is cut off. Check the sizes of the "
                      "server's responses.",
                      {{"server", connection->server.text()},
                       {"bytes", std::to_string(m_memory->used())},
                       {"limit", std::to_string(m_memory->limit())}});
    close(connection);
    complete(connection, {.outcome = ClientOutcome::Broken, .sentAnything = true, .response = {}});
}

void HttpClient::breakUnreadable(const ConnectionPointer &connection, const std::string &error)
{
    ClientLog.warning("A response cannot be read; its connection is closed. Check the server.",
                      {{"server", connection->server.text()}, {"error", error}});
    close(connection);
    complete(connection, {.outcome = ClientOutcome::Broken, .sentAnything = true, .response = {}});
}

void HttpClient::onBytes(const ConnectionPointer &connection)
{
    while (connection->call.value != 0 && connection->input.size() > 0) {
        if (!prepareBody(connection)) {
            return;
        }
        error_code error;
        const auto input = connection->input.data();
        connection->input.consume(parseBytes(
            *connection->parser, {static_cast<const char *>(input.data()), input.size()}, connection->head, error));
        if (error == http::error::buffer_overflow) {
            breakForMemory(connection);
            return;
        }
        const auto &parser = *connection->parser;
        if (parser.is_header_done() && !isValidStatus(static_cast<int>(parser.get().result_int()))) {
            breakUnreadable(connection, "its status is not one of HTTP");
            return;
        }
        const bool framingTooLong = error == http::error::need_more && connection->input.size() > MaxHeadBytes;
        if (error == http::error::need_more && !framingTooLong) {
            return;
        }
        if (error) {
            // The parser keeps the bytes of a line, or of the fields after the last chunk, until it is complete.
            breakUnreadable(connection, framingTooLong ? "a line of its framing is too long" : error.message());
            return;
        }
        if (!connection->parser->is_done()) {
            if (!prepareBody(connection)) {
                return;
            }
            continue;
        }
        const bool interim = !isFinalStatus(static_cast<int>(parser.get().result_int()));
        if (interim || isStale(*connection)) {
            connection->receivedStaleResponse |= !interim;
            prepareParser(*connection);
            continue;
        }
        finishMessage(connection);
        return;
    }
}

void HttpClient::onReadError(const ConnectionPointer &connection, const error_code &error)
{
    if (error == asio::error::eof && connection->parser && connection->parser->is_header_done()
        && connection->parser->need_eof()) {
        error_code ended;
        connection->parser->put_eof(ended);
        if (!ended) {
            finishMessage(connection);
            return;
        }
    }
    close(connection);
    complete(connection, {.outcome = ClientOutcome::Broken, .sentAnything = connection->sent, .response = {}});
}

void HttpClient::finishMessage(const ConnectionPointer &connection)
{
    auto message = connection->parser->release();
    ClientResult result;
    result.outcome = ClientOutcome::Complete;
    result.sentAnything = true;
    result.response.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        result.response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    result.response.body = Body(std::move(message.body().bytes), std::move(message.body().charge));
    result.response.closeConnection = !message.keep_alive();
    // Bytes after the response make the connection unusable, and so does a request that is still being written because
    // the server answered without waiting for its body.
    const bool reusable = message.keep_alive() && !message.need_eof() && connection->input.size() == 0
        && !connection->writing && !connection->receivedStaleResponse && connection->socket.is_open();
    connection->idleUntil = m_clock.now()
        + idleLifetime({message[http::field::keep_alive].data(), message[http::field::keep_alive].size()});
    const ClientCompletion completion = popCompletion(connection);
    if (reusable) {
        addIdle(connection);
    } else {
        close(connection);
    }
    if (completion) {
        completion(std::move(result));
    }
}

Duration HttpClient::idleLifetime(std::string_view keepAlive) const
{
    constexpr std::string_view Parameter = "timeout=";
    const std::size_t at = keepAlive.find(Parameter);
    if (at == std::string_view::npos) {
        return m_settings.idleLifetime;
    }
    const std::string_view digits = keepAlive.substr(at + Parameter.size());
    const std::size_t length = std::min(digits.find_first_not_of("0123456789"), digits.size());
    int seconds = 0;
    if (!absl::SimpleAtoi(std::string(digits.substr(0, length)), &seconds)) {
        return m_settings.idleLifetime;
    }
    return std::min<Duration>(m_settings.idleLifetime, std::chrono::seconds(seconds) - IdleMargin);
}

/// Ends the call of the connection and returns its completion; empty if the call was cancelled.
ClientCompletion HttpClient::popCompletion(const ConnectionPointer &connection)
{
    if (m_calls.erase(connection->call) == 0) {
        return nullptr;
    }
    m_loop.cancel(connection->timer);
    connection->timer = 0;
    connection->call = {};
    connection->parser.reset();
    connection->awaitsRoom = false;
    connection->output = {};
    connection->outputBody = {};
    connection->charge.resize(0);
    return std::exchange(connection->completion, nullptr);
}

void HttpClient::complete(const ConnectionPointer &connection, ClientResult result)
{
    if (const ClientCompletion completion = popCompletion(connection)) {
        completion(std::move(result));
    }
}

void HttpClient::addIdle(const ConnectionPointer &connection)
{
    std::vector<ConnectionPointer> &idle = m_idle[connection->server];
    std::erase_if(idle, [](const ConnectionPointer &other) {
        return !other->socket.is_open();
    });
    if (idle.size() >= m_settings.maxIdle) {
        close(connection);
        return;
    }
    idle.push_back(connection);
}

void HttpClient::close(const ConnectionPointer &connection)
{
    error_code ignored; // Closing an already closed socket is harmless.
    connection->socket.close(ignored);
}

void HttpClient::cancel(ClientCallId call)
{
    const auto entry = m_calls.find(call);
    if (entry == m_calls.end()) {
        return;
    }
    const ConnectionPointer connection = entry->second;
    m_calls.erase(entry);
    m_loop.cancel(connection->timer);
    connection->call = {};
    connection->completion = nullptr;
    connection->parser.reset();
    connection->outputBody = {};
    connection->charge.resize(0);
    close(connection);
}

void HttpClient::closeIdle(const Endpoint &server)
{
    const auto idle = m_idle.extract(server);
    if (!idle.empty()) {
        for (const ConnectionPointer &connection : idle.mapped()) {
            close(connection);
        }
    }
}

void HttpClient::closeSilent(const Endpoint &server, TimePoint since)
{
    closeIdle(server);
    std::vector<ConnectionPointer> silent;
    for (const auto &[call, connection] : m_calls) {
        if (connection->server == server && connection->lastActivity < since) {
            silent.push_back(connection);
        }
    }
    for (const ConnectionPointer &connection : silent) {
        close(connection);
        complete(connection, {.outcome = ClientOutcome::Broken, .sentAnything = connection->sent, .response = {}});
    }
}

} // namespace

std::unique_ptr<IHttpClient> makeHttpClient(EventLoop &loop, const HttpClientSettings &settings)
{
    return std::make_unique<HttpClient>(loop, settings);
}

} // namespace vanillatack
