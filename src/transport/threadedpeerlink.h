#pragma once

#include "base/random.h"
#include "model/messages.h"
#include "transport/socket.h"
#include "wire/codec.h"

#include <functional>
#include <memory>
#include <string>

namespace vanillatack {

/// Handles what other nodes send. Called on many threads at once.
class INodeHandler
{
public:
    virtual ~INodeHandler() = default;

    /// peerSocket is hung up when the calling node abandons the call.
    virtual CallReply handleCall(const CallRequest &request, int peerSocket) = 0;
    virtual void handleControl(const ControlFrame &frame) = 0;
};

/// How an attempt to call another node ended.
enum class LinkCallOutcome {
    Replied,
    NotSent, ///< No connection, or it broke before any byte of the call was sent.
    Broken, ///< The connection ended or the deadline passed after sending.
    Cancelled, ///< The peer of the cancel socket went away.
};

struct CallAttempt {
    LinkCallOutcome outcome = LinkCallOutcome::NotSent;
    CallReply reply; ///< Valid when replied.
};

struct ThreadedPeerLinkSettings {
    Endpoint listen; ///< TCP and UDP.
    std::string secret; ///< Shared by all nodes of the fleet.
    std::size_t maxConnections = 4000;
    std::size_t maxFrameBytes = std::size_t{24} << 20;
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration handshakeTimeout = std::chrono::seconds(2);
    Duration idleLifetime = std::chrono::seconds(30); ///< The calling side closes earlier than the called side.
};

/// Called with the bytes of control traffic, for metrics.
using ControlByteCounter = std::function<void(bool sent, std::size_t bytes)>;

/// Connections with other nodes: calls and large control messages over TCP, small control messages over UDP.
/// A connection carries one call at a time; a connection whose reply was not awaited is closed.
class IThreadedPeerLink : public IMessageSender
{
public:
    /// Errors: Unavailable when the address cannot be bound.
    virtual Result<void> start() = 0;

    /// Refuses new connections, lets running calls finish, and joins all threads.
    virtual void stop() = 0;

    /// Connections opened by other nodes.
    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// Calls the node and waits for the reply, until the deadline or until the peer of cancelSocket hangs up.
    virtual CallAttempt
    call(const Endpoint &node, const CallRequest &request, TimePoint deadline, int cancelSocket) = 0;
};

/// The handler and the random numbers must outlive the link. The secret must not be empty.
std::unique_ptr<IThreadedPeerLink> makeThreadedPeerLink(const ThreadedPeerLinkSettings &settings,
                                                        INodeHandler &handler,
                                                        IRandom &random,
                                                        ControlByteCounter countBytes);

} // namespace vanillatack
