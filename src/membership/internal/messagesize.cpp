#include "membership/membershipsetup.h"

#include <type_traits>
#include <variant>

namespace vanillatack {

namespace {

constexpr std::size_t FramingBytes = 64; // Segment table, root pointer, union tag and address of the sender.
constexpr std::size_t AuthenticationBytes = 24; // HMAC, truncated to 16 bytes, and sender.
constexpr std::size_t UdpAndIpHeaderBytes = 28;
constexpr std::size_t MemberStructBytes = 24 + 4 * 8; // Data words and text pointers.
constexpr std::size_t VersionsBytes = 40;
constexpr std::size_t ListBytes = 16;

std::size_t textBytes(const std::string &text)
{
    return (text.size() + 1 + 7) / 8 * 8;
}

std::size_t listBytes(const std::vector<Member> &members)
{
    std::size_t bytes = ListBytes;
    for (const Member &member : members) {
        bytes += estimateBytes(member);
    }
    return bytes;
}

// The numbers in bodyBytes() estimate the fixed part of each struct in nodeprotocol.capnp: data words and text
// pointers.
std::size_t bodyBytes(const ZoneDigest &digest)
{
    std::size_t bytes = 56 + textBytes(digest.sender.value) + textBytes(digest.zone.value) + VersionsBytes + ListBytes;
    for (const ServiceSummary &summary : digest.services) {
        bytes += 24 + textBytes(summary.service.value) + listBytes(summary.contacts);
    }
    return bytes + listBytes(digest.relays) + listBytes(digest.shareOwners);
}

template<class Message>
std::size_t bodyBytes(const Message &message)
{
    if constexpr (std::is_same_v<Message, Ping> || std::is_same_v<Message, Ack>) {
        return 32 + VersionsBytes + estimateBytes(message.self) + listBytes(message.updates);
    } else if constexpr (std::is_same_v<Message, PingIndirect>) {
        return 40 + estimateBytes(message.self) + textBytes(message.target.value)
            + textBytes(message.targetEndpoint.address);
    } else if constexpr (std::is_same_v<Message, MemberSync>) {
        return 24 + textBytes(message.sender.value) + listBytes(message.members);
    } else {
        return 0;
    }
}

} // namespace

std::size_t estimateBytes(const Member &member)
{
    return MemberStructBytes + textBytes(member.node.value) + textBytes(member.zone.value)
        + textBytes(member.endpoint.address) + textBytes(member.service.value);
}

std::size_t estimateBytes(const ControlMessage &message)
{
    const std::size_t body = std::visit(
        [](const auto &value) {
            return bodyBytes(value);
        },
        message);
    return FramingBytes + AuthenticationBytes + UdpAndIpHeaderBytes + body;
}

} // namespace vanillatack
