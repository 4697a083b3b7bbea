#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "model/ids.h"

namespace vanillatack {

/// Owns a file descriptor.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor);
    ~Socket();

    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

    [[nodiscard]] bool isOpen() const
    {
        return m_descriptor >= 0;
    }

    /// Returns the descriptor and gives up ownership of it.
    int release();

    void close();

    /// Shuts down both directions, which wakes threads that are blocked on the socket.
    void shutdown() const;

private:
    int m_descriptor = -1;
};

enum class WaitResult {
    Ready,
    TimedOut,
    Cancelled, ///< The peer of cancelSocket hung up.
    Failed,
};

/// Value of cancelSocket for an operation that cannot be cancelled. Otherwise cancelSocket is the connection on whose
/// behalf an operation runs; the operation ends when the peer of that connection hangs up.
inline constexpr int NoSocket = -1;

/// Waits until the socket is readable, the deadline passes, or the peer of cancelSocket hangs up.
WaitResult waitReadable(int socket, int cancelSocket, TimePoint deadline);
WaitResult waitWritable(int socket, TimePoint deadline);

/// Whether the peer has closed, half-closed or reset the connection.
bool isHungUp(int socket);

/// Errors: Unavailable, with the address and the text of errno.
Result<Socket> connectTcp(const Endpoint &to, Duration timeout);
Result<Socket> listenTcp(const Endpoint &at, int backlog);
Result<Socket> bindUdp(const Endpoint &at);

/// Port that the socket is bound to, e.g. the one assigned by the kernel for port 0.
std::uint16_t localPort(const Socket &socket);

/// Disables Nagle's algorithm; messages are written whole, so nothing is gained by delaying small segments.
void setTcpNoDelay(int socket);

} // namespace vanillatack
