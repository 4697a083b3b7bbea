#include "transport/internal/connectionthreads.h"
#include "transport/threadedhttpserver.h"
#include "transport/threadedpeerlink.h"
#include "transport/upstreamclient.h"

#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace vanillatack;

namespace {

/// Echoes the request body. For the target "/wait" it first waits until the caller hangs up.
class EchoHandler final : public IHttpHandler
{
public:
    HttpResponse handle(const HttpRequest &request, int callerSocket) override
    {
        if (request.target == "/wait") {
            const TimePoint end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
            while (!isHungUp(callerSocket) && std::chrono::steady_clock::now() < end) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            hangUpSeen = isHungUp(callerSocket);
        }
        lastEncoding = request.header("Accept-Encoding");
        return {200, {{"Content-Type", "text/plain"}, {"Vanillatack-Target", request.target}}, request.body, false};
    }

    HttpResponse makeErrorResponse(int status) override
    {
        return {status, {{"Content-Type", "application/problem+json"}}, "{}", false};
    }

    std::atomic<bool> hangUpSeen = false;
    std::string lastEncoding;
};

/// More than the buffers of the kernel take on both sides of a connection.
constexpr std::size_t MaxSentBytes = std::size_t{100} << 20;

TimePoint farDeadline()
{
    return std::chrono::steady_clock::now() + std::chrono::seconds(20);
}

std::string exchangeRaw(std::uint16_t port, const std::string &bytes)
{
    const Result<Socket> socket = connectTcp({"127.0.0.1", port}, std::chrono::seconds(5));
    const int fd = socket.value().descriptor();
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string answer;
    char buffer[4096];
    while (waitReadable(fd, NoSocket, farDeadline()) == WaitResult::Ready) {
        const ssize_t count = ::recv(fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            break;
        }
        answer.append(buffer, static_cast<std::size_t>(count));
    }
    return answer;
}

} // namespace

TEST_GROUP(ConnectionThreads){};

// Guards against an idle connection that is closed for a new one although a thread for the new one has been started.
TEST(ConnectionThreads, aThreadThatHasJustBeenStartedCountsAsFree)
{
    int saturated = 0;
    for (int trial = 0; trial < 200; ++trial) {
        ConnectionThreads threads(1);
        threads.run([] {});
        saturated += threads.isSaturated() ? 1 : 0;
    }
    LONGS_EQUAL(0, saturated);
}

TEST(ConnectionThreads, isSaturatedWhileATaskWaitsForAThread)
{
    ConnectionThreads threads(1);
    std::atomic<bool> started = false;
    std::atomic<bool> release = false;
    threads.run([&] {
        started = true;
        while (!release) {
            std::this_thread::yield();
        }
    });
    while (!started) {
        std::this_thread::yield();
    }
    CHECK(!threads.isSaturated());
    LONGS_EQUAL(1, threads.active());
    threads.run([] {});
    CHECK(threads.isSaturated());
    release = true;
    threads.stop();
    LONGS_EQUAL(0, threads.active());
}

TEST_GROUP(ThreadedHttpServer)
{
    EchoHandler handler;
    std::unique_ptr<IThreadedHttpServer> server;
    std::unique_ptr<IUpstreamClient> client = makeUpstreamClient({});

    void setup() override
    {
        ThreadedHttpServerSettings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.maxConnections = 8;
        settings.maxHeadBytes = 4096;
        settings.maxBodyBytes = 100000;
        server = makeThreadedHttpServer(settings, handler);
        CHECK(server->start().has_value());
    }

    void teardown() override
    {
        server->stop();
    }

    UpstreamAnswer post(const std::string &target, const std::string &body, TimePoint deadline, int cancelSocket)
    {
        return client->send({"127.0.0.1", server->port()},
                            {"POST", target, {{"Accept-Encoding", "gzip"}}, body},
                            deadline,
                            cancelSocket);
    }
};

// Guards against lost bytes, and against cpp-httplib compressing or rewriting what must be forwarded unchanged.
TEST(ThreadedHttpServer, forwardsMethodTargetHeadersAndBodyUnchanged)
{
    const std::string body(50000, 'x');
    for (int round = 0; round < 3; ++round) {
        const UpstreamAnswer answer = post("/a%20b?c=d", body, farDeadline(), NoSocket);
        CHECK(answer.complete);
        LONGS_EQUAL(200, answer.response.status);
        CHECK(answer.response.body == body);
    }
    STRCMP_EQUAL("gzip", handler.lastEncoding.c_str());
}

// Guards against large heads or bodies that exhaust memory, and against responses that the caller cannot parse.
TEST(ThreadedHttpServer, oversizedAndMalformedRequestsGetTheirStatus)
{
    CHECK(exchangeRaw(server->port(), "nonsense\r\n\r\n").find("HTTP/1.1 400") == 0);
    const std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(6000, 'y') + "\r\n\r\n";
    CHECK(exchangeRaw(server->port(), head).find("HTTP/1.1 431") == 0);
    const std::string body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'z');
    CHECK(exchangeRaw(server->port(), body).find("HTTP/1.1 413") == 0);
}

// Guards against request smuggling: a body that is parsed as the next request of the connection.
TEST(ThreadedHttpServer, unexpectedBodiesAreRefusedAndCloseTheConnection)
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string head =
        "GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n";
    const std::string answer = exchangeRaw(server->port(), head + hidden);
    CHECK(answer.find("HTTP/1.1 400") == 0);
    CHECK(answer.find("/hidden") == std::string::npos);
}

// Guards against a truncated request body that is handled as if it were complete.
TEST(ThreadedHttpServer, truncatedBodiesAreNotHandled)
{
    const std::string truncated = "POST /short HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
    const Result<Socket> socket = connectTcp({"127.0.0.1", server->port()}, std::chrono::seconds(5));
    ::send(socket.value().descriptor(), truncated.data(), truncated.size(), MSG_NOSIGNAL);
    ::shutdown(socket.value().descriptor(), SHUT_WR);
    char buffer[4096] = {};
    ::recv(socket.value().descriptor(), buffer, sizeof(buffer) - 1, 0);
    CHECK(std::string(buffer).find("HTTP/1.1 200") == std::string::npos);
}

// Guards against a process that ends because many callers send bodies of legal size at the same time.
TEST(ThreadedHttpServer, bodiesThatTogetherExceedTheMemoryAreRefusedAsNotRun)
{
    ThreadedHttpServerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.memory = std::make_shared<MemoryBudget>(std::size_t{1} << 20);
    const auto limited = makeThreadedHttpServer(settings, handler);
    CHECK(limited->start().has_value());
    const Result<Socket> stalled = connectTcp({"127.0.0.1", limited->port()}, std::chrono::seconds(5));
    const std::string part = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 130000\r\n\r\n" + std::string(120000, 'x');
    ::send(stalled.value().descriptor(), part.data(), part.size(), MSG_NOSIGNAL);
    const TimePoint end = farDeadline();
    while (settings.memory->used() < 5 * 120000 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const Endpoint address = {"127.0.0.1", limited->port()};
    const UpstreamAnswer refused = client->send(address, {"POST", "/2", {}, std::string(90000, 'x')}, end, NoSocket);
    CHECK(refused.complete);
    LONGS_EQUAL(503, refused.response.status);
    CHECK(settings.memory->used() <= settings.memory->limit());
    const UpstreamAnswer small = client->send(address, {"POST", "/3", {}, "small"}, end, NoSocket);
    LONGS_EQUAL(200, small.response.status);
    ::shutdown(stalled.value().descriptor(), SHUT_RDWR);
    limited->stop();
    LONGS_EQUAL(0, settings.memory->used());
}

// Guards against memory that grows as long as a caller sends bytes that end no line of a chunked body.
TEST(ThreadedHttpServer, framingWithoutEndIsRefused)
{
    const Result<Socket> socket = connectTcp({"127.0.0.1", server->port()}, std::chrono::seconds(5));
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=";
    ::send(socket.value().descriptor(), head.data(), head.size(), MSG_NOSIGNAL);
    const std::string filler(1000, 'x');
    std::size_t sent = 0;
    while (sent<MaxSentBytes && ::send(socket.value().descriptor(), filler.data(), filler.size(), MSG_NOSIGNAL)> 0) {
        sent += filler.size();
    }
    CHECK(sent < MaxSentBytes);
}

// Guards against work that continues after the caller closed its connection.
TEST(ThreadedHttpServer, hangUpOfTheCallerReachesTheHandler)
{
    int pair[2];
    LONGS_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, pair));
    std::thread hangUp([&pair] {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        ::shutdown(pair[1], SHUT_RDWR);
    });
    const UpstreamAnswer answer = post("/wait", "", farDeadline(), pair[0]);
    hangUp.join();
    CHECK(!answer.complete && answer.cancelled && answer.sentAnything);
    server->stop();
    CHECK(handler.hangUpSeen);
    const Socket first(pair[0]);
    const Socket second(pair[1]);
}

// Guards against idle connections that occupy every thread, so that new callers wait forever.
TEST(ThreadedHttpServer, idleConnectionsAreClosedForNewOnes)
{
    std::vector<Socket> idle;
    for (int index = 0; index < 8; ++index) {
        Result<Socket> socket = connectTcp({"127.0.0.1", server->port()}, std::chrono::seconds(5));
        CHECK(socket.has_value());
        idle.push_back(std::move(socket.value()));
    }
    while (server->connections() < 8) {
        std::this_thread::yield();
    }
    CHECK(post("/x", "b", farDeadline(), NoSocket).complete);
}

// Guards against reporting a request as sent when no connection could be opened.
TEST(ThreadedHttpServer, aRefusedConnectionIsReportedAsNotSent)
{
    server->stop();
    const UpstreamAnswer answer = post("/x", "b", farDeadline(), NoSocket);
    CHECK(!answer.complete && !answer.sentAnything);
}

namespace {

/// A server whose connections the test handles itself.
class RawServer
{
public:
    RawServer()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(m_listener, 8) != 0
            || ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            FAIL("cannot listen on a loopback port");
        }
        endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    }

    ~RawServer()
    {
        ::close(m_listener);
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    /// Accepts a connection and reads the head of its first request.
    [[nodiscard]] int accept() const
    {
        const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        readHead(connection);
        return connection;
    }

    static void readHead(int connection)
    {
        std::string head;
        char byte = 0;
        while (!head.ends_with("\r\n\r\n") && ::recv(connection, &byte, 1, 0) == 1) {
            head += byte;
        }
    }

    static void write(int connection, const std::string &bytes)
    {
        (void)::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    Endpoint endpoint;

private:
    int m_listener = -1;
};

HttpRequest getRequest()
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    return request;
}

} // namespace

TEST_GROUP(UpstreamClient)
{
    RawServer server;
    std::unique_ptr<IUpstreamClient> client = makeUpstreamClient({});
};

// Guards against a success without the upstream's body because its connection ended within the head.
TEST(UpstreamClient, aHeadThatEndsInTheMiddleIsIncomplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        std::thread upstream([&] {
            const int connection = server.accept();
            RawServer::write(connection, head.substr(0, length));
            ::close(connection);
        });
        const UpstreamAnswer answer = client->send(server.endpoint, getRequest(), farDeadline(), NoSocket);
        upstream.join();
        CHECK(!answer.complete);
        CHECK(answer.sentAnything);
    }
}

// Guards against a caller that gets an answer whose status is none of HTTP, or that is no final one.
TEST(UpstreamClient, aResponseWithAStatusOutsideOfHttpIsIncomplete)
{
    for (const std::string status : {"000", "001", "099", "101", "199", "600", "999"}) {
        for (const std::string length : {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
            const std::string body = length.starts_with("Transfer") ? "4\r\nbody\r\n0\r\n\r\n" : "body";
            std::thread upstream([&] {
                const int connection = server.accept();
                RawServer::write(connection, "HTTP/1.1 " + status + " Odd\r\n" + length + "\r\n" + body);
                ::close(connection);
            });
            const UpstreamAnswer answer = client->send(server.endpoint, getRequest(), farDeadline(), NoSocket);
            upstream.join();
            CHECK(!answer.complete);
            CHECK(answer.sentAnything);
        }
    }
}

TEST(UpstreamClient, everyFinalStatusOfHttpIsReceived)
{
    for (const int status : {200, 299, 404, 500, 599}) {
        std::thread upstream([&] {
            const int connection = server.accept();
            RawServer::write(connection,
                             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + std::to_string(status)
                                 + " Final\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
            ::close(connection);
        });
        const UpstreamAnswer answer = client->send(server.endpoint, getRequest(), farDeadline(), NoSocket);
        upstream.join();
        CHECK(answer.complete);
        LONGS_EQUAL(status, answer.response.status);
    }
}

// Guards against memory that grows as long as a faulty upstream sends bytes that end no head and no line of a chunked
// body.
TEST(UpstreamClient, framingWithoutEndIsCutOff)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'x');
    const std::vector<std::pair<std::string, std::string>> streams{
        {"", filler}, {"HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n"}, {chunked + "3;a=", filler}};
    for (const auto &stream : streams) {
        std::size_t sent = 0;
        std::thread upstream([this, &stream, &sent] {
            const auto &[start, repeated] = stream;
            const int connection = server.accept();
            RawServer::write(connection, start);
            while (sent<MaxSentBytes && ::send(connection, repeated.data(), repeated.size(), MSG_NOSIGNAL)> 0) {
                sent += repeated.size();
            }
            ::close(connection);
        });
        const UpstreamAnswer answer = client->send(server.endpoint, getRequest(), farDeadline(), NoSocket);
        upstream.join();
        CHECK(!answer.complete);
        CHECK(sent < MaxSentBytes);
    }
}

// Guards against an answer that a caller gets although it belongs to an earlier request of the connection.
TEST(UpstreamClient, aConnectionWithASecondCopyOfAnAnswerIsNotUsedAgain)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    std::atomic<bool> sentTwice = false;
    std::atomic<int> connections = 0;
    std::thread upstream([&] {
        const int connection = server.accept();
        RawServer::write(connection, first);
        ++connections;
        while (connections == 1) {
            std::this_thread::yield();
        }
        RawServer::write(connection, first);
        sentTwice = true;
        const int next = server.accept();
        RawServer::write(next, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
        ::close(next);
        ::close(connection);
    });
    STRCMP_EQUAL("first",
                 client->send(server.endpoint, getRequest(), farDeadline(), NoSocket).response.body.bytes().c_str());
    ++connections;
    while (!sentTwice) {
        std::this_thread::yield();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // The copy passes the loopback interface.
    const UpstreamAnswer answer = client->send(server.endpoint, getRequest(), farDeadline(), NoSocket);
    if (answer.response.body != "next") {
        // Lets the upstream's thread end.
        (void)makeUpstreamClient({})->send(server.endpoint, getRequest(), farDeadline(), NoSocket);
    }
    upstream.join();
    STRCMP_EQUAL("next", answer.response.body.bytes().c_str());
}

namespace {

class CallHandler final : public INodeHandler
{
public:
    CallReply handleCall(const CallRequest &request, int peerSocket) override
    {
        CallReply reply;
        if (request.target == "/wait") {
            const TimePoint end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
            while (!isHungUp(peerSocket) && std::chrono::steady_clock::now() < end) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            abandoned = isHungUp(peerSocket);
        }
        reply.status = 200;
        reply.body = request.body;
        return reply;
    }

    void handleControl(const ControlFrame &frame) override
    {
        controls += std::holds_alternative<DocumentPush>(frame.message) ? 1 : 0;
    }

    std::atomic<bool> abandoned = false;
    std::atomic<int> controls = 0;
};

constexpr std::chrono::seconds HandshakeTimeout{10};

std::unique_ptr<IThreadedPeerLink>
makeLink(std::uint16_t port, const std::string &secret, INodeHandler &handler, IRandom &random)
{
    ThreadedPeerLinkSettings settings;
    settings.listen = {"127.0.0.1", port};
    settings.secret = secret;
    settings.handshakeTimeout = HandshakeTimeout;
    return makeThreadedPeerLink(settings, handler, random, [](bool, std::size_t) {});
}

constexpr std::uint16_t FirstPort = 21871;
constexpr std::uint16_t SecondPort = 21872;

} // namespace

TEST_GROUP(ThreadedPeerLink)
{
    CallHandler handler;
    SystemRandom random;
    std::unique_ptr<IThreadedPeerLink> server = makeLink(FirstPort, "secret", handler, random);

    void setup() override
    {
        CHECK(server->start().has_value());
    }

    void teardown() override
    {
        server->stop();
    }

    static CallRequest request(const std::string &target)
    {
        CallRequest call;
        call.requestId = 5;
        call.target = target;
        call.body = "body";
        return call;
    }
};

// Guards against memory for frames of anybody who connects to the node port.
TEST(ThreadedPeerLink, aLargeFrameBeforeTheHandshakeIsNotRead)
{
    const Result<Socket> socket = connectTcp({"127.0.0.1", FirstPort}, std::chrono::seconds(5));
    const std::string length("\x00\x00\x10\x00", 4); // 1 MiB, less than the largest frame of a node.
    ::send(socket.value().descriptor(), length.data(), length.size(), MSG_NOSIGNAL);
    const auto start = std::chrono::steady_clock::now();
    char byte = 0;
    LONGS_EQUAL(0, ::recv(socket.value().descriptor(), &byte, 1, 0));
    CHECK(std::chrono::steady_clock::now() - start < HandshakeTimeout);
}

// Guards against calls and control messages, by datagram or connection, that do not arrive.
TEST(ThreadedPeerLink, carriesCallsAndControlMessages)
{
    const auto client = makeLink(SecondPort, "secret", handler, random);
    CHECK(client->start().has_value());
    for (int round = 0; round < 3; ++round) {
        const CallAttempt attempt = client->call({"127.0.0.1", FirstPort}, request("/a"), farDeadline(), NoSocket);
        CHECK(attempt.outcome == LinkCallOutcome::Replied);
        STRCMP_EQUAL("body", attempt.reply.body.bytes().c_str());
    }
    DocumentPush push;
    client->send({"127.0.0.1", FirstPort}, push);
    push.content = std::string(100000, 'x');
    client->send({"127.0.0.1", FirstPort}, push);
    const TimePoint end = farDeadline();
    while (handler.controls < 2 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    LONGS_EQUAL(2, handler.controls);
    client->stop();
}

// Guards against accepting messages from processes that do not know the secret of the fleet.
TEST(ThreadedPeerLink, refusesAnotherSecret)
{
    const auto stranger = makeLink(SecondPort, "other", handler, random);
    CHECK(stranger->start().has_value());
    const CallAttempt attempt = stranger->call({"127.0.0.1", FirstPort}, request("/a"), farDeadline(), NoSocket);
    CHECK(attempt.outcome == LinkCallOutcome::NotSent);
    stranger->send({"127.0.0.1", FirstPort}, DocumentPush{});
    stranger->stop();
    LONGS_EQUAL(0, handler.controls);
}

// Guards against work that continues for an abandoned call, and against a late reply on a reused connection.
TEST(ThreadedPeerLink, abandonedCallsAreCancelled)
{
    const auto client = makeLink(SecondPort, "secret", handler, random);
    CHECK(client->start().has_value());
    const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    CHECK(client->call({"127.0.0.1", FirstPort}, request("/wait"), deadline, NoSocket).outcome
          == LinkCallOutcome::Broken);
    CHECK(client->call({"127.0.0.1", FirstPort}, request("/a"), farDeadline(), NoSocket).outcome
          == LinkCallOutcome::Replied);
    client->stop();
    server->stop();
    CHECK(handler.abandoned);
}
