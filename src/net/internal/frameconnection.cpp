#include "net/internal/frameconnection.h"

#include "base/log.h"
#include "net/internal/receivebuffer.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace vanillatack {

namespace {

using boost::system::error_code;

constexpr Log LinkLog("peerlink");
constexpr std::size_t LengthBytes = 4;
/// Set in the length of a frame whose body follows its message.
constexpr std::uint32_t SeparateBodyFlag = std::uint32_t{1} << 31;
/// Longest body that is sent inside its message.
constexpr std::size_t MaxInlineBodyBytes = 16384;
/// Longest message without a separate body: a table with the rows of all nodes.
constexpr std::size_t MaxMessageBytes = std::size_t{8} << 20;
/// Size up to which the memory for decoding a message is not charged.
constexpr std::size_t UnchargedMessageBytes = 65536;
/// How often the content of a message is in memory while it is decoded, besides the received bytes.
constexpr std::size_t DecodingCopies = 2;
/// Capacity above which the buffer of an incomplete frame is released after use.
constexpr std::size_t MaxIdleInputBytes = 65536;

void appendLength(std::string &out, std::uint32_t length)
{
    char bytes[LengthBytes];
    std::memcpy(bytes, &length, LengthBytes); // Native order; all VMs of a fleet have the same one.
    out.append(bytes, LengthBytes);
}

std::uint32_t readLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data(), LengthBytes);
    return length;
}

/// The body of a call or reply; null for other frames.
Body *bodyOf(Frame &frame)
{
    if (auto *request = std::get_if<CallRequest>(&frame)) {
        return &request->body;
    }
    auto *reply = std::get_if<CallReply>(&frame);
    return reply != nullptr ? &reply->body : nullptr;
}

} // namespace

FrameConnection::FrameConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<MemoryBudget> memory)
    : m_socket(std::move(socket))
    , m_memory(std::move(memory))
    , m_inputCharge(m_memory, MemoryOwner::Node)
    , m_queueCharge(m_memory, MemoryOwner::Node)
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

void FrameConnection::send(Frame frame)
{
    Body body;
    if (Body *inner = bodyOf(frame); inner != nullptr && inner->size() > MaxInlineBodyBytes) {
        body = std::exchange(*inner, {});
    }
    const std::string message = encodeFrame(frame);
    if (m_queue.empty() || !m_queue.back().body.empty()) {
        m_queue.emplace_back();
    }
    Segment &segment = m_queue.back();
    const std::size_t before = segment.frames.size();
    const auto length = static_cast<std::uint32_t>(message.size());
    if (body.empty()) {
        appendLength(segment.frames, length);
    } else {
        appendLength(segment.frames, length | SeparateBodyFlag);
        appendLength(segment.frames, static_cast<std::uint32_t>(body.size()));
    }
    segment.frames += message;
    m_backlog += segment.frames.size() - before + body.size();
    segment.body = std::move(body);
    write();
    if (m_backlog > 0) {
        m_queueCharge.resize(m_queueCharge.bytes() + message.size());
    }
}

/// Writes without waiting what the socket accepts, which is nearly always everything, and the rest once it accepts
/// more.
void FrameConnection::write()
{
    while (!m_awaitingWritable && !m_queue.empty() && m_socket.is_open() && m_handlers.onFrame) {
        const Segment &segment = m_queue.front();
        const std::size_t framesWritten = std::min(m_written, segment.frames.size());
        const std::array<boost::asio::const_buffer, 2> rest{boost::asio::buffer(segment.frames) + framesWritten,
                                                            boost::asio::buffer(segment.body.bytes())
                                                                + (m_written - framesWritten)};
        error_code error;
        const std::size_t bytes = m_socket.write_some(rest, error);
        if (error && error != boost::asio::error::would_block) {
            // Closed later, because the sender of the frame must not be re-entered.
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
                self->close();
            });
            return;
        }
        m_written += bytes;
        m_backlog -= bytes;
        if (m_written < segment.frames.size() + segment.body.size()) {
            awaitWritable();
            return;
        }
        m_queue.pop_front();
        m_written = 0;
        if (m_queue.empty()) {
            m_queueCharge.resize(0);
        }
    }
}

void FrameConnection::awaitWritable()
{
    m_awaitingWritable = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const error_code &error) {
        self->m_awaitingWritable = false;
        if (error) {
            self->close();
            return;
        }
        self->m_lastTaken = self->m_clock.now();
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
        if (!keepInput(bytes)) {
            return false;
        }
        bytes = m_input;
    }
    const auto used = handleFrames(bytes);
    if (!used) {
        return false;
    }
    if (!continued) {
        return keepInput(bytes.substr(*used)) && m_socket.is_open();
    }
    m_input.erase(0, *used);
    if (m_input.empty() && m_input.capacity() > MaxIdleInputBytes) {
        m_input.shrink_to_fit();
    }
    m_inputCharge.resize(m_input.capacity());
    return m_socket.is_open();
}

/// Appends bytes of an incomplete frame. Returns false if there is no room for them.
bool FrameConnection::keepInput(std::string_view bytes)
{
    const std::size_t size = m_input.size() + bytes.size();
    if (size > m_input.capacity()) {
        const std::size_t capacity = std::max(size, 2 * m_input.capacity());
        // Both copies are in memory while the bytes are moved.
        if (!m_inputCharge.tryResize(m_input.capacity() + capacity)) {
            LinkLog.warning("Messages in memory leave no room for a frame of another node; closing the connection.",
                            {{"bytes", std::to_string(size)}, {"in_memory", std::to_string(m_memory->used())}});
            return false;
        }
        m_input.reserve(capacity);
        m_inputCharge.resize(m_input.capacity());
    }
    m_input.append(bytes);
    return true;
}

/// Returns the number of bytes of the complete frames, or nullopt if the connection must be closed.
std::optional<std::size_t> FrameConnection::handleFrames(std::string_view bytes)
{
    std::size_t offset = 0;
    while (offset < bytes.size() && m_socket.is_open()) {
        if (m_incomplete) {
            offset += receiveBody(bytes.substr(offset));
            continue;
        }
        const auto used = handleFrame(bytes.substr(offset));
        if (!used) {
            return std::nullopt;
        }
        if (*used == 0) {
            break;
        }
        offset += *used;
    }
    return offset;
}

/// Handles the first frame, or its message if its body follows. Returns the number of its bytes, 0 if it is incomplete,
/// or nullopt if the connection must be closed.
std::optional<std::size_t> FrameConnection::handleFrame(std::string_view bytes)
{
    if (bytes.size() < LengthBytes) {
        return 0;
    }
    const std::uint32_t prefix = readLength(bytes);
    const bool separateBody = (prefix & SeparateBodyFlag) != 0;
    const std::size_t length = prefix & ~SeparateBodyFlag;
    const std::size_t messageStart = separateBody ? 2 * LengthBytes : LengthBytes;
    if (length > MaxMessageBytes) {
        LinkLog.error("A frame exceeds the maximum of " + std::to_string(MaxMessageBytes)
                          + " bytes; closing the connection. Check that all nodes run compatible versions.",
                      {{"bytes", std::to_string(length)}});
        return std::nullopt;
    }
    if (bytes.size() < messageStart + length) {
        return 0;
    }
    MemoryCharge decoding(m_memory, MemoryOwner::Node);
    if (length > UnchargedMessageBytes && !decoding.tryResize(DecodingCopies * length)) {
        LinkLog.warning("Messages in memory leave no room to decode a frame of another node; closing the connection.",
                        {{"bytes", std::to_string(length)}, {"in_memory", std::to_string(m_memory->used())}});
        return std::nullopt;
    }
    Result<Frame> frame = decodeFrame(bytes.substr(messageStart, length));
    if (!frame) {
        LinkLog.error("A frame of " + std::to_string(length)
                          + " bytes cannot be decoded; closing the connection. Check that all nodes run compatible "
                            "versions.",
                      {{"error", frame.error().text()}});
        return std::nullopt;
    }
    if (separateBody) {
        startBody(std::move(frame.value()), readLength(bytes.substr(LengthBytes)));
    } else {
        m_handlers.onFrame(std::move(frame.value()));
    }
    return messageStart + length;
}

void FrameConnection::startBody(Frame frame, std::size_t bytes)
{
    m_incomplete = IncompleteFrame{};
    IncompleteFrame &incomplete = *m_incomplete;
    incomplete.frame = std::move(frame);
    incomplete.missing = bytes;
    incomplete.charge = MemoryCharge(m_memory, MemoryOwner::Node);
    incomplete.skipped = bodyOf(incomplete.frame) == nullptr || !incomplete.charge.tryResize(bytes);
    if (incomplete.skipped) {
        LinkLog.warning("Messages in memory leave no room for a body of another node; it is skipped.",
                        {{"bytes", std::to_string(bytes)}, {"in_memory", std::to_string(m_memory->used())}});
    } else {
        incomplete.body.reserve(bytes);
    }
    if (bytes == 0) {
        receiveBody({});
    }
}

/// Takes bytes of the body of the incomplete frame, and handles the frame if they are its last ones. Returns their
/// number.
std::size_t FrameConnection::receiveBody(std::string_view bytes)
{
    const std::size_t count = std::min(m_incomplete->missing, bytes.size());
    if (!m_incomplete->skipped) {
        m_incomplete->body.append(bytes.substr(0, count));
    }
    m_incomplete->missing -= count;
    if (m_incomplete->missing > 0) {
        return count;
    }
    IncompleteFrame complete = std::move(*m_incomplete);
    m_incomplete.reset();
    if (complete.skipped) {
        m_handlers.onBodySkipped(std::move(complete.frame));
    } else {
        *bodyOf(complete.frame) = Body(std::move(complete.body), std::move(complete.charge));
        m_handlers.onFrame(std::move(complete.frame));
    }
    return count;
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
    m_queue.clear();
    m_backlog = 0;
    m_queueCharge.resize(0);
    m_incomplete.reset();
    // The handler may destroy the owner of this connection.
    const std::function<void()> onClosed = std::move(m_handlers.onClosed);
    m_handlers.onClosed = nullptr;
    if (onClosed) {
        onClosed();
    }
}

} // namespace vanillatack
