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

    /// Gives up ownership.
    int release();

    void close();

    /// Ends both directions, which wakes a thread that waits on the socket.
    void shutdown() const;

private:
    int m_descriptor = -1;
};

enum class WaitResult {
    Ready,
    TimedOut,
    Cancelled, ///< The other side of the cancel socket went away.
    Failed,
};

/// No cancel socket.
inline constexpr int NoSocket = -1;

/// Waits until the socket can be read, until the deadline, or until the peer of cancelSocket hangs up.
WaitResult waitReadable(int socket, int cancelSocket, TimePoint deadline);
WaitResult waitWritable(int socket, TimePoint deadline);

/// Whether the peer has closed or reset the connection.
bool isHungUp(int socket);

/// Errors: Unavailable with the address and the system's reason.
Result<Socket> connectTcp(const Endpoint &to, Duration timeout);
Result<Socket> listenTcp(const Endpoint &at, int backlog);
Result<Socket> bindUdp(const Endpoint &at);

/// Port that the socket is bound to; for listening at port 0.
std::uint16_t localPort(const Socket &socket);

/// Sends small writes at once; the callers write whole messages.
void disableDelay(int socket);

} // namespace vanillatack
