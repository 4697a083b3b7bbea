#pragma once

#include "base/error.h"
#include "model/messages.h"

#include <string>
#include <string_view>
#include <variant>

namespace vanillatack {

/// First message of the handshake of IThreadedPeerLink, sent by the side that opened the connection.
struct Hello {
    std::string nonce;
};

/// Answer to Hello: the nonce of the accepting side and its proof that it knows the fleet secret.
struct Challenge {
    std::string nonce;
    std::string proof;
};

/// Last message of the handshake: the proof of the side that opened the connection.
struct Proof {
    std::string proof;
};

/// A control message with the address at which its sender receives control messages.
struct ControlFrame {
    Endpoint sender;
    ControlMessage message;
};

/// Cancels a call; the sender no longer waits for its reply.
struct CallCancel {
    std::uint64_t requestId = 0;
};

/// Liveness probe of a connection. The peer answers it with the same sequence.
struct LinkProbe {
    std::uint64_t sequence = 0;
    bool answer = false; ///< Answer to a probe of the peer.
    Duration sentAt{0}; ///< Time of sending on the sender's clock.
};

/// Any message between nodes.
using Frame = std::variant<Hello,
                           Challenge,
                           Proof,
                           CallRequest,
                           CallReply,
                           ControlFrame,
                           CallCancel,
                           LinkProbe,
                           NodeReport,
                           ReportBundle,
                           RateAsk,
                           RateGrant,
                           TableWatch,
                           TableChanges,
                           DepartureNote>;

/// Encodes a frame in the Cap'n Proto stream format (a whole number of 8-byte words).
std::string encodeFrame(const Frame &frame);

/// Decodes a frame. Safe for untrusted input. Errors: InvalidMessage.
Result<Frame> decodeFrame(std::string_view bytes);

/// Encodes a frame in Cap'n Proto's packed format, which is shorter for messages with many small numbers.
std::string encodePackedFrame(const Frame &frame);

/// Decodes a frame in the packed format. Safe for untrusted input. Errors: InvalidMessage.
Result<Frame> decodePackedFrame(std::string_view bytes);

} // namespace vanillatack
