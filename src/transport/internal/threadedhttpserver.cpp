#include "transport/threadedhttpserver.h"

#include "base/log.h"
#include "transport/internal/bufferedstream.h"
#include "transport/internal/connectionthreads.h"
#include "transport/internal/idleconnections.h"
#include "transport/internal/messagememory.h"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

namespace vanillatack {

namespace {

constexpr Log ServerLog("http");
constexpr int ListenBacklog = 1024;
constexpr std::size_t KeepAliveMaxRequests = 1'000'000;

// cpp-httplib compresses bodies when a request has this header, but the upstream's encoding must not be changed. The
// header is renamed while the library handles the request.
constexpr const char *AcceptEncoding = "Accept-Encoding";
constexpr const char *HiddenAcceptEncoding = "Vanillatack-Accept-Encoding";

/// State of the request that the current thread serves.
struct CurrentRequest {
    BufferedStream *stream = nullptr;
    std::string target;
    bool headRead = false;
    bool bodyUnread = false; ///< The request has a body, which cpp-httplib does not read for this method.
    bool mustClose = false;
    bool noMemory = false; ///< The body does not fit into the memory budget.
};

thread_local CurrentRequest currentRequest;

bool hasBody(const httplib::Request &request)
{
    return request.has_header("Transfer-Encoding") || request.get_header_value<std::uint64_t>("Content-Length") > 0;
}

HttpRequest toHttpRequest(const httplib::Request &in, Body body)
{
    HttpRequest out;
    out.method = in.method;
    out.target = currentRequest.target;
    out.body = std::move(body);
    for (const auto &[name, value] : in.headers) {
        // Pseudo-headers of cpp-httplib.
        const bool added =
            name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" || name == "LOCAL_PORT";
        if (!added) {
            out.headers.emplace_back(name == HiddenAcceptEncoding ? AcceptEncoding : name, value);
        }
    }
    return out;
}

void fillResponse(httplib::Response &out, HttpResponse in)
{
    out.status = in.status;
    out.body = in.body.release();
    for (const auto &[name, value] : in.headers) {
        if (!isHopByHopHeader(name)) {
            out.headers.emplace(name, value);
        }
    }
    if (in.closeConnection) {
        out.headers.emplace("Connection", "close");
        currentRequest.mustClose = true;
    }
}

/// Lingering close: reads and discards the rest of an oversized request for up to 200 ms. Closing a socket with unread
/// bytes resets the connection, and the caller could lose the last response.
void lingerBeforeClose(int socket)
{
    constexpr std::chrono::milliseconds LingerTime{200};
    ::shutdown(socket, SHUT_WR);
    const TimePoint end = std::chrono::steady_clock::now() + LingerTime;
    std::array<char, 4096> discarded{};
    while (waitReadable(socket, NoSocket, end) == WaitResult::Ready) {
        if (::recv(socket, discarded.data(), discarded.size(), 0) <= 0) {
            break;
        }
    }
}

/// Task queue of cpp-httplib, which owns and deletes it, on the threads of the server.
class TaskQueue final : public httplib::TaskQueue
{
public:
    TaskQueue(ConnectionThreads &threads, IdleConnections &idle)
        : m_threads(threads)
        , m_idle(idle)
    {
    }

    void enqueue(std::function<void()> task) override
    {
        m_threads.run(std::move(task));
        if (m_threads.isSaturated()) {
            m_idle.closeOldest();
        }
    }

    void shutdown() override
    {
        m_idle.closeAll();
        m_threads.stop();
    }

private:
    ConnectionThreads &m_threads;
    IdleConnections &m_idle;
};

class ThreadedHttpServer final : public IThreadedHttpServer, private httplib::Server
{
public:
    ThreadedHttpServer(const ThreadedHttpServerSettings &settings, IHttpHandler &handler)
        : m_settings(settings)
        , m_handler(handler)
        , m_memory(settings.memory ? settings.memory : makeDefaultMemoryBudget())
        , m_threads(settings.maxConnections)
    {
        addHandlers();
        set_payload_max_length(settings.maxBodyBytes);
        set_tcp_nodelay(true);
        // Only for the Keep-Alive header of responses; process_and_close_socket() applies the idle timeout.
        set_keep_alive_max_count(KeepAliveMaxRequests);
        set_keep_alive_timeout(std::chrono::duration_cast<std::chrono::seconds>(settings.idleTimeout).count());
        new_task_queue = [this] {
            return new TaskQueue(m_threads, m_idle); // Deleted by the library.
        };
    }

    ~ThreadedHttpServer() override
    {
        ThreadedHttpServer::stop();
    }

    Result<void> start() override
    {
        const std::string &address = m_settings.listen.address;
        const bool anyPort = m_settings.listen.port == 0;
        m_port = anyPort ? bind_to_any_port(address) : m_settings.listen.port;
        if (anyPort ? m_port <= 0 : !bind_to_port(address, m_port)) {
            return makeError(ErrorKind::Unavailable,
                             "Cannot listen on " + m_settings.listen.text() + ".",
                             "Check that the address belongs to this VM and that the port is free.");
        }
        // cpp-httplib's backlog of 5 loses connections when many callers connect at once.
        ::listen(svr_sock_, ListenBacklog);
        m_acceptThread = std::thread([this] {
            listen_after_bind();
        });
        while (!is_running()) {
            std::this_thread::yield();
        }
        return success();
    }

    void startDraining() override
    {
        m_draining = true;
    }

    void stop() override
    {
        m_draining = true;
        if (m_acceptThread.joinable()) {
            httplib::Server::stop();
            m_acceptThread.join();
        }
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return static_cast<std::uint16_t>(m_port);
    }

    [[nodiscard]] std::size_t connections() const override
    {
        return m_threads.active();
    }

private:
    void addHandlers()
    {
        const auto plain = [this](const httplib::Request &request, httplib::Response &response) {
            respond(toHttpRequest(request, request.body), response);
        };
        const auto withBody =
            [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
                MessageMemory body(m_memory, MemoryOwner::Caller);
                // cpp-httplib keeps each line of a chunked body's framing until it is complete.
                const bool chunked = request.has_header("Transfer-Encoding");
                const auto limitFraming = [this, chunked] {
                    if (chunked) {
                        currentRequest.stream->limitHead(m_settings.maxHeadBytes + CPPHTTPLIB_RECV_BUFSIZ);
                    }
                };
                limitFraming();
                const bool complete = reader([&body, &limitFraming](const char *data, std::size_t size) {
                    limitFraming();
                    currentRequest.noMemory = !body.append({data, size});
                    return !currentRequest.noMemory;
                });
                currentRequest.stream->endHead();
                if (currentRequest.noMemory) {
                    ServerLog.warning("Messages in memory leave no room for a request; it is refused with 503.",
                                      {{"in_memory", std::to_string(m_memory->used())},
                                       {"limit", std::to_string(m_memory->limit())}});
                } else if (complete) {
                    respond(toHttpRequest(request, Body(body.releaseBytes(), body.releaseCharge())), response);
                }
            };
        const char *anyPath = ".*"; // Matched against "/" only; see prepareRequest().
        Get(anyPath, plain);
        Options(anyPath, plain);
        Delete(anyPath, plain);
        Post(anyPath, withBody);
        Put(anyPath, withBody);
        Patch(anyPath, withBody);
        set_error_handler([this](const httplib::Request &, httplib::Response &response) {
            if (response.body.empty() && !response.has_header("Vanillatack-Handled")) {
                fillErrorResponse(response);
            }
            response.headers.erase("Vanillatack-Handled");
        });
    }

    void respond(const HttpRequest &request, httplib::Response &response)
    {
        if (currentRequest.bodyUnread) {
            response.status = 400;
            return;
        }
        HttpResponse answer = m_handler.handle(request, currentRequest.stream->socket());
        currentRequest.stream->setDeadline(std::chrono::steady_clock::now() + m_settings.messageTimeout);
        answer.closeConnection |= m_draining;
        fillResponse(response, std::move(answer));
        if (response.status >= 400) {
            // Tells the error handler that this response is complete even with an empty body.
            response.headers.emplace("Vanillatack-Handled", "yes");
        }
    }

    void fillErrorResponse(httplib::Response &response)
    {
        const bool tooLarge = currentRequest.stream->headTooLarge();
        // Further bytes on the connection may belong to this request, so no other can be read from it.
        HttpResponse answer = currentRequest.noMemory ? HttpResponse{503, {{"Retry-After", "1"}}, {}, true}
                                                      : m_handler.makeErrorResponse(tooLarge ? 431 : response.status);
        answer.closeConnection = true;
        fillResponse(response, std::move(answer));
    }

    void prepareRequest(httplib::Request &request)
    {
        currentRequest.headRead = true;
        currentRequest.stream->endHead();
        currentRequest.target = request.target;
        // Unread body bytes would be parsed as the next request (request smuggling).
        const bool readsBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH"
            || request.method == "DELETE";
        currentRequest.bodyUnread = !readsBody && hasBody(request);
        // cpp-httplib matches paths with std::regex, which recurses once per character.
        request.path = "/";
        // The upstream applies ranges; cpp-httplib would cut its response a second time.
        request.ranges.clear();
        if (request.has_header(AcceptEncoding)) {
            request.set_header(HiddenAcceptEncoding, request.get_header_value(AcceptEncoding));
            request.headers.erase(AcceptEncoding);
        }
    }

    bool serveRequest(BufferedStream &stream)
    {
        currentRequest = {};
        currentRequest.stream = &stream;
        stream.setDeadline(std::chrono::steady_clock::now() + m_settings.messageTimeout);
        stream.limitHead(m_settings.maxHeadBytes);
        bool closed = false;
        const bool processed = process_request(stream, false, closed, [this](httplib::Request &request) {
            prepareRequest(request);
        });
        const bool flushed = stream.flush();
        return processed && flushed && !closed && currentRequest.headRead && !currentRequest.mustClose;
    }

    bool waitForRequest(BufferedStream &stream)
    {
        const bool mayIdle = m_idle.add(stream.socket());
        const Duration timeout = mayIdle ? m_settings.idleTimeout : Duration::zero();
        const WaitResult waited = stream.waitForData(std::chrono::steady_clock::now() + timeout);
        m_idle.remove(stream.socket());
        return waited == WaitResult::Ready;
    }

    // Replaces cpp-httplib's loop over the requests of a connection.
    bool process_and_close_socket(socket_t accepted) override
    {
        setTcpNoDelay(accepted);
        const Socket socket(accepted);
        BufferedStream stream(accepted);
        while (waitForRequest(stream)) {
            if (!serveRequest(stream)) {
                break;
            }
        }
        lingerBeforeClose(accepted);
        return true;
    }

    const ThreadedHttpServerSettings m_settings;
    IHttpHandler &m_handler;
    std::shared_ptr<MemoryBudget> m_memory;
    ConnectionThreads m_threads;
    IdleConnections m_idle;
    std::thread m_acceptThread;
    std::atomic<bool> m_draining = false;
    int m_port = 0;
};

} // namespace

std::unique_ptr<IThreadedHttpServer> makeThreadedHttpServer(const ThreadedHttpServerSettings &settings,
                                                            IHttpHandler &handler)
{
    return std::make_unique<ThreadedHttpServer>(settings, handler);
}

} // namespace vanillatack
