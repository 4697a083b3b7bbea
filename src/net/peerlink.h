#pragma once

#include "base/error.h"
#include "base/memorybudget.h"
#include "model/messages.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace vanillatack {

/// A call received from another node. Valid until it is answered or abandoned.
using PeerCallId = NumericId<struct PeerCallTag>;
/// A call to another node. Valid until it is completed or cancelled.
using OutgoingCallId = NumericId<struct OutgoingCallTag>;

/// Messages that are sent as datagrams and may be lost.
using PeerDatagram = std::variant<NodeReport, ReportBundle, RateAsk, RateGrant, DepartureNote>;

/// Receives the calls and datagrams of other nodes. Called on the loop's thread.
class IPeerListener
{
public:
    virtual ~IPeerListener() = default;

    /// Answer the call with IPeerLink::reply(), during this function or later.
    virtual void onCall(PeerCallId call, CallRequest request) = 0;

    /// Answer the watch with IPeerLink::replyTable(), during this function or later.
    virtual void onTableWatch(PeerCallId call, TableWatch watch) = 0;

    /// The calling node has cancelled the call or watch, or its connection was closed. The id is no longer valid.
    virtual void onCallAbandoned(PeerCallId call) = 0;

    /// A datagram has arrived; replies go to the sender's address, since the sender may not be registered yet.
    virtual void onDatagram(const PeerDatagram &message, const Endpoint &sender) = 0;
};

enum class PeerCallOutcome {
    Replied,
    NotSent, ///< No connection, or its backlog is full; no byte of the call reached the node.
    Broken, ///< The connection was closed or became unresponsive after the call was sent.
};

using PeerCompletion = std::function<void(PeerCallOutcome, CallReply)>;
using PeerTableCompletion = std::function<void(PeerCallOutcome, TableChanges)>;

struct PeerLinkSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    /// Interval of the liveness probes while a reply is expected and nothing is received.
    Duration probeInterval = std::chrono::milliseconds(500);
    /// A connection on which a reply is expected is reset when nothing is received for this time.
    Duration unresponsiveTimeout = std::chrono::milliseconds(1800);
    /// A connection of another node is closed when the rest of a frame does not arrive for this time.
    Duration frameTimeout = std::chrono::seconds(10);
    /// Connections of other nodes above which the one that has been idle for longest is closed.
    std::size_t maxConnections = 400;
    /// Charged with frames that are incomplete or wait to be written. If null, the link has one of its own.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

/// Event-driven link between the nodes of vanillatack-sidecar. One connection to each node carries any number of
/// concurrent calls as length-prefixed Cap'n Proto messages. Load reports and token requests are sent as datagrams to
/// the same port. A call whose body does not fit into the memory budget is refused as not run, and the answer to a call
/// whose body does not fit is lost. Nodes are not authenticated; the link cannot talk to IThreadedPeerLink, which
/// requires a handshake.
class IPeerLink
{
public:
    virtual ~IPeerLink() = default;

    /// Errors: Unavailable when the address cannot be bound.
    virtual Result<void> listen(const Endpoint &endpoint) = 0;

    /// The completion is called once on the loop's thread, unless the call is cancelled.
    virtual OutgoingCallId call(const Endpoint &node, CallRequest request, PeerCompletion completion) = 0;

    /// Sends a table watch; the completion is called as for call().
    virtual OutgoingCallId watchTable(const Endpoint &node, TableWatch watch, PeerTableCompletion completion) = 0;

    /// Cancels a call or watch and notifies the node. Unknown calls are ignored. Returns NotRun if no byte of the call
    /// was sent, otherwise Unknown.
    virtual RunState cancel(OutgoingCallId call) = 0;

    /// Answers a call. Abandoned calls are ignored.
    virtual void reply(PeerCallId call, CallReply reply) = 0;
    virtual void replyTable(PeerCallId call, TableChanges changes) = 0;

    /// Whether bytes of calls or replies have not been taken by the connection to their node.
    [[nodiscard]] virtual bool hasUnsentFrames() const = 0;

    /// Sends a datagram to each node. Datagrams can be lost.
    virtual void send(const std::vector<Endpoint> &nodes, const PeerDatagram &message) = 0;
};

/// The loop and the listener must outlive the link.
std::unique_ptr<IPeerLink> makePeerLink(EventLoop &loop, IPeerListener &listener, const PeerLinkSettings &settings);

} // namespace vanillatack
