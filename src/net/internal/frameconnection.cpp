#include "net/internal/frameconnection.h"

#include "base/log.h"

#include <boost/asio/write.hpp>

#include <cstring>

namespace vanillatack {

namespace {

using boost::system::error_code;

constexpr Log LinkLog("peerlink");
constexpr std::size_t LengthBytes = 4;

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

void FrameConnection::write()
{
    if (!m_writing.empty() || m_pending.empty() || !m_socket.is_open() || !m_handlers.onFrame) {
        return;
    }
    m_writing.swap(m_pending);
    boost::asio::async_write(m_socket,
                             boost::asio::buffer(m_writing),
                             [self = shared_from_this()](const error_code &error, std::size_t /*bytes*/) {
                                 self->m_backlog -= self->m_writing.size();
                                 self->m_writing.clear();
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->write();
                             });
}

void FrameConnection::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                                 if (error || !self->m_socket.is_open()) {
                                     self->close();
                                     return;
                                 }
                                 self->m_lastReceived = self->m_clock.now();
                                 self->m_input.append(self->m_chunk.data(), bytes);
                                 if (self->handleFrames()) {
                                     self->read();
                                 } else {
                                     self->close();
                                 }
                             });
}

bool FrameConnection::handleFrames()
{
    std::size_t offset = 0;
    while (m_input.size() - offset >= LengthBytes && m_socket.is_open()) {
        std::uint32_t length = 0;
        std::memcpy(&length, m_input.data() + offset, LengthBytes);
        if (length > m_maxFrameBytes) {
            LinkLog.error("A frame exceeds the maximum of " + std::to_string(m_maxFrameBytes)
                              + " bytes; closing the connection. Check that all nodes run compatible versions.",
                          {{"bytes", std::to_string(length)}});
            return false;
        }
        if (m_input.size() - offset < LengthBytes + length) {
            break;
        }
        Result<Frame> frame = decodeFrame(std::string_view(m_input).substr(offset + LengthBytes, length));
        if (!frame) {
            LinkLog.error("A frame of " + std::to_string(length)
                              + " bytes cannot be decoded; closing the connection. Check that all nodes run compatible "
                                "versions.",
                          {{"error", frame.error().text()}});
            return false;
        }
        offset += LengthBytes + length;
        m_handlers.onFrame(std::move(frame.value()));
    }
    m_input.erase(0, offset);
    return m_socket.is_open();
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
