#include "net/peerlink.h"

#include "base/log.h"
#include "net/internal/frameconnection.h"
#include "net/internal/socketbuffers.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <optional>
#include <vector>

namespace vanillatack {

namespace {

using boost::system::error_code;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;
using FramePointer = std::shared_ptr<FrameConnection>;

constexpr Log LinkLog("peerlink");
/// Delay after a failed accept, for instance because the process has no free file descriptor.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);
/// The kernel closes a connection whose sent bytes stay unacknowledged for this time.
constexpr Duration TcpUserTimeout = std::chrono::seconds(3);
/// Unwritten bytes to a slow node above which further calls fail as NotSent.
constexpr std::size_t MaxBacklogBytes = std::size_t{8} << 20;
/// Maximum size of a UDP datagram.
constexpr std::size_t MaxDatagramBytes = 65536;

class PeerLink final : public IPeerLink
{
public:
    PeerLink(EventLoop &loop, IPeerListener &listener, const PeerLinkSettings &settings)
        : m_loop(loop)
        , m_listener(listener)
        , m_settings(settings)
        , m_memory(settings.memory ? settings.memory : makeDefaultMemoryBudget())
        , m_acceptor(loop.context())
        , m_datagrams(loop.context())
    {
    }

    Result<void> listen(const Endpoint &endpoint) override;
    OutgoingCallId call(const Endpoint &node, CallRequest request, PeerCompletion completion) override;
    OutgoingCallId watchTable(const Endpoint &node, TableWatch watch, PeerTableCompletion completion) override;
    RunState cancel(OutgoingCallId call) override;
    void reply(PeerCallId call, CallReply reply) override;
    void replyTable(PeerCallId call, TableChanges changes) override;
    [[nodiscard]] bool hasUnsentFrames() const override;
    void send(const std::vector<Endpoint> &nodes, const PeerDatagram &message) override;

private:
    struct OutgoingCall {
        Endpoint node;
        std::function<void(PeerCallOutcome, Frame)> completion;
    };

    /// Outbound connection to a node and the calls to it.
    struct Peer {
        FramePointer connection; ///< Null while connecting.
        std::map<OutgoingCallId, Frame> unsent; ///< Calls to send once connected.
        std::map<OutgoingCallId, bool> inFlight; ///< Calls sent and not yet answered; the value is unused.
        TimePoint probedAt;
        TimePoint lastCancelAt; ///< Last cancellation; whether it arrived is known once a later frame is received.
        bool connecting = false;
    };

    /// State of a connection that another node has opened.
    struct InboundConnection {
        std::map<std::uint64_t, PeerCallId> calls;
        /// Smallest difference seen between this node's clock and the timestamps of received frames: the clock offset
        /// plus the shortest transit time. The excess of a frame over it is the time by which the frame was delayed.
        std::optional<Duration> minClockDifference;
        bool receivedFrame = false;
    };

    struct IncomingCall {
        FramePointer connection;
        std::uint64_t requestId = 0; ///< Chosen by the calling node.
    };

    void accept();
    void receiveDatagram();
    void onDatagram(std::string_view bytes);
    void connect(const Endpoint &node);
    void onConnected(const Endpoint &node, const FramePointer &connection);
    void onReplyFrame(const Endpoint &node, Frame frame);
    void onRequestFrame(const FramePointer &connection, Frame frame);
    void closeExcessConnections();
    void closeStalledConnections();
    void onSkippedReply(const Endpoint &node, Frame frame);
    void refuseSkipped(const FramePointer &connection, const Frame &frame);
    void abandonCalls(const FramePointer &connection);
    Duration measureExcessDelay(InboundConnection &inbound, Duration sentAt) const;
    void refuseExpired(const FramePointer &connection, const CallRequest &request);
    void sendCall(OutgoingCallId id, const Endpoint &node, Frame frame);
    PeerCallId addIncoming(const FramePointer &connection, std::uint64_t requestId);
    FramePointer popIncoming(PeerCallId call, std::uint64_t &requestId);
    void failPeer(const Endpoint &node);
    void scheduleLivenessCheck(const Endpoint &node);
    void complete(OutgoingCallId call, PeerCallOutcome outcome, Frame reply = CallReply{});

    EventLoop &m_loop;
    IPeerListener &m_listener;
    PeerLinkSettings m_settings;
    std::shared_ptr<MemoryBudget> m_memory;
    SystemClock m_clock;
    Tcp::acceptor m_acceptor;
    Udp::socket m_datagrams;
    std::array<char, MaxDatagramBytes> m_datagram{};
    Udp::endpoint m_datagramSender;
    std::uint64_t m_lastId = 0;
    std::map<Endpoint, Peer> m_peers;
    absl::flat_hash_map<OutgoingCallId, OutgoingCall> m_outgoing;
    absl::flat_hash_map<PeerCallId, IncomingCall> m_incoming;
    std::map<FramePointer, InboundConnection> m_inbound;
};

Result<void> PeerLink::listen(const Endpoint &endpoint)
{
    error_code error;
    m_acceptor.open(Tcp::v4(), error);
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    limitSocketBuffers(m_acceptor, *m_memory);
    m_acceptor.bind(toTcpEndpoint(endpoint), error);
    if (!error) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        m_datagrams.open(Udp::v4(), error);
    }
    if (!error) {
        m_datagrams.bind({toTcpEndpoint(endpoint).address(), endpoint.port}, error);
    }
    if (error) {
        return makeError(ErrorKind::Unavailable,
                         "Cannot listen on the node port " + endpoint.text() + ": " + error.message() + ".",
                         "Choose a free port of an address of this VM.");
    }
    accept();
    receiveDatagram();
    closeStalledConnections();
    return success();
}

void PeerLink::accept()
{
    m_acceptor.async_accept([this](const error_code &error, Tcp::socket socket) {
        if (error) {
            LinkLog.warning(
                "Cannot accept a connection on the node port; retrying in "
                    + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(AcceptRetryDelay).count())
                    + " ms. If it persists, check the limit of file descriptors.",
                {{"error", error.message()}});
            m_loop.callAfter(AcceptRetryDelay, [this] {
                accept();
            });
            return;
        }
        auto connection = std::make_shared<FrameConnection>(std::move(socket), m_memory);
        setTcpUserTimeout(connection->socket(), TcpUserTimeout);
        m_inbound[connection] = {};
        const std::weak_ptr<FrameConnection> weak = connection;
        connection->start({.onFrame =
                               [this, weak](Frame frame) {
                                   if (const FramePointer caller = weak.lock()) {
                                       onRequestFrame(caller, std::move(frame));
                                   }
                               },
                           .onBodySkipped =
                               [this, weak](const Frame &frame) {
                                   if (const FramePointer caller = weak.lock()) {
                                       refuseSkipped(caller, frame);
                                   }
                               },
                           .onClosed =
                               [this, weak] {
                                   if (const FramePointer caller = weak.lock()) {
                                       abandonCalls(caller);
                                   }
                               }});
        closeExcessConnections();
        accept();
    });
}

/// Closes a connection when there are more than the limit: of those without a call in progress, one that has never sent
/// a frame, or the longest idle one.
void PeerLink::closeExcessConnections()
{
    if (m_inbound.size() <= m_settings.maxConnections) {
        return;
    }
    FramePointer idle;
    std::pair<bool, TimePoint> least;
    for (const auto &[connection, inbound] : m_inbound) {
        const std::pair use(inbound.receivedFrame, connection->lastReceived());
        if (inbound.calls.empty() && (!idle || use < least)) {
            idle = connection;
            least = use;
        }
    }
    if (idle) {
        LinkLog.warning(
            "Other nodes have more than " + std::to_string(m_settings.maxConnections)
            + " connections; closing the longest idle one. Check which processes connect to the node port.");
        idle->close();
    }
}

/// Closes the connections of other nodes on which the rest of a frame does not arrive. Repeats.
void PeerLink::closeStalledConnections()
{
    std::vector<FramePointer> stalled;
    for (const auto &[connection, inbound] : m_inbound) {
        if (connection->hasIncompleteFrame() && m_clock.now() - connection->lastReceived() > m_settings.frameTimeout) {
            stalled.push_back(connection);
        }
    }
    for (const FramePointer &connection : stalled) {
        LinkLog.warning("The rest of a frame of another node has not arrived; closing the connection. Check which "
                        "processes connect to the node port.");
        connection->close();
    }
    m_loop.callAfter(m_settings.frameTimeout / 4, [this] {
        closeStalledConnections();
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
        LinkLog.warning("A datagram from " + m_datagramSender.address().to_string()
                            + " cannot be decoded and is dropped.",
                        {{"error", frame.error().text()}});
        return;
    }
    std::visit(
        [this](const auto &message) {
            if constexpr (std::is_constructible_v<PeerDatagram, decltype(message)>) {
                m_listener.onDatagram(message, {m_datagramSender.address().to_string(), m_datagramSender.port()});
            } else {
                LinkLog.warning("A datagram from " + m_datagramSender.address().to_string()
                                + " contains a message that must be sent over a connection; it is dropped.");
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
        error_code ignored; // All datagrams are resent or superseded by newer ones.
        m_datagrams.send_to(boost::asio::buffer(bytes), {toTcpEndpoint(node).address(), node.port}, 0, ignored);
    }
}

bool PeerLink::hasUnsentFrames() const
{
    return std::any_of(m_inbound.begin(),
                       m_inbound.end(),
                       [](const auto &entry) {
                           return entry.first->backlog() > 0;
                       })
        || std::any_of(m_peers.begin(), m_peers.end(), [](const auto &entry) {
               const FramePointer &connection = entry.second.connection;
               return connection && connection->backlog() > 0;
           });
}

OutgoingCallId PeerLink::call(const Endpoint &node, CallRequest request, PeerCompletion completion)
{
    const OutgoingCallId id{++m_lastId};
    request.requestId = id.value;
    request.sentAt = m_clock.elapsed();
    m_outgoing.emplace(id,
                       OutgoingCall{node, [completion = std::move(completion)](PeerCallOutcome outcome, Frame frame) {
                                        auto *reply = std::get_if<CallReply>(&frame);
                                        completion(reply ? outcome : PeerCallOutcome::Broken,
                                                   reply ? std::move(*reply) : CallReply{});
                                    }});
    sendCall(id, node, std::move(request));
    return id;
}

OutgoingCallId PeerLink::watchTable(const Endpoint &node, TableWatch watch, PeerTableCompletion completion)
{
    const OutgoingCallId id{++m_lastId};
    watch.requestId = id.value;
    m_outgoing.emplace(id,
                       OutgoingCall{node, [completion = std::move(completion)](PeerCallOutcome outcome, Frame frame) {
                                        auto *changes = std::get_if<TableChanges>(&frame);
                                        completion(outcome, changes ? std::move(*changes) : TableChanges{});
                                    }});
    sendCall(id, node, std::move(watch));
    return id;
}

/// Sends a call on the connection to the node; without one, opens it and sends the call once connected.
void PeerLink::sendCall(OutgoingCallId id, const Endpoint &node, Frame frame)
{
    Peer &peer = m_peers[node];
    if (peer.connection && peer.connection->backlog() > MaxBacklogBytes) {
        boost::asio::post(m_loop.context(), [this, id] {
            complete(id, PeerCallOutcome::NotSent);
        });
        return;
    }
    if (peer.connection) {
        peer.inFlight[id] = true;
        peer.connection->send(std::move(frame));
        return;
    }
    peer.unsent.emplace(id, std::move(frame));
    if (!peer.connecting) {
        peer.connecting = true;
        connect(node);
    }
}

void PeerLink::connect(const Endpoint &node)
{
    auto connection = std::make_shared<FrameConnection>(Tcp::socket(m_loop.context()), m_memory);
    error_code ignored; // Connecting reports a socket that cannot be opened.
    connection->socket().open(Tcp::v4(), ignored);
    limitSocketBuffers(connection->socket(), *m_memory);
    const EventLoop::TimerId connectTimer = m_loop.callAfter(m_settings.connectTimeout, [connection] {
        error_code unused; // Closing aborts the connection attempt, which reports the failure.
        connection->socket().close(unused);
    });
    connection->socket().async_connect(toTcpEndpoint(node),
                                       [this, node, connection, connectTimer](const error_code &error) {
                                           m_loop.cancel(connectTimer);
                                           if (error || !connection->socket().is_open()) {
                                               failPeer(node);
                                               return;
                                           }
                                           onConnected(node, connection);
                                       });
}

void PeerLink::onConnected(const Endpoint &node, const FramePointer &connection)
{
    watchForReadsOnly(connection->socket());
    setTcpUserTimeout(connection->socket(), TcpUserTimeout);
    Peer &peer = m_peers[node];
    peer.connection = connection;
    connection->start({.onFrame =
                           [this, node](Frame frame) {
                               onReplyFrame(node, std::move(frame));
                           },
                       .onBodySkipped =
                           [this, node](Frame frame) {
                               onSkippedReply(node, std::move(frame));
                           },
                       .onClosed =
                           [this, node] {
                               failPeer(node);
                           }});
    // Gives the other node a timestamp that was not delayed, before the calls that waited for the connection.
    connection->send(LinkProbe{.sequence = ++m_lastId, .answer = false, .sentAt = m_clock.elapsed()});
    for (auto &[id, request] : peer.unsent) {
        peer.inFlight[id] = true;
        connection->send(std::move(request));
    }
    peer.unsent.clear();
    scheduleLivenessCheck(node);
}

/// Checks the connection after the probe interval: while a reply is expected, probes it when nothing is received, and
/// aborts it when it is unresponsive.
void PeerLink::scheduleLivenessCheck(const Endpoint &node)
{
    m_loop.callAfter(m_settings.probeInterval, [this, node] {
        const auto entry = m_peers.find(node);
        if (entry == m_peers.end() || !entry->second.connection) {
            return;
        }
        Peer &peer = entry->second;
        // A long body keeps probes and their answers waiting, but the other node takes its bytes.
        const Duration silence = m_clock.now() - peer.connection->lastProgress();
        const bool expecting = !peer.inFlight.empty() || peer.lastCancelAt >= peer.connection->lastReceived();
        if (expecting && silence > m_settings.unresponsiveTimeout
            && m_clock.now() - peer.probedAt < m_settings.unresponsiveTimeout) {
            LinkLog.warning("A node is unresponsive; resetting its connection.", {{"node", node.text()}});
            peer.connection->abort();
            return;
        }
        if (expecting && silence > m_settings.probeInterval) {
            peer.probedAt = m_clock.now();
            peer.connection->send(LinkProbe{.sequence = ++m_lastId, .answer = false, .sentAt = m_clock.elapsed()});
        }
        scheduleLivenessCheck(node);
    });
}

void PeerLink::onReplyFrame(const Endpoint &node, Frame frame)
{
    OutgoingCallId id;
    if (const auto *reply = std::get_if<CallReply>(&frame)) {
        id.value = reply->requestId;
    } else if (const auto *changes = std::get_if<TableChanges>(&frame)) {
        id.value = changes->requestId;
    } else {
        return;
    }
    m_peers[node].inFlight.erase(id);
    complete(id, PeerCallOutcome::Replied, std::move(frame));
}

/// Completes a call whose answer could not be kept, as one with an unknown outcome.
void PeerLink::onSkippedReply(const Endpoint &node, Frame frame)
{
    if (auto *reply = std::get_if<CallReply>(&frame)) {
        CallReply lost;
        lost.requestId = reply->requestId;
        lost.refusal = RefusalKind::UpstreamFailed;
        lost.runState = RunState::Unknown;
        onReplyFrame(node, std::move(lost));
    }
}

void PeerLink::failPeer(const Endpoint &node)
{
    auto peer = m_peers.extract(node);
    if (peer.empty()) {
        return;
    }
    for (const auto &[id, request] : peer.mapped().unsent) {
        complete(id, PeerCallOutcome::NotSent);
    }
    for (const auto &[id, unused] : peer.mapped().inFlight) {
        complete(id, PeerCallOutcome::Broken);
    }
}

void PeerLink::complete(OutgoingCallId call, PeerCallOutcome outcome, Frame reply)
{
    const auto entry = m_outgoing.find(call);
    if (entry == m_outgoing.end()) {
        return;
    }
    const auto completion = std::move(entry->second.completion);
    m_outgoing.erase(entry);
    completion(outcome, std::move(reply));
}

RunState PeerLink::cancel(OutgoingCallId call)
{
    const auto entry = m_outgoing.find(call);
    if (entry == m_outgoing.end()) {
        return RunState::Unknown;
    }
    const auto found = m_peers.find(entry->second.node);
    m_outgoing.erase(entry);
    if (found == m_peers.end()) {
        return RunState::Unknown; // The connection has failed, and its calls are being completed.
    }
    Peer &peer = found->second;
    if (peer.unsent.erase(call) == 1) {
        return RunState::NotRun;
    }
    if (peer.inFlight.erase(call) == 1 && peer.connection) {
        peer.lastCancelAt = m_clock.now();
        peer.connection->send(CallCancel{call.value});
    }
    return RunState::Unknown;
}

void PeerLink::onRequestFrame(const FramePointer &connection, Frame frame)
{
    m_inbound[connection].receivedFrame = true;
    if (auto *request = std::get_if<CallRequest>(&frame)) {
        request->deadlineLeft -= measureExcessDelay(m_inbound[connection], request->sentAt);
        if (request->deadlineLeft <= Duration{0}) {
            refuseExpired(connection, *request);
            return;
        }
        m_listener.onCall(addIncoming(connection, request->requestId), std::move(*request));
    } else if (auto *watch = std::get_if<TableWatch>(&frame)) {
        m_listener.onTableWatch(addIncoming(connection, watch->requestId), std::move(*watch));
    } else if (const auto *cancel = std::get_if<CallCancel>(&frame)) {
        const auto call = m_inbound[connection].calls.extract(cancel->requestId);
        if (!call.empty() && m_incoming.erase(call.mapped()) == 1) {
            m_listener.onCallAbandoned(call.mapped());
        }
    } else if (const auto *probe = std::get_if<LinkProbe>(&frame)) {
        measureExcessDelay(m_inbound[connection], probe->sentAt);
        connection->send(LinkProbe{.sequence = probe->sequence, .answer = true, .sentAt = m_clock.elapsed()});
    }
}

/// Returns by how much the transit time of a frame exceeds the shortest one, as after a network partition between two
/// nodes. Updates the shortest one.
Duration PeerLink::measureExcessDelay(InboundConnection &inbound, Duration sentAt) const
{
    const Duration difference = m_clock.elapsed() - sentAt;
    inbound.minClockDifference = std::min(inbound.minClockDifference.value_or(difference), difference);
    return difference - *inbound.minClockDifference;
}

void PeerLink::refuseExpired(const FramePointer &connection, const CallRequest &request)
{
    LinkLog.warning(
        "A call was delayed past its deadline in the network and is refused; time left: "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(request.deadlineLeft).count())
            + " ms.",
        {{"id", request.rootId}});
    CallReply reply;
    reply.requestId = request.requestId;
    reply.refusal = RefusalKind::DeadlineExceeded;
    reply.runState = RunState::NotRun;
    connection->send(reply);
}

void PeerLink::refuseSkipped(const FramePointer &connection, const Frame &frame)
{
    if (const auto *request = std::get_if<CallRequest>(&frame)) {
        CallReply reply;
        reply.requestId = request->requestId;
        reply.refusal = RefusalKind::Overloaded;
        reply.runState = RunState::NotRun;
        connection->send(std::move(reply));
    }
}

void PeerLink::abandonCalls(const FramePointer &connection)
{
    const auto calls = m_inbound.extract(connection);
    if (calls.empty()) {
        return;
    }
    // All are removed first: the listener may reply to further calls of this connection when it learns that one is
    // abandoned.
    std::vector<PeerCallId> abandoned;
    for (const auto &[requestId, id] : calls.mapped().calls) {
        if (m_incoming.erase(id) == 1) {
            abandoned.push_back(id);
        }
    }
    for (const PeerCallId id : abandoned) {
        m_listener.onCallAbandoned(id);
    }
}

PeerCallId PeerLink::addIncoming(const FramePointer &connection, std::uint64_t requestId)
{
    const PeerCallId id{++m_lastId};
    m_incoming.emplace(id, IncomingCall{connection, requestId});
    m_inbound[connection].calls[requestId] = id;
    return id;
}

/// Removes a received call, sets requestId to the id that the calling node chose, and returns the call's connection.
/// Returns nullptr if the call was already answered or abandoned.
FramePointer PeerLink::popIncoming(PeerCallId call, std::uint64_t &requestId)
{
    const auto entry = m_incoming.find(call);
    if (entry == m_incoming.end()) {
        return nullptr;
    }
    const IncomingCall incoming = entry->second;
    m_incoming.erase(entry);
    if (const auto inbound = m_inbound.find(incoming.connection); inbound != m_inbound.end()) {
        inbound->second.calls.erase(incoming.requestId);
    }
    requestId = incoming.requestId;
    return incoming.connection;
}

void PeerLink::reply(PeerCallId call, CallReply reply)
{
    if (const FramePointer connection = popIncoming(call, reply.requestId)) {
        connection->send(std::move(reply));
    }
}

void PeerLink::replyTable(PeerCallId call, TableChanges changes)
{
    if (const FramePointer connection = popIncoming(call, changes.requestId)) {
        connection->send(std::move(changes));
    }
}

} // namespace

std::unique_ptr<IPeerLink> makePeerLink(EventLoop &loop, IPeerListener &listener, const PeerLinkSettings &settings)
{
    return std::make_unique<PeerLink>(loop, listener, settings);
}

} // namespace vanillatack
