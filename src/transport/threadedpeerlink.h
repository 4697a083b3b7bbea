#pragma once

#include "base/memorybudget.h"
#include "base/random.h"
#include "model/messages.h"
#include "transport/socket.h"
#include "wire/codec.h"

#include <functional>
#include <memory>
#include <string>

namespace vanillatack {

/// Handles calls and control messages of other nodes. Called on many threads at once.
class INodeHandler
{
public:
    virtual ~INodeHandler() = default;

    /// The peer closes peerSocket when it abandons the call; see isHungUp().
    virtual CallReply handleCall(const CallRequest &request, int peerSocket) = 0;
    virtual void handleControl(const ControlFrame &frame) = 0;
};

/// Outcome of a call to another node. PeerCallOutcome of IPeerLink has no Cancelled, since its calls do not block.
enum class LinkCallOutcome {
    Replied,
    NotSent, ///< No byte of the call was sent: no connection, it failed, or the call exceeds maxFrameBytes.
    Broken, ///< The connection ended or the deadline passed after bytes of the call may have been sent.
    Cancelled, ///< The peer of cancelSocket hung up.
};

struct CallAttempt {
    LinkCallOutcome outcome = LinkCallOutcome::NotSent;
    CallReply reply; ///< Set with LinkCallOutcome::Replied.
};

struct ThreadedPeerLinkSettings {
    Endpoint listen; ///< Address for both TCP and UDP.
    std::string secret; ///< Shared by all nodes of the fleet.
    std::size_t maxConnections = 4000;
    std::size_t maxFrameBytes = std::size_t{24} << 20;
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration handshakeTimeout = std::chrono::seconds(2);
    /// Idle time after which the caller closes a connection; the called side closes it later.
    Duration idleLifetime = std::chrono::seconds(30);
    /// Charged with received frames. One that does not fit closes its connection. If null, the link has its own.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

/// Called with the size of each control message sent (sent = true) and of each control datagram received (sent =
/// false). Control messages received over a connection are not counted.
using ControlByteCounter = std::function<void(bool sent, std::size_t bytes)>;

/// Threaded link between the nodes of vanillatackd: calls and large control messages over TCP, small control messages
/// over UDP. A connection carries one call at a time and is closed when the call ends without its reply. Nodes
/// authenticate each other with the fleet secret; the link cannot talk to IPeerLink, which has no handshake.
class IThreadedPeerLink : public IMessageSender
{
public:
    /// Binds the ports and starts the threads. Errors: Unavailable when the address cannot be bound.
    virtual Result<void> start() = 0;

    /// Stops accepting connections and waits until running calls and all threads have ended.
    virtual void stop() = 0;

    /// Number of connections opened by other nodes.
    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// Calls the node and waits for the reply until the deadline passes or the peer of cancelSocket hangs up.
    virtual CallAttempt
    call(const Endpoint &node, const CallRequest &request, TimePoint deadline, int cancelSocket) = 0;
};

/// The handler and the random number generator must outlive the link. The secret must not be empty.
std::unique_ptr<IThreadedPeerLink> makeThreadedPeerLink(const ThreadedPeerLinkSettings &settings,
                                                        INodeHandler &handler,
                                                        IRandom &random,
                                                        ControlByteCounter countBytes);

} // namespace vanillatack
