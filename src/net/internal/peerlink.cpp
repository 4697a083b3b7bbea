#include "net/peerlink.h"

#include "base/log.h"
#include "net/internal/frameconnection.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <vector>

namespace vanillatack {

namespace {

using boost::system::error_code;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;
using FramePointer = std::shared_ptr<FrameConnection>;

constexpr Log LinkLog("peerlink");
/// Pause of accepting when the process has no file descriptor left.
constexpr Duration AcceptPause = std::chrono::milliseconds(50);
/// Silence of a peer with unacknowledged bytes after which the kernel gives its connection up.
constexpr Duration DeadPeerTimeout = std::chrono::seconds(3);
/// Bytes that wait for a slow node, above which it gets no further calls.
constexpr std::size_t BacklogLimit = std::size_t{8} << 20;
/// Longest datagram that UDP carries.
constexpr std::size_t DatagramBytes = 65536;

class PeerLink final : public IPeerLink
{
public:
    PeerLink(EventLoop &loop, IPeerListener &listener, const PeerLinkSettings &settings)
        : m_loop(loop)
        , m_listener(listener)
        , m_settings(settings)
        , m_acceptor(loop.context())
        , m_datagrams(loop.context())
    {
    }

    Result<void> listen(const Endpoint &endpoint) override;
    OutgoingCallId call(const Endpoint &node, CallRequest request, PeerCompletion completion) override;
    OutgoingCallId watchTable(const Endpoint &node, TableWatch watch, PeerTableCompletion completion) override;
    void cancel(OutgoingCallId call) override;
    void reply(PeerCallId call, CallReply reply) override;
    void replyTable(PeerCallId call, TableChanges changes) override;
    void send(const std::vector<Endpoint> &nodes, const PeerDatagram &message) override;

private:
    struct Outgoing {
        Endpoint node;
        std::function<void(PeerCallOutcome, Frame)> completion;
    };

    /// The connection to one node and the calls on it.
    struct Peer {
        FramePointer connection; ///< Empty while connecting.
        std::map<OutgoingCallId, Frame> waiting; ///< Until the connection is there.
        std::map<OutgoingCallId, bool> out;
        TimePoint probedAt;
        TimePoint cancelledAt; ///< Last cancellation; whether it arrived is known once the node is heard again.
        bool connecting = false;
    };

    /// A connection that another node has opened.
    struct Caller {
        std::map<std::uint64_t, PeerCallId> calls;
        /// Smallest difference seen of this node's clock and the stamps of frames: the clocks' difference and the
        /// shortest time under way. What a frame has above it, it was held up.
        std::optional<Duration> clockDifference;
    };

    struct Incoming {
        FramePointer connection;
        std::uint64_t requestId = 0; ///< As chosen by the calling node.
    };

    void accept();
    void receiveDatagram();
    void onDatagram(std::string_view bytes);
    void connect(const Endpoint &node);
    void onConnected(const Endpoint &node, const FramePointer &connection);
    void onPeerFrame(const Endpoint &node, Frame frame);
    void onCallerFrame(const FramePointer &connection, Frame frame);
    void abandonCalls(const FramePointer &connection);
    Duration heldUp(Caller &caller, Duration sentAt) const;
    void refuseLate(const FramePointer &connection, const CallRequest &request);
    void sendCall(OutgoingCallId id, const Endpoint &node, Frame frame);
    PeerCallId addIncoming(const FramePointer &connection, std::uint64_t requestId);
    FramePointer takeIncoming(PeerCallId call, std::uint64_t &requestId);
    void failPeer(const Endpoint &node);
    void watch(const Endpoint &node);
    void complete(OutgoingCallId call, PeerCallOutcome end, Frame reply = CallReply{});

    EventLoop &m_loop;
    IPeerListener &m_listener;
    PeerLinkSettings m_settings;
    SystemClock m_clock;
    Tcp::acceptor m_acceptor;
    Udp::socket m_datagrams;
    std::array<char, DatagramBytes> m_datagram{};
    Udp::endpoint m_datagramSender;
    std::uint64_t m_lastId = 0;
    std::map<Endpoint, Peer> m_peers;
    absl::flat_hash_map<OutgoingCallId, Outgoing> m_outgoing;
    absl::flat_hash_map<PeerCallId, Incoming> m_incoming;
    std::map<FramePointer, Caller> m_callers;
};

Result<void> PeerLink::listen(const Endpoint &endpoint)
{
    error_code error;
    m_acceptor.open(Tcp::v4(), error);
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(toTcp(endpoint), error);
    if (!error) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        m_datagrams.open(Udp::v4(), error);
    }
    if (!error) {
        m_datagrams.bind({toTcp(endpoint).address(), endpoint.port}, error);
    }
    if (error) {
        return makeError(ErrorKind::Unavailable,
                         "The node port " + endpoint.text() + " cannot be opened: " + error.message() + ".",
                         "Choose a free port of an address of this VM.");
    }
    accept();
    receiveDatagram();
    return success();
}

void PeerLink::accept()
{
    m_acceptor.async_accept([this](const error_code &error, Tcp::socket socket) {
        if (error) {
            LinkLog.warning("A connection of a node could not be accepted.", {{"error", error.message()}});
            m_loop.callAfter(AcceptPause, [this] {
                accept();
            });
            return;
        }
        auto connection = std::make_shared<FrameConnection>(std::move(socket), m_settings.maxFrameBytes);
        setDeadPeerDetection(connection->socket(), DeadPeerTimeout);
        m_callers[connection] = {};
        const std::weak_ptr<FrameConnection> weak = connection;
        connection->start({.onFrame =
                               [this, weak](Frame frame) {
                                   if (const FramePointer caller = weak.lock()) {
                                       onCallerFrame(caller, std::move(frame));
                                   }
                               },
                           .onClosed =
                               [this, weak] {
                                   if (const FramePointer caller = weak.lock()) {
                                       abandonCalls(caller);
                                   }
                               }});
        accept();
    });
}

void PeerLink::receiveDatagram()
{
    m_datagrams.async_receive_from(
        boost::asio::buffer(m_datagram), m_datagramSender, [this](const error_code &error, std::size_t bytes) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                onDatagram({m_datagram.data(), bytes});
            }
            receiveDatagram();
        });
}

void PeerLink::onDatagram(std::string_view bytes)
{
    const Result<Frame> frame = decodePackedFrame(bytes);
    if (!frame) {
        LinkLog.warning("A datagram cannot be decoded.", {{"error", frame.error().text()}});
        return;
    }
    std::visit(
        [this](const auto &message) {
            if constexpr (std::is_constructible_v<PeerDatagram, decltype(message)>) {
                m_listener.onDatagram(message);
            } else {
                LinkLog.warning("A datagram holds a message that needs a connection; it is dropped.");
            }
        },
        frame.value());
}

void PeerLink::send(const std::vector<Endpoint> &nodes, const PeerDatagram &message)
{
    const std::string bytes = std::visit(
        [](const auto &content) {
            return encodePackedFrame(content);
        },
        message);
    for (const Endpoint &node : nodes) {
        error_code ignored; // All messages are sent again or replaced by newer ones.
        m_datagrams.send_to(boost::asio::buffer(bytes), {toTcp(node).address(), node.port}, 0, ignored);
    }
}

OutgoingCallId PeerLink::call(const Endpoint &node, CallRequest request, PeerCompletion completion)
{
    const OutgoingCallId id{++m_lastId};
    request.requestId = id.value;
    request.sentAt = m_clock.elapsed();
    m_outgoing.emplace(id, Outgoing{node, [completion = std::move(completion)](PeerCallOutcome end, Frame frame) {
                                        auto *reply = std::get_if<CallReply>(&frame);
                                        completion(reply ? end : PeerCallOutcome::Broken,
                                                   reply ? std::move(*reply) : CallReply{});
                                    }});
    sendCall(id, node, std::move(request));
    return id;
}

OutgoingCallId PeerLink::watchTable(const Endpoint &node, TableWatch watch, PeerTableCompletion completion)
{
    const OutgoingCallId id{++m_lastId};
    watch.requestId = id.value;
    m_outgoing.emplace(id, Outgoing{node, [completion = std::move(completion)](PeerCallOutcome end, Frame frame) {
                                        auto *changes = std::get_if<TableChanges>(&frame);
                                        completion(end, changes ? std::move(*changes) : TableChanges{});
                                    }});
    sendCall(id, node, std::move(watch));
    return id;
}

/// Sends a call on the connection to the node, or once there is one.
void PeerLink::sendCall(OutgoingCallId id, const Endpoint &node, Frame frame)
{
    Peer &peer = m_peers[node];
    if (peer.connection && peer.connection->backlog() > BacklogLimit) {
        boost::asio::post(m_loop.context(), [this, id] {
            complete(id, PeerCallOutcome::NotSent);
        });
        return;
    }
    if (peer.connection) {
        peer.out[id] = true;
        peer.connection->send(frame);
        return;
    }
    peer.waiting.emplace(id, std::move(frame));
    if (!peer.connecting) {
        peer.connecting = true;
        connect(node);
    }
}

void PeerLink::connect(const Endpoint &node)
{
    auto connection = std::make_shared<FrameConnection>(Tcp::socket(m_loop.context()), m_settings.maxFrameBytes);
    const EventLoop::TimerId limit = m_loop.callAfter(m_settings.connectTimeout, [connection] {
        error_code ignored; // Ends the attempt to connect, which reports the failure.
        connection->socket().close(ignored);
    });
    connection->socket().async_connect(toTcp(node), [this, node, connection, limit](const error_code &error) {
        m_loop.cancel(limit);
        if (error || !connection->socket().is_open()) {
            failPeer(node);
            return;
        }
        onConnected(node, connection);
    });
}

void PeerLink::onConnected(const Endpoint &node, const FramePointer &connection)
{
    setDeadPeerDetection(connection->socket(), DeadPeerTimeout);
    Peer &peer = m_peers[node];
    peer.connection = connection;
    connection->start({.onFrame =
                           [this, node](Frame frame) {
                               onPeerFrame(node, std::move(frame));
                           },
                       .onClosed =
                           [this, node] {
                               failPeer(node);
                           }});
    // Gives the other node a stamp that was not held up, before calls that waited for the connection.
    connection->send(LinkProbe{.sequence = ++m_lastId, .answer = false, .sentAt = m_clock.elapsed()});
    for (auto &[id, request] : peer.waiting) {
        peer.out[id] = true;
        connection->send(request);
    }
    peer.waiting.clear();
    watch(node);
}

/// Finds connections that went silent: probes them while calls are out, and ends them when no answer comes.
void PeerLink::watch(const Endpoint &node)
{
    m_loop.callAfter(m_settings.probeInterval, [this, node] {
        const auto entry = m_peers.find(node);
        if (entry == m_peers.end() || !entry->second.connection) {
            return;
        }
        Peer &peer = entry->second;
        const Duration silence = m_clock.now() - peer.connection->lastHeard();
        const bool expecting = !peer.out.empty() || peer.cancelledAt >= peer.connection->lastHeard();
        if (expecting && silence > m_settings.silenceTimeout
            && m_clock.now() - peer.probedAt < m_settings.silenceTimeout) {
            LinkLog.warning("A node does not answer; its connection is closed.", {{"node", node.text()}});
            peer.connection->abort();
            return;
        }
        if (expecting && silence > m_settings.probeInterval) {
            peer.probedAt = m_clock.now();
            peer.connection->send(LinkProbe{.sequence = ++m_lastId, .answer = false, .sentAt = m_clock.elapsed()});
        }
        watch(node);
    });
}

void PeerLink::onPeerFrame(const Endpoint &node, Frame frame)
{
    OutgoingCallId id;
    if (const auto *reply = std::get_if<CallReply>(&frame)) {
        id.value = reply->requestId;
    } else if (const auto *changes = std::get_if<TableChanges>(&frame)) {
        id.value = changes->requestId;
    } else {
        return;
    }
    m_peers[node].out.erase(id);
    complete(id, PeerCallOutcome::Replied, std::move(frame));
}

void PeerLink::failPeer(const Endpoint &node)
{
    auto peer = m_peers.extract(node);
    if (peer.empty()) {
        return;
    }
    for (const auto &[id, request] : peer.mapped().waiting) {
        complete(id, PeerCallOutcome::NotSent);
    }
    for (const auto &[id, unused] : peer.mapped().out) {
        complete(id, PeerCallOutcome::Broken);
    }
}

void PeerLink::complete(OutgoingCallId call, PeerCallOutcome end, Frame reply)
{
    const auto entry = m_outgoing.find(call);
    if (entry == m_outgoing.end()) {
        return;
    }
    const auto completion = std::move(entry->second.completion);
    m_outgoing.erase(entry);
    completion(end, std::move(reply));
}

void PeerLink::cancel(OutgoingCallId call)
{
    const auto entry = m_outgoing.find(call);
    if (entry == m_outgoing.end()) {
        return;
    }
    Peer &peer = m_peers[entry->second.node];
    m_outgoing.erase(entry);
    peer.waiting.erase(call);
    if (peer.out.erase(call) == 1 && peer.connection) {
        peer.cancelledAt = m_clock.now();
        peer.connection->send(CallCancel{call.value});
    }
}

void PeerLink::onCallerFrame(const FramePointer &connection, Frame frame)
{
    if (auto *request = std::get_if<CallRequest>(&frame)) {
        request->deadlineLeft -= heldUp(m_callers[connection], request->sentAt);
        if (request->deadlineLeft <= Duration{0}) {
            refuseLate(connection, *request);
            return;
        }
        m_listener.onCall(addIncoming(connection, request->requestId), std::move(*request));
    } else if (auto *watch = std::get_if<TableWatch>(&frame)) {
        m_listener.onTableWatch(addIncoming(connection, watch->requestId), std::move(*watch));
    } else if (const auto *cancel = std::get_if<CallCancel>(&frame)) {
        const auto call = m_callers[connection].calls.extract(cancel->requestId);
        if (!call.empty() && m_incoming.erase(call.mapped()) == 1) {
            m_listener.onCallAbandoned(call.mapped());
        }
    } else if (const auto *probe = std::get_if<LinkProbe>(&frame)) {
        heldUp(m_callers[connection], probe->sentAt);
        connection->send(LinkProbe{.sequence = probe->sequence, .answer = true, .sentAt = m_clock.elapsed()});
    }
}

/// How long a frame was under way beyond the usual, as when the network between two nodes was cut and healed.
Duration PeerLink::heldUp(Caller &caller, Duration sentAt) const
{
    const Duration difference = m_clock.elapsed() - sentAt;
    caller.clockDifference = std::min(caller.clockDifference.value_or(difference), difference);
    return difference - *caller.clockDifference;
}

void PeerLink::refuseLate(const FramePointer &connection, const CallRequest &request)
{
    LinkLog.warning("A call was held up until its deadline had passed; it is refused.", {{"id", request.rootId}});
    CallReply reply;
    reply.requestId = request.requestId;
    reply.refusal = RefusalKind::DeadlineExceeded;
    reply.runState = RunState::NotRun;
    connection->send(reply);
}

void PeerLink::abandonCalls(const FramePointer &connection)
{
    const auto calls = m_callers.extract(connection);
    if (calls.empty()) {
        return;
    }
    for (const auto &[requestId, id] : calls.mapped().calls) {
        if (m_incoming.erase(id) == 1) {
            m_listener.onCallAbandoned(id);
        }
    }
}

PeerCallId PeerLink::addIncoming(const FramePointer &connection, std::uint64_t requestId)
{
    const PeerCallId id{++m_lastId};
    m_incoming.emplace(id, Incoming{connection, requestId});
    m_callers[connection].calls[requestId] = id;
    return id;
}

/// The connection on which the call is to be answered, or nullptr when it is over.
FramePointer PeerLink::takeIncoming(PeerCallId call, std::uint64_t &requestId)
{
    const auto entry = m_incoming.find(call);
    if (entry == m_incoming.end()) {
        return nullptr;
    }
    const Incoming incoming = entry->second;
    m_incoming.erase(entry);
    m_callers[incoming.connection].calls.erase(incoming.requestId);
    requestId = incoming.requestId;
    return incoming.connection;
}

void PeerLink::reply(PeerCallId call, CallReply reply)
{
    if (const FramePointer connection = takeIncoming(call, reply.requestId)) {
        connection->send(reply);
    }
}

void PeerLink::replyTable(PeerCallId call, TableChanges changes)
{
    if (const FramePointer connection = takeIncoming(call, changes.requestId)) {
        connection->send(changes);
    }
}

} // namespace

std::unique_ptr<IPeerLink> makePeerLink(EventLoop &loop, IPeerListener &listener, const PeerLinkSettings &settings)
{
    return std::make_unique<PeerLink>(loop, listener, settings);
}

} // namespace vanillatack
