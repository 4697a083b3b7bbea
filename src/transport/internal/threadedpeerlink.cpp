#include "transport/threadedpeerlink.h"

#include "base/digest.h"
#include "base/log.h"
#include "transport/internal/blockingframeconnection.h"
#include "transport/internal/connectionthreads.h"
#include "transport/internal/idleconnections.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace vanillatack {

namespace {

constexpr Log PeerLinkLog("nodelink");
constexpr std::size_t DatagramMacBytes = 16; ///< Truncated HMAC-SHA-256.
constexpr std::size_t MaxDatagramPayloadBytes = 1200;
constexpr std::size_t MaxDatagramBytes = 65536;
constexpr int ListenBacklog = 1024;
constexpr std::chrono::seconds ControlTimeout{2};
constexpr std::size_t MaxControlThreads = 4;
constexpr std::size_t MaxIdlePerNode = 256;

bool sendDatagram(const Socket &socket, const Endpoint &to, const std::string &bytes)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    if (inet_pton(AF_INET, to.address.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    const auto *target = reinterpret_cast<const sockaddr *>(&address);
    return ::sendto(socket.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT, target, sizeof(address)) > 0;
}

class ThreadedPeerLink final : public IThreadedPeerLink
{
public:
    ThreadedPeerLink(const ThreadedPeerLinkSettings &settings,
                     INodeHandler &handler,
                     IRandom &random,
                     ControlByteCounter countBytes)
        : m_settings(settings)
        , m_handler(handler)
        , m_random(random)
        , m_countBytes(std::move(countBytes))
        , m_memory(settings.memory ? settings.memory : makeDefaultMemoryBudget())
        , m_serverThreads(settings.maxConnections)
        , m_controlThreads(MaxControlThreads)
    {
    }

    ~ThreadedPeerLink() override
    {
        ThreadedPeerLink::stop();
    }

    Result<void> start() override
    {
        BOOST_OUTCOME_TRY(listener, listenTcp(m_settings.listen, ListenBacklog));
        BOOST_OUTCOME_TRY(datagrams, bindUdp(m_settings.listen));
        m_listener = std::move(listener);
        m_datagrams = std::move(datagrams);
        m_running = true;
        m_acceptThread = std::thread([this] {
            acceptConnections();
        });
        m_datagramThread = std::thread([this] {
            receiveDatagrams();
        });
        return success();
    }

    void stop() override
    {
        if (!m_running.exchange(false)) {
            return;
        }
        m_listener.shutdown();
        m_datagrams.shutdown();
        m_acceptThread.join();
        m_datagramThread.join();
        m_idleServerConnections.closeAll();
        m_serverThreads.stop();
        m_controlThreads.stop();
    }

    [[nodiscard]] std::size_t connections() const override
    {
        return m_serverThreads.active();
    }

    CallAttempt call(const Endpoint &node, const CallRequest &request, TimePoint deadline, int cancelSocket) override
    {
        std::unique_ptr<BlockingFrameConnection> connection = acquireIdle(node);
        if (!connection) {
            connection = open(node, deadline);
        }
        CallAttempt attempt;
        if (!connection) {
            return attempt;
        }
        connection->resetFlags();
        if (!connection->write(request)) {
            attempt.outcome = connection->sentAnything() ? LinkCallOutcome::Broken : LinkCallOutcome::NotSent;
            return attempt;
        }
        std::optional<Frame> frame = connection->read(deadline, cancelSocket);
        auto *reply = frame ? std::get_if<CallReply>(&*frame) : nullptr;
        if (!reply || reply->requestId != request.requestId) {
            // Destroying the connection cancels the call at the peer and keeps a late reply from reaching another call.
            attempt.outcome = connection->wasCancelled() ? LinkCallOutcome::Cancelled : LinkCallOutcome::Broken;
            return attempt;
        }
        attempt.outcome = LinkCallOutcome::Replied;
        attempt.reply = std::move(*reply);
        release(node, std::move(connection));
        return attempt;
    }

    void send(const Endpoint &to, const ControlMessage &message) override
    {
        const ControlFrame frame{m_settings.listen, message};
        const std::string bytes = encodeFrame(frame);
        m_countBytes(true, bytes.size() + DatagramMacBytes);
        if (bytes.size() <= MaxDatagramPayloadBytes) {
            const std::string mac = hmacSha256(m_settings.secret, bytes).substr(0, DatagramMacBytes);
            sendDatagram(m_datagrams, to, mac + bytes);
            return;
        }
        m_controlThreads.run([this, to, frame] {
            sendOverConnection(to, frame);
        });
    }

private:
    using IdleConnectionQueue = std::deque<std::unique_ptr<BlockingFrameConnection>>;

    void sendOverConnection(const Endpoint &to, const ControlFrame &frame)
    {
        const TimePoint deadline = std::chrono::steady_clock::now() + ControlTimeout;
        std::unique_ptr<BlockingFrameConnection> connection = acquireIdle(to);
        if (!connection) {
            connection = open(to, deadline);
        }
        if (connection && connection->write(frame) && connection->flush()) {
            release(to, std::move(connection));
        }
    }

    std::unique_ptr<BlockingFrameConnection> open(const Endpoint &node, TimePoint deadline)
    {
        Result<Socket> socket = connectTcp(node, m_settings.connectTimeout);
        if (!socket) {
            return nullptr;
        }
        auto connection =
            std::make_unique<BlockingFrameConnection>(std::move(socket.value()), m_settings.maxFrameBytes, m_memory);
        const TimePoint handshakeEnd = std::chrono::steady_clock::now() + m_settings.handshakeTimeout;
        if (!handshakeAsCaller(*connection, m_settings.secret, m_random, std::min(deadline, handshakeEnd))) {
            PeerLinkLog.warning("The handshake with a node failed; the connection is closed. "
                                "Check that both nodes have the same fleet_secret.",
                                {{"node", node.text()}});
            return nullptr;
        }
        return connection;
    }

    std::unique_ptr<BlockingFrameConnection> acquireIdle(const Endpoint &node)
    {
        // Destroyed after the lock is released, so that closing makes no system calls under it.
        IdleConnectionQueue expired;
        const std::lock_guard lock(m_mutex);
        IdleConnectionQueue &idle = m_idle[node];
        const TimePoint oldest = std::chrono::steady_clock::now() - m_settings.idleLifetime;
        while (!idle.empty() && (idle.front()->idleSince < oldest || isHungUp(idle.front()->socket().descriptor()))) {
            expired.push_back(std::move(idle.front()));
            idle.pop_front();
        }
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (!isHungUp(connection->socket().descriptor())) {
                return connection;
            }
            expired.push_back(std::move(connection));
        }
        return nullptr;
    }

    void release(const Endpoint &node, std::unique_ptr<BlockingFrameConnection> connection)
    {
        connection->idleSince = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        IdleConnectionQueue &idle = m_idle[node];
        if (idle.size() < MaxIdlePerNode) {
            idle.push_back(std::move(connection));
        }
    }

    void acceptConnections()
    {
        while (m_running) {
            const int accepted = ::accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                // Out of descriptors or shut down; the pause prevents a busy loop.
                std::this_thread::sleep_for(std::chrono::milliseconds(m_running ? 5 : 0));
                continue;
            }
            setTcpNoDelay(accepted);
            m_serverThreads.run([this, accepted] {
                serve(BlockingFrameConnection(Socket(accepted), m_settings.maxFrameBytes, m_memory));
            });
            if (m_serverThreads.isSaturated()) {
                m_idleServerConnections.closeOldest();
            }
        }
    }

    void serve(BlockingFrameConnection connection)
    {
        const TimePoint handshakeEnd = std::chrono::steady_clock::now() + m_settings.handshakeTimeout;
        if (!handshakeAsServer(connection, m_settings.secret, m_random, handshakeEnd)) {
            PeerLinkLog.warning("The handshake of an inbound connection failed; the connection is closed. "
                                "Check that all nodes have the same fleet_secret.");
            return;
        }
        while (waitForFrame(connection)) {
            std::optional<Frame> frame =
                connection.read(std::chrono::steady_clock::now() + m_settings.handshakeTimeout);
            if (!frame || !handle(connection, *frame)) {
                return;
            }
        }
    }

    bool waitForFrame(BlockingFrameConnection &connection)
    {
        const int socket = connection.socket().descriptor();
        const bool mayIdle = m_idleServerConnections.add(socket);
        // Twice the idle lifetime of the calling side, so that it never calls on a connection that is being closed.
        const Duration timeout = mayIdle ? m_settings.idleLifetime + m_settings.idleLifetime : Duration::zero();
        const WaitResult result = connection.waitForFrame(std::chrono::steady_clock::now() + timeout);
        m_idleServerConnections.remove(socket);
        return result == WaitResult::Ready;
    }

    bool handle(BlockingFrameConnection &connection, const Frame &frame)
    {
        if (const auto *request = std::get_if<CallRequest>(&frame)) {
            CallReply reply = m_handler.handleCall(*request, connection.socket().descriptor());
            reply.requestId = request->requestId;
            return connection.write(reply) && connection.flush();
        }
        if (const auto *control = std::get_if<ControlFrame>(&frame)) {
            m_handler.handleControl(*control);
            return true;
        }
        return false;
    }

    void receiveDatagrams()
    {
        std::string buffer(MaxDatagramBytes, '\0');
        while (m_running) {
            const ssize_t size = ::recv(m_datagrams.descriptor(), buffer.data(), buffer.size(), 0);
            if (size > static_cast<ssize_t>(DatagramMacBytes)) {
                handleDatagram(std::string_view(buffer).substr(0, static_cast<std::size_t>(size)));
            }
        }
    }

    void handleDatagram(std::string_view datagram)
    {
        const std::string_view mac = datagram.substr(0, DatagramMacBytes);
        const std::string_view bytes = datagram.substr(DatagramMacBytes);
        if (!equalConstantTime(mac, hmacSha256(m_settings.secret, bytes).substr(0, DatagramMacBytes))) {
            return;
        }
        m_countBytes(false, datagram.size());
        const Result<Frame> frame = decodeFrame(bytes);
        const auto *control = frame ? std::get_if<ControlFrame>(&frame.value()) : nullptr;
        if (control) {
            m_handler.handleControl(*control);
        }
    }

    const ThreadedPeerLinkSettings m_settings;
    INodeHandler &m_handler;
    IRandom &m_random;
    const ControlByteCounter m_countBytes;
    std::shared_ptr<MemoryBudget> m_memory;
    Socket m_listener;
    Socket m_datagrams;
    std::atomic<bool> m_running = false;
    std::thread m_acceptThread;
    std::thread m_datagramThread;
    IdleConnections m_idleServerConnections;
    ConnectionThreads m_serverThreads;
    ConnectionThreads m_controlThreads;
    std::mutex m_mutex;
    std::map<Endpoint, IdleConnectionQueue> m_idle;
};

} // namespace

std::unique_ptr<IThreadedPeerLink> makeThreadedPeerLink(const ThreadedPeerLinkSettings &settings,
                                                        INodeHandler &handler,
                                                        IRandom &random,
                                                        ControlByteCounter countBytes)
{
    return std::make_unique<ThreadedPeerLink>(settings, handler, random, std::move(countBytes));
}

} // namespace vanillatack
