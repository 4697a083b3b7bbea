#include "transport/internal/blockingframeconnection.h"

#include "base/digest.h"

#include <array>
#include <utility>

namespace vanillatack {

namespace {

constexpr std::size_t LengthBytes = 4;

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

BlockingFrameConnection::BlockingFrameConnection(Socket socket, std::size_t maxFrameBytes)
    : m_socket(std::move(socket))
    , m_stream(m_socket.descriptor())
    , m_maxFrameBytes(maxFrameBytes)
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
    std::array<char, LengthBytes> prefix{};
    if (!readExactly(prefix.data(), prefix.size())) {
        return std::nullopt;
    }
    const std::uint32_t length = decodeLength(prefix);
    if (length > m_maxFrameBytes) {
        return std::nullopt;
    }
    std::string bytes(length, '\0');
    if (!readExactly(bytes.data(), bytes.size())) {
        return std::nullopt;
    }
    Result<Frame> frame = decodeFrame(bytes);
    return frame ? std::optional<Frame>(std::move(frame.value())) : std::nullopt;
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
    const std::optional<Frame> frame = connection.read(deadline);
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
    const std::optional<Frame> first = connection.read(deadline);
    const auto *hello = first ? std::get_if<Hello>(&*first) : nullptr;
    if (!hello) {
        return false;
    }
    const std::string nonce = random.hexToken();
    if (!connection.write(Challenge{nonce, makeProof(secret, ServerLabel, hello->nonce, nonce)})) {
        return false;
    }
    const std::optional<Frame> second = connection.read(deadline);
    const auto *proof = second ? std::get_if<Proof>(&*second) : nullptr;
    return proof && equalConstantTime(proof->proof, makeProof(secret, CallerLabel, hello->nonce, nonce));
}

} // namespace vanillatack
