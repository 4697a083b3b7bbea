#pragma once

#include "base/error.h"
#include "model/messages.h"

#include <string>
#include <string_view>
#include <variant>

namespace vanillatack {

/// First message of a connection, from the side that opened it.
struct Hello {
    std::string nonce;
};

/// Answer to Hello: the other side's nonce and its proof that it knows the fleet secret.
struct Challenge {
    std::string nonce;
    std::string proof;
};

/// Last message of the handshake.
struct Proof {
    std::string proof;
};

/// A control message with the address at which its sender takes control messages.
struct ControlFrame {
    Endpoint sender;
    ControlMessage message;
};

/// The sender no longer waits for the reply of a call.
struct CallCancel {
    std::uint64_t requestId = 0;
};

/// Checks that the other end of a connection is alive; it is answered with the same sequence.
struct LinkProbe {
    std::uint64_t sequence = 0;
    bool answer = false;
    Duration sentAt{0}; ///< On the sender's clock.
};

/// Everything that is sent between nodes.
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
                           TableChanges>;

/// Encodes a frame in the Cap'n Proto stream format (a whole number of 8-byte words).
std::string encodeFrame(const Frame &frame);

/// Decodes a frame. The bytes are not trusted. Errors: InvalidMessage.
Result<Frame> decodeFrame(std::string_view bytes);

/// As above in Cap'n Proto's packed format: shorter, for messages with many small numbers.
std::string encodePackedFrame(const Frame &frame);
Result<Frame> decodePackedFrame(std::string_view bytes);

} // namespace vanillatack
