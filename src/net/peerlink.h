#pragma once

#include "base/error.h"
#include "model/messages.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace vanillatack {

/// A call of another node until it is answered.
using PeerCallId = NumericId<struct PeerCallTag>;
/// A call to another node until it ends.
using OutgoingCallId = NumericId<struct OutgoingCallTag>;

/// What is sent without a connection and may be lost.
using PeerDatagram = std::variant<NodeReport, ReportBundle, RateAsk, RateGrant>;

/// Takes what other nodes send. Called on the loop's thread.
class IPeerListener
{
public:
    virtual ~IPeerListener() = default;

    /// Answered by IPeerLink::reply(), at once or later.
    virtual void onCall(PeerCallId call, CallRequest request) = 0;

    /// Answered by IPeerLink::replyTable(), at once or later.
    virtual void onTableWatch(PeerCallId call, TableWatch watch) = 0;

    /// The calling node no longer waits, or its connection ended. The call or watch is over.
    virtual void onCallAbandoned(PeerCallId call) = 0;

    virtual void onDatagram(const PeerDatagram &message) = 0;
};

enum class PeerCallOutcome {
    Replied,
    NotSent, ///< No connection; no byte of the call can have reached the node.
    Broken, ///< The connection ended or went silent after the call was sent.
};

using PeerCompletion = std::function<void(PeerCallOutcome, CallReply)>;
using PeerTableCompletion = std::function<void(PeerCallOutcome, TableChanges)>;

struct PeerLinkSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration probeInterval = std::chrono::milliseconds(500); ///< While calls are out and nothing is heard.
    Duration silenceTimeout = std::chrono::milliseconds(1800); ///< Then the connection counts as dead.
    std::size_t maxFrameBytes = std::size_t{66} << 20; ///< The largest body and its headers.
};

/// Calls between nodes. One connection to each node carries any number of calls; frames are Cap'n Proto messages with
/// their length in front. Load reports and asks for tokens go as datagrams to the same port.
class IPeerLink
{
public:
    virtual ~IPeerLink() = default;

    /// Errors: Unavailable when the address cannot be bound.
    virtual Result<void> listen(const Endpoint &endpoint) = 0;

    /// The completion is called once, on the loop's thread, unless the call is cancelled.
    virtual OutgoingCallId call(const Endpoint &node, CallRequest request, PeerCompletion completion) = 0;

    /// As call().
    virtual OutgoingCallId watchTable(const Endpoint &node, TableWatch watch, PeerTableCompletion completion) = 0;

    /// Tells the node that nobody waits any more. Unknown calls are ignored.
    virtual void cancel(OutgoingCallId call) = 0;

    /// Answers a call. Calls that were abandoned are ignored.
    virtual void reply(PeerCallId call, CallReply reply) = 0;
    virtual void replyTable(PeerCallId call, TableChanges changes) = 0;

    /// Sends a datagram to each of the nodes. Datagrams can be lost.
    virtual void send(const std::vector<Endpoint> &nodes, const PeerDatagram &message) = 0;
};

/// The loop and the listener must outlive the link.
std::unique_ptr<IPeerLink> makePeerLink(EventLoop &loop, IPeerListener &listener, const PeerLinkSettings &settings);

} // namespace vanillatack
