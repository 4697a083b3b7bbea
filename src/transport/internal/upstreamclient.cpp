#include "transport/upstreamclient.h"

#include "base/log.h"
#include "transport/internal/bufferedstream.h"
#include "transport/internal/messagememory.h"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <map>
#include <mutex>

namespace vanillatack {

namespace {

constexpr Log UpstreamLog("upstream");
/// Bytes of a response's head, and of the framing between two parts of its body, with the largest part that the library
/// reads at a time. cpp-httplib itself limits neither the number of headers nor the length of a chunk's line.
constexpr std::size_t MaxFramingBytes = std::size_t{64} << 10;

/// One connection to an upstream: cpp-httplib's client on a BufferedStream.
class UpstreamConnection final : public httplib::ClientImpl
{
public:
    UpstreamConnection(const Endpoint &upstream, Duration connectTimeout)
        : httplib::ClientImpl(upstream.address, upstream.port)
        , m_upstream(upstream)
        , m_connectTimeout(connectTimeout)
    {
        set_keep_alive(true);
        set_decompress(false);
        set_url_encode(false);
    }

    UpstreamAnswer exchange(const HttpRequest &request,
                            std::size_t maxBodyBytes,
                            const std::shared_ptr<MemoryBudget> &memory,
                            TimePoint deadline,
                            int cancelSocket)
    {
        m_deadline = deadline;
        m_cancelSocket = cancelSocket;
        m_answer = UpstreamAnswer{};
        httplib::Request out = toLibraryRequest(request);
        MessageMemory body(memory, MemoryOwner::Instance);
        bool tooLarge = false;
        out.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
            m_stream->limitHead(MaxFramingBytes);
            tooLarge = body.size() + size > maxBodyBytes;
            if (!tooLarge && !body.append({data, size})) {
                UpstreamLog.warning("Messages in memory leave no room for a response; it is cut off.",
                                    {{"upstream", m_upstream.text()}, {"in_memory", std::to_string(memory->used())}});
                tooLarge = true;
            }
            return !tooLarge;
        };
        httplib::Response in;
        auto error = httplib::Error::Success;
        const bool received = send(out, in, error) && !tooLarge;
        m_answer.complete = received && isFinalStatus(in.status);
        if (received && !m_answer.complete) {
            UpstreamLog.warning("A response has a status that is no final one of HTTP; it is not passed on. Check the "
                                "upstream.",
                                {{"upstream", m_upstream.text()}, {"status", std::to_string(in.status)}});
        }
        if (m_answer.complete) {
            m_answer.response = toHttpResponse(in, Body(body.releaseBytes(), body.releaseCharge()));
        }
        return m_answer;
    }

    /// Whether the connection can serve another request.
    [[nodiscard]] bool isReusable() const
    {
        return m_answer.complete && socket_.is_open();
    }

    /// Whether the upstream has closed the idle connection or has sent bytes that belong to no request.
    [[nodiscard]] bool hasUnreadBytes() const
    {
        char byte = 0;
        return ::recv(socket_.sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
    }

    TimePoint idleSince;

private:
    static httplib::Request toLibraryRequest(const HttpRequest &in)
    {
        httplib::Request out;
        out.method = in.method;
        out.path = in.target;
        out.body = in.body;
        for (const auto &[name, value] : in.headers) {
            if (!isHopByHopHeader(name)) {
                out.headers.emplace(name, value);
            }
        }
        return out;
    }

    static HttpResponse toHttpResponse(const httplib::Response &in, Body body)
    {
        HttpResponse out{in.status, {}, std::move(body), false};
        for (const auto &[name, value] : in.headers) {
            if (!isHopByHopHeader(name)) {
                out.headers.emplace_back(name, value);
            }
        }
        return out;
    }

    bool create_and_connect_socket(Socket &socket, httplib::Error &error) override
    {
        Result<vanillatack::Socket> connected = connectTcp(m_upstream, m_connectTimeout);
        if (!connected) {
            error = httplib::Error::Connection;
            return false;
        }
        socket.sock = connected.value().release();
        return true;
    }

    bool process_socket(const Socket &socket, std::function<bool(httplib::Stream &)> exchangeOnStream) override
    {
        BufferedStream stream(socket.sock, m_cancelSocket);
        stream.setDeadline(m_deadline);
        // Renewed for each part of the body, so that it limits the bytes between two parts as well.
        stream.limitHead(MaxFramingBytes);
        m_stream = &stream;
        const bool done = exchangeOnStream(stream);
        m_stream = nullptr;
        if (stream.headTooLarge()) {
            UpstreamLog.warning("A response has more than " + std::to_string(MaxFramingBytes)
                                    + " bytes of head or framing; its connection is closed. Check the upstream.",
                                {{"upstream", m_upstream.text()}});
        }
        m_answer.sentAnything = stream.sentAnything();
        m_answer.cancelled = stream.wasCancelled();
        m_answer.timedOut = stream.timedOut();
        return done;
    }

    const Endpoint m_upstream;
    const Duration m_connectTimeout;
    TimePoint m_deadline;
    int m_cancelSocket = NoSocket;
    BufferedStream *m_stream = nullptr; ///< Set during an exchange.
    UpstreamAnswer m_answer;
};

class UpstreamClient final : public IUpstreamClient
{
public:
    explicit UpstreamClient(const UpstreamClientSettings &settings)
        : m_settings(settings)
        , m_memory(settings.memory ? settings.memory : makeDefaultMemoryBudget())
    {
    }

    UpstreamAnswer
    send(const Endpoint &upstream, const HttpRequest &request, TimePoint deadline, int cancelSocket) override
    {
        std::unique_ptr<UpstreamConnection> connection = acquire(upstream);
        UpstreamAnswer answer =
            connection->exchange(request, m_settings.maxBodyBytes, m_memory, deadline, cancelSocket);
        if (connection->isReusable()) {
            release(upstream, std::move(connection));
        }
        return answer;
    }

private:
    using IdleConnectionQueue = std::deque<std::unique_ptr<UpstreamConnection>>;

    std::unique_ptr<UpstreamConnection> acquire(const Endpoint &upstream)
    {
        // Destroyed after the lock is released, so that closing makes no system calls under it.
        IdleConnectionQueue expired;
        const std::lock_guard lock(m_mutex);
        IdleConnectionQueue &idle = m_idle[upstream];
        const TimePoint oldest = std::chrono::steady_clock::now() - m_settings.idleLifetime;
        while (!idle.empty() && idle.front()->idleSince < oldest) {
            expired.push_back(std::move(idle.front()));
            idle.pop_front();
        }
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (!connection->hasUnreadBytes()) {
                return connection;
            }
            expired.push_back(std::move(connection));
        }
        return std::make_unique<UpstreamConnection>(upstream, m_settings.connectTimeout);
    }

    void release(const Endpoint &upstream, std::unique_ptr<UpstreamConnection> connection)
    {
        connection->idleSince = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        IdleConnectionQueue &idle = m_idle[upstream];
        if (idle.size() < m_settings.maxIdle) {
            idle.push_back(std::move(connection));
        }
    }

    const UpstreamClientSettings m_settings;
    std::shared_ptr<MemoryBudget> m_memory;
    std::mutex m_mutex;
    std::map<Endpoint, IdleConnectionQueue> m_idle;
};

} // namespace

std::unique_ptr<IUpstreamClient> makeUpstreamClient(const UpstreamClientSettings &settings)
{
    return std::make_unique<UpstreamClient>(settings);
}

} // namespace vanillatack
