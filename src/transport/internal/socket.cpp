#include "transport/socket.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace vanillatack {

namespace {

constexpr int UdpReceiveBufferBytes = 1 << 20;

Error socketError(const std::string &action, const Endpoint &endpoint, const std::string &remedy)
{
    const std::string message = absl::StrCat("Cannot ", action, " ", endpoint.text(), ": ", std::strerror(errno), ".");
    return makeError(ErrorKind::Unavailable, message, remedy);
}

bool toSocketAddress(const Endpoint &endpoint, sockaddr_in &address)
{
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1) {
        errno = EINVAL;
        return false;
    }
    return true;
}

int pollTimeout(TimePoint deadline)
{
    const auto left = deadline - std::chrono::steady_clock::now();
    // Rounded up, so that the deadline has passed when poll() times out.
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::clamp<std::int64_t>(milliseconds, 0, 3'600'000));
}

WaitResult waitFor(std::array<pollfd, 2> &descriptors, nfds_t count, TimePoint deadline)
{
    while (true) {
        const int ready = ::poll(descriptors.data(), count, pollTimeout(deadline));
        if (ready == 0) {
            return WaitResult::TimedOut;
        }
        if (ready < 0) {
            if (errno == EINTR) {
                continue;
            }
            return WaitResult::Failed;
        }
        if (descriptors[0].revents != 0) {
            return WaitResult::Ready;
        }
        return WaitResult::Cancelled;
    }
}

Result<Socket> bindSocket(const Endpoint &at, int type)
{
    sockaddr_in address{};
    Socket socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (socket.isOpen() && type == SOCK_STREAM) {
        ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (!toSocketAddress(at, address) || !socket.isOpen()
        || ::bind(socket.descriptor(), reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        return socketError("bind to", at, "Check that the address belongs to this VM and that the port is free.");
    }
    return socket;
}

} // namespace

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
}

Socket::~Socket()
{
    close();
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(other.release())
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = other.release();
    }
    return *this;
}

int Socket::release()
{
    return std::exchange(m_descriptor, -1);
}

void Socket::close()
{
    if (isOpen()) {
        ::close(release());
    }
}

void Socket::shutdown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

WaitResult waitReadable(int socket, int cancelSocket, TimePoint deadline)
{
    std::array<pollfd, 2> descriptors = {pollfd{socket, POLLIN, 0}, pollfd{cancelSocket, POLLRDHUP, 0}};
    return waitFor(descriptors, cancelSocket == NoSocket ? 1 : 2, deadline);
}

WaitResult waitWritable(int socket, TimePoint deadline)
{
    std::array<pollfd, 2> descriptors = {pollfd{socket, POLLOUT, 0}, pollfd{NoSocket, 0, 0}};
    return waitFor(descriptors, 1, deadline);
}

bool isHungUp(int socket)
{
    pollfd descriptor{socket, POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0;
}

Result<Socket> connectTcp(const Endpoint &to, Duration timeout)
{
    const std::string remedy = "Check that the process is running there and that no firewall blocks the connection.";
    sockaddr_in address{};
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!toSocketAddress(to, address) || !socket.isOpen()) {
        return socketError("connect to", to, remedy);
    }
    const int started = ::connect(socket.descriptor(), reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (started != 0 && errno != EINPROGRESS) {
        return socketError("connect to", to, remedy);
    }
    if (waitWritable(socket.descriptor(), std::chrono::steady_clock::now() + timeout) != WaitResult::Ready) {
        errno = ETIMEDOUT;
        return socketError("connect to", to, remedy);
    }
    int problem = 0;
    socklen_t length = sizeof(problem);
    ::getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &problem, &length);
    if (problem != 0) {
        errno = problem;
        return socketError("connect to", to, remedy);
    }
    ::fcntl(socket.descriptor(), F_SETFL, ::fcntl(socket.descriptor(), F_GETFL) & ~O_NONBLOCK);
    setTcpNoDelay(socket.descriptor());
    return socket;
}

Result<Socket> listenTcp(const Endpoint &at, int backlog)
{
    Result<Socket> socket = bindSocket(at, SOCK_STREAM);
    if (socket && ::listen(socket.value().descriptor(), backlog) != 0) {
        return socketError("listen on", at, "Check that no other process listens on this port.");
    }
    return socket;
}

Result<Socket> bindUdp(const Endpoint &at)
{
    Result<Socket> socket = bindSocket(at, SOCK_DGRAM);
    if (socket) {
        ::setsockopt(
            socket.value().descriptor(), SOL_SOCKET, SO_RCVBUF, &UdpReceiveBufferBytes, sizeof(UdpReceiveBufferBytes));
    }
    return socket;
}

std::uint16_t localPort(const Socket &socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(socket.descriptor(), reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

void setTcpNoDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace vanillatack
