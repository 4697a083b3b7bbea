#pragma once

#include "base/random.h"
#include "transport/internal/bufferedstream.h"
#include "transport/socket.h"
#include "wire/codec.h"

#include <optional>
#include <string>

namespace vanillatack {

/// A TCP connection that carries frames, each after its length as a 32-bit little-endian number.
class BlockingFrameConnection
{
public:
    BlockingFrameConnection(Socket socket, std::size_t maxFrameBytes);

    /// Buffers the frame until flush() or the next read. False when it is too large or the connection is broken.
    bool write(const Frame &frame);
    bool flush();

    /// nullopt when the connection ended, the deadline passed, the wait was cancelled, or the frame is invalid.
    std::optional<Frame> read(TimePoint deadline, int cancelSocket = NoSocket);

    /// Waits for the next frame to begin.
    WaitResult waitForFrame(TimePoint deadline);

    [[nodiscard]] bool wasCancelled() const
    {
        return m_stream.wasCancelled();
    }

    [[nodiscard]] bool sentAnything() const
    {
        return m_stream.sentAnything();
    }

    void resetCounters()
    {
        m_stream.resetCounters();
    }

    [[nodiscard]] const Socket &socket() const
    {
        return m_socket;
    }

    TimePoint idleSince;

private:
    bool readExactly(char *target, std::size_t size);

    Socket m_socket;
    BufferedStream m_stream;
    const std::size_t m_maxFrameBytes;
};

/// Proves to the other side, and has proved by it, that both know the secret. False when the other side does not.
bool handshakeAsCaller(BlockingFrameConnection &connection,
                       const std::string &secret,
                       IRandom &random,
                       TimePoint deadline);
bool handshakeAsServer(BlockingFrameConnection &connection,
                       const std::string &secret,
                       IRandom &random,
                       TimePoint deadline);

} // namespace vanillatack
