#pragma once

#include "base/memorybudget.h"
#include "base/random.h"
#include "transport/internal/bufferedstream.h"
#include "transport/socket.h"
#include "wire/codec.h"

#include <optional>
#include <string>

namespace vanillatack {

/// TCP connection with blocking reads and writes of frames, each prefixed with its length as a 32-bit little-endian
/// integer.
class BlockingFrameConnection
{
public:
    BlockingFrameConnection(Socket socket, std::size_t maxFrameBytes, std::shared_ptr<MemoryBudget> memory);

    /// Buffers the frame until flush() or the next read. False when it exceeds maxFrameBytes or the connection failed.
    bool write(const Frame &frame);
    bool flush();

    /// Reads a frame. nullopt when the connection ended, the deadline passed, the read was cancelled, or the frame is
    /// too large or invalid, or does not fit into the memory budget.
    std::optional<Frame> read(TimePoint deadline, int cancelSocket = NoSocket);

    /// Reads a frame of the handshake, before it is known who sends it. Larger frames than those of a handshake are not
    /// read.
    std::optional<Frame> readHandshake(TimePoint deadline);

    /// Waits for the first byte of the next frame.
    WaitResult waitForFrame(TimePoint deadline);

    [[nodiscard]] bool wasCancelled() const
    {
        return m_stream.wasCancelled();
    }

    [[nodiscard]] bool sentAnything() const
    {
        return m_stream.sentAnything();
    }

    /// See BufferedStream::resetFlags().
    void resetFlags()
    {
        m_stream.resetFlags();
    }

    [[nodiscard]] const Socket &socket() const
    {
        return m_socket;
    }

    TimePoint idleSince;

private:
    bool readExactly(char *target, std::size_t size);
    std::optional<Frame> readFrame(std::size_t maxBytes);

    Socket m_socket;
    BufferedStream m_stream;
    const std::size_t m_maxFrameBytes;
    std::shared_ptr<MemoryBudget> m_memory;
};

/// Mutual authentication by HMAC over the nonces of both sides. False when the peer does not prove knowledge of the
/// secret, the connection ends or the deadline passes. handshakeAsCaller() returns before its own proof is sent; if the
/// server rejects the proof, it closes the connection and the next read fails.
bool handshakeAsCaller(BlockingFrameConnection &connection,
                       const std::string &secret,
                       IRandom &random,
                       TimePoint deadline);
bool handshakeAsServer(BlockingFrameConnection &connection,
                       const std::string &secret,
                       IRandom &random,
                       TimePoint deadline);

} // namespace vanillatack
