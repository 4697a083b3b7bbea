#include "net/internal/frameconnection.h"

#include "base/log.h"
#include "net/internal/receivebuffer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <cstring>

namespace vanillatack {

namespace {

using boost::system::error_code;

constexpr Log LinkLog("peerlink");
constexpr std::size_t LengthBytes = 4;
/// Capacity above which the buffer of an incomplete frame is released after use.
constexpr std::size_t MaxIdleInputBytes = 65536;

} // namespace

FrameConnection::FrameConnection(boost::asio::ip::tcp::socket socket, std::size_t maxFrameBytes)
    : m_socket(std::move(socket))
    , m_maxFrameBytes(maxFrameBytes)
{
}

void FrameConnection::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    m_lastReceived = m_clock.now();
    error_code ignored; // The first read reports a closed connection.
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    read();
    write();
}

void FrameConnection::send(const Frame &frame)
{
    const std::string bytes = encodeFrame(frame);
    const auto length = static_cast<std::uint32_t>(bytes.size());
    char head[LengthBytes];
    std::memcpy(head, &length, LengthBytes); // Native order; all VMs of a fleet have the same one.
    m_pending.append(head, LengthBytes);
    m_pending += bytes;
    m_backlog += LengthBytes + bytes.size();
    write();
}

/// Writes without waiting what the socket accepts, which is nearly always everything, and the rest once it accepts
/// more.
void FrameConnection::write()
{
    if (!m_writing.empty() || m_pending.empty() || !m_socket.is_open() || !m_handlers.onFrame) {
        return;
    }
    error_code error;
    const std::size_t written = m_socket.write_some(boost::asio::buffer(m_pending), error);
    if (error && error != boost::asio::error::would_block) {
        // Closed later, because the sender of the frame must not be re-entered.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->close();
        });
        return;
    }
    m_backlog -= written;
    if (written == m_pending.size()) {
        m_pending.clear();
        return;
    }
    m_writing.swap(m_pending);
    boost::asio::async_write(m_socket,
                             boost::asio::buffer(m_writing) + written,
                             [self = shared_from_this()](const error_code &asyncError, std::size_t bytes) {
                                 self->m_backlog -= bytes;
                                 self->m_writing.clear();
                                 if (asyncError) {
                                     self->close();
                                     return;
                                 }
                                 self->write();
                             });
}

void FrameConnection::read()
{
    // Waits without a buffer: most connections are idle.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code &waited) {
        error_code error = waited;
        std::array<char, ReadChunkBytes> &chunk = receiveBuffer();
        const std::size_t bytes =
            error || !self->m_socket.is_open() ? 0 : self->m_socket.read_some(boost::asio::buffer(chunk), error);
        if (error == boost::asio::error::would_block) {
            self->read();
            return;
        }
        if (error || !self->m_socket.is_open() || !self->onBytes({chunk.data(), bytes})) {
            self->close();
            return;
        }
        self->read();
    });
}

/// Handles the frames that are complete. Returns false if the connection must be closed.
bool FrameConnection::onBytes(std::string_view bytes)
{
    m_lastReceived = m_clock.now();
    const bool continued = !m_input.empty();
    if (continued) {
        m_input.append(bytes);
        bytes = m_input;
    }
    const auto used = handleFrames(bytes);
    if (!used) {
        return false;
    }
    if (!continued) {
        m_input.assign(bytes.substr(*used));
    } else {
        m_input.erase(0, *used);
        if (m_input.empty() && m_input.capacity() > MaxIdleInputBytes) {
            m_input.shrink_to_fit();
        }
    }
    return m_socket.is_open();
}

/// Returns the number of bytes of the complete frames, or nullopt if a frame is invalid.
std::optional<std::size_t> FrameConnection::handleFrames(std::string_view bytes)
{
    std::size_t offset = 0;
    while (bytes.size() - offset >= LengthBytes && m_socket.is_open()) {
        std::uint32_t length = 0;
        std::memcpy(&length, bytes.data() + offset, LengthBytes);
        if (length > m_maxFrameBytes) {
            LinkLog.error("A frame exceeds the maximum of " + std::to_string(m_maxFrameBytes)
                              + " bytes; closing the connection. Check that all nodes run compatible versions.",
                          {{"bytes", std::to_string(length)}});
            return std::nullopt;
        }
        if (bytes.size() - offset < LengthBytes + length) {
            break;
        }
        Result<Frame> frame = decodeFrame(bytes.substr(offset + LengthBytes, length));
        if (!frame) {
            LinkLog.error("A frame of " + std::to_string(length)
                              + " bytes cannot be decoded; closing the connection. Check that all nodes run compatible "
                                "versions.",
                          {{"error", frame.error().text()}});
            return std::nullopt;
        }
        offset += LengthBytes + length;
        m_handlers.onFrame(std::move(frame.value()));
    }
    return offset;
}

void FrameConnection::abort()
{
    error_code ignored; // An already closed socket has no unsent bytes.
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void FrameConnection::close()
{
    error_code ignored; // Closing an already closed socket is harmless.
    m_socket.close(ignored);
    // The handler may destroy the owner of this connection.
    const std::function<void()> onClosed = std::move(m_handlers.onClosed);
    m_handlers.onClosed = nullptr;
    if (onClosed) {
        onClosed();
    }
}

} // namespace vanillatack
