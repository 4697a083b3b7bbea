#include "transport/internal/blockingframeconnection.h"

#include "base/digest.h"
#include "base/log.h"
#include "transport/internal/messagememory.h"

#include <algorithm>
#include <array>
#include <utility>

namespace vanillatack {

namespace {

constexpr Log FrameLog("nodelink");
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ReadPartBytes = std::size_t{64} << 10;
/// Largest frame of a handshake, whose sender may be anybody.
constexpr std::size_t MaxHandshakeFrameBytes = 4096;

// Distinct labels per direction prevent reflection: a side's proof cannot be sent back to it as the peer's.
constexpr const char *CallerLabel = "vanillatack caller ";
constexpr const char *ServerLabel = "vanillatack server ";

std::string makeProof(const std::string &secret, const char *label, const std::string &first, const std::string &second)
{
    return hmacSha256(secret, label + first + second);
}

std::string encodeLength(std::uint32_t length)
{
    std::string bytes(LengthBytes, '\0');
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        bytes[index] = static_cast<char>(length >> (8 * index));
    }
    return bytes;
}

std::uint32_t decodeLength(const std::array<char, LengthBytes> &bytes)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    }
    return length;
}

} // namespace

BlockingFrameConnection::BlockingFrameConnection(Socket socket,
                                                 std::size_t maxFrameBytes,
                                                 std::shared_ptr<MemoryBudget> memory)
    : m_socket(std::move(socket))
    , m_stream(m_socket.descriptor())
    , m_maxFrameBytes(maxFrameBytes)
    , m_memory(std::move(memory))
{
}

bool BlockingFrameConnection::write(const Frame &frame)
{
    const std::string bytes = encodeFrame(frame);
    if (bytes.size() > m_maxFrameBytes) {
        return false;
    }
    const std::string length = encodeLength(static_cast<std::uint32_t>(bytes.size()));
    return m_stream.write(length.data(), length.size()) >= 0 && m_stream.write(bytes.data(), bytes.size()) >= 0;
}

bool BlockingFrameConnection::flush()
{
    return m_stream.flush();
}

bool BlockingFrameConnection::readExactly(char *target, std::size_t size)
{
    std::size_t done = 0;
    while (done < size) {
        const ssize_t count = m_stream.read(target + done, size - done);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<Frame> BlockingFrameConnection::read(TimePoint deadline, int cancelSocket)
{
    m_stream.setDeadline(deadline);
    m_stream.setCancelSocket(cancelSocket);
    return readFrame(m_maxFrameBytes);
}

std::optional<Frame> BlockingFrameConnection::readHandshake(TimePoint deadline)
{
    m_stream.setDeadline(deadline);
    m_stream.setCancelSocket(NoSocket);
    return readFrame(std::min(m_maxFrameBytes, MaxHandshakeFrameBytes));
}

std::optional<Frame> BlockingFrameConnection::readFrame(std::size_t maxBytes)
{
    std::array<char, LengthBytes> prefix{};
    if (!readExactly(prefix.data(), prefix.size())) {
        return std::nullopt;
    }
    const std::uint32_t length = decodeLength(prefix);
    if (length > maxBytes) {
        FrameLog.warning(
            "A frame is larger than allowed; its connection is closed. Check which processes connect to the "
            "node port.",
            {{"bytes", std::to_string(length)}, {"maximum", std::to_string(maxBytes)}});
        return std::nullopt;
    }
    MessageMemory message(m_memory, MemoryOwner::Node);
    std::string part;
    while (message.size() < length) {
        part.resize(std::min(ReadPartBytes, length - message.size()));
        if (!readExactly(part.data(), part.size())) {
            return std::nullopt;
        }
        if (!message.append(part)) {
            FrameLog.warning("Messages in memory leave no room for a frame; its connection is closed.",
                             {{"bytes", std::to_string(length)}, {"in_memory", std::to_string(m_memory->used())}});
            return std::nullopt;
        }
    }
    Result<Frame> frame = decodeFrame(message.releaseBytes());
    if (!frame) {
        return std::nullopt;
    }
    if (auto *request = std::get_if<CallRequest>(&frame.value())) {
        request->body = Body(request->body.release(), message.releaseCharge());
    } else if (auto *reply = std::get_if<CallReply>(&frame.value())) {
        reply->body = Body(reply->body.release(), message.releaseCharge());
    }
    return std::move(frame.value());
}

WaitResult BlockingFrameConnection::waitForFrame(TimePoint deadline)
{
    m_stream.setCancelSocket(NoSocket);
    return m_stream.waitForData(deadline);
}

bool handshakeAsCaller(BlockingFrameConnection &connection,
                       const std::string &secret,
                       IRandom &random,
                       TimePoint deadline)
{
    const std::string nonce = random.hexToken();
    if (!connection.write(Hello{nonce})) {
        return false;
    }
    const std::optional<Frame> frame = connection.readHandshake(deadline);
    const auto *challenge = frame ? std::get_if<Challenge>(&*frame) : nullptr;
    if (!challenge || !equalConstantTime(challenge->proof, makeProof(secret, ServerLabel, nonce, challenge->nonce))) {
        return false;
    }
    return connection.write(Proof{makeProof(secret, CallerLabel, nonce, challenge->nonce)});
}

bool handshakeAsServer(BlockingFrameConnection &connection,
                       const std::string &secret,
                       IRandom &random,
                       TimePoint deadline)
{
    const std::optional<Frame> first = connection.readHandshake(deadline);
    const auto *hello = first ? std::get_if<Hello>(&*first) : nullptr;
    if (!hello) {
        return false;
    }
    const std::string nonce = random.hexToken();
    if (!connection.write(Challenge{nonce, makeProof(secret, ServerLabel, hello->nonce, nonce)})) {
        return false;
    }
    const std::optional<Frame> second = connection.readHandshake(deadline);
    const auto *proof = second ? std::get_if<Proof>(&*second) : nullptr;
    return proof && equalConstantTime(proof->proof, makeProof(secret, CallerLabel, hello->nonce, nonce));
}

} // namespace vanillatack
