#include "transport/internal/bufferedstream.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace vanillatack {

namespace {

constexpr std::size_t ReadChunkBytes = std::size_t{16} << 10;
constexpr std::size_t FlushThresholdBytes = std::size_t{256} << 10;

using AddressFunction = int (*)(int, sockaddr *, socklen_t *);

void readSocketAddress(AddressFunction function, int socket, std::string &ip, int &port)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    char text[INET_ADDRSTRLEN] = {};
    if (function(socket, reinterpret_cast<sockaddr *>(&address), &length) == 0
        && inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text))) {
        ip = text;
        port = ntohs(address.sin_port);
    }
}

} // namespace

BufferedStream::BufferedStream(int socket, int cancelSocket)
    : m_socket(socket)
    , m_cancelSocket(cancelSocket)
{
}

void BufferedStream::setCancelSocket(int cancelSocket)
{
    m_cancelSocket = cancelSocket;
}

void BufferedStream::setDeadline(TimePoint deadline)
{
    m_deadline = deadline;
}

void BufferedStream::limitHead(std::size_t bytes)
{
    m_headLeft = bytes;
    m_headLimited = true;
    m_headTooLarge = false;
}

void BufferedStream::endHead()
{
    m_headLimited = false;
}

bool BufferedStream::headTooLarge() const
{
    return m_headTooLarge;
}

WaitResult BufferedStream::waitForData(TimePoint deadline)
{
    if (m_inputPosition < m_inputEnd) {
        return WaitResult::Ready;
    }
    return waitReadable(m_socket, m_cancelSocket, deadline);
}

bool BufferedStream::flush()
{
    std::size_t position = 0;
    while (position < m_output.size()) {
        m_sent = true;
        const ssize_t sent =
            ::send(m_socket, m_output.data() + position, m_output.size() - position, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            position += static_cast<std::size_t>(sent);
            continue;
        }
        const bool full = errno == EAGAIN || errno == EWOULDBLOCK;
        if (errno != EINTR && (!full || waitWritable(m_socket, m_deadline) != WaitResult::Ready)) {
            m_timedOut = full;
            m_output.clear();
            return false;
        }
    }
    m_output.clear();
    return true;
}

void BufferedStream::discardOutput()
{
    m_output.clear();
}

bool BufferedStream::sentAnything() const
{
    return m_sent;
}

bool BufferedStream::receivedAnything() const
{
    return m_received;
}

void BufferedStream::resetFlags()
{
    m_sent = false;
    m_received = false;
    m_timedOut = false;
}

bool BufferedStream::wasCancelled() const
{
    return m_cancelled;
}

bool BufferedStream::timedOut() const
{
    return m_timedOut;
}

bool BufferedStream::is_readable() const
{
    return true;
}

bool BufferedStream::is_writable() const
{
    return !isHungUp(m_socket);
}

bool BufferedStream::fill()
{
    if (!flush()) {
        return false;
    }
    const WaitResult result = waitReadable(m_socket, m_cancelSocket, m_deadline);
    m_cancelled = result == WaitResult::Cancelled;
    m_timedOut = result == WaitResult::TimedOut;
    if (result != WaitResult::Ready) {
        return false;
    }
    // Never shrunk after the first read: growing it again would fill it with zeros each time.
    m_input.resize(ReadChunkBytes);
    const ssize_t count = ::recv(m_socket, m_input.data(), m_input.size(), 0);
    m_inputEnd = static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    m_inputPosition = 0;
    m_received |= count > 0;
    return count > 0;
}

ssize_t BufferedStream::read(char *target, size_t size)
{
    if (m_inputPosition >= m_inputEnd && !fill()) {
        return m_timedOut || m_cancelled ? -1 : 0;
    }
    std::size_t count = std::min(size, m_inputEnd - m_inputPosition);
    if (m_headLimited) {
        count = std::min(count, m_headLeft);
        m_headTooLarge = count == 0;
        m_headLeft -= count;
        if (m_headTooLarge) {
            return -1;
        }
    }
    std::memcpy(target, m_input.data() + m_inputPosition, count);
    m_inputPosition += count;
    return static_cast<ssize_t>(count);
}

ssize_t BufferedStream::write(const char *data, size_t size)
{
    m_output.append(data, size);
    if (m_output.size() >= FlushThresholdBytes && !flush()) {
        return -1;
    }
    return static_cast<ssize_t>(size);
}

void BufferedStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    readSocketAddress(::getpeername, m_socket, ip, port);
}

void BufferedStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    readSocketAddress(::getsockname, m_socket, ip, port);
}

int BufferedStream::socket() const
{
    return m_socket;
}

} // namespace vanillatack
