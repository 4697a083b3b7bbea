#pragma once

#include "base/memorybudget.h"
#include "net/eventloop.h"
#include "wire/codec.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vanillatack {

/// Connection between two nodes that carries frames in both directions. Each frame is a Cap'n Proto message after its
/// length, a 32-bit integer in native byte order, which is little-endian on all VMs of a fleet. The body of a call or
/// reply follows its message when it is long: then the highest bit of the length is set, and the length of the body
/// stands between the length and the message. Such a body is in memory once, as received or as sent.
///
/// What is received and not complete, and what is queued, is charged to the memory budget. A body for which there is no
/// room is skipped.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    struct Handlers {
        std::function<void(Frame)> onFrame;
        std::function<void(Frame)> onBodySkipped; ///< A frame whose body did not fit into the memory budget.
        std::function<void()> onClosed; ///< Called once, also for close().
    };

    FrameConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<MemoryBudget> memory);

    /// Starts reading, and writes the frames that were queued by send() before.
    void start(Handlers handlers);

    /// Queues the frame; it is written once the connection is started.
    void send(Frame frame);
    void close();

    /// Closes with a reset, so that unsent bytes are discarded instead of arriving once the network has recovered.
    void abort();

    /// Bytes not yet written to the socket.
    [[nodiscard]] std::size_t backlog() const
    {
        return m_backlog;
    }

    [[nodiscard]] TimePoint lastReceived() const
    {
        return m_lastReceived;
    }

    /// When the other node last showed that it is alive: it sent bytes, or took bytes that had to wait for it.
    [[nodiscard]] TimePoint lastProgress() const
    {
        return std::max(m_lastReceived, m_lastTaken);
    }

    /// Whether a part of a frame has been received and not its rest.
    [[nodiscard]] bool hasIncompleteFrame() const
    {
        return !m_input.empty() || m_incomplete;
    }

    [[nodiscard]] boost::asio::ip::tcp::socket &socket()
    {
        return m_socket;
    }

private:
    /// Bytes to write: frames without a body of their own, or the last of them with its body.
    struct Segment {
        std::string frames;
        Body body;
    };

    /// A frame whose body is being received.
    struct IncompleteFrame {
        Frame frame;
        std::size_t missing = 0; ///< Bytes of the body that have not been received.
        bool skipped = false; ///< The body is not kept.
        std::string body;
        MemoryCharge charge;
    };

    void read();
    bool onBytes(std::string_view bytes);
    bool keepInput(std::string_view bytes);
    std::optional<std::size_t> handleFrames(std::string_view bytes);
    std::optional<std::size_t> handleFrame(std::string_view bytes);
    std::size_t receiveBody(std::string_view bytes);
    void startBody(Frame frame, std::size_t bytes);
    void write();
    void awaitWritable();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<MemoryBudget> m_memory;
    Handlers m_handlers;
    std::string m_input; ///< Start of a frame whose rest has not been received yet, without its body.
    MemoryCharge m_inputCharge;
    std::optional<IncompleteFrame> m_incomplete;
    std::deque<Segment> m_queue;
    std::size_t m_written = 0; ///< Bytes of the first segment that are written.
    std::size_t m_backlog = 0;
    MemoryCharge m_queueCharge; ///< Of the queued frames; their bodies have charges of their own.
    bool m_awaitingWritable = false;
    SystemClock m_clock;
    TimePoint m_lastReceived;
    TimePoint m_lastTaken;
};

} // namespace vanillatack
