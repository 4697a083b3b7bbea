#pragma once

#include "net/eventloop.h"
#include "wire/codec.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace vanillatack {

/// Connection between two nodes that carries frames in both directions, each prefixed with its length as a 32-bit
/// integer in native byte order, which is little-endian on all VMs of a fleet.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    struct Handlers {
        std::function<void(Frame)> onFrame;
        std::function<void()> onClosed; ///< Called once, also for close().
    };

    FrameConnection(boost::asio::ip::tcp::socket socket, std::size_t maxFrameBytes);

    /// Starts reading, and writes the frames that were queued by send() before.
    void start(Handlers handlers);

    /// Queues the frame; it is written once the connection is started.
    void send(const Frame &frame);
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

    [[nodiscard]] boost::asio::ip::tcp::socket &socket()
    {
        return m_socket;
    }

private:
    void read();
    bool onBytes(std::string_view bytes);
    std::optional<std::size_t> handleFrames(std::string_view bytes);
    void write();

    boost::asio::ip::tcp::socket m_socket;
    std::size_t m_maxFrameBytes;
    Handlers m_handlers;
    std::string m_input; ///< Start of a frame whose rest has not been received yet.
    std::string m_writing; ///< Bytes of the current write.
    std::string m_pending; ///< Bytes of the next write.
    std::size_t m_backlog = 0;
    SystemClock m_clock;
    TimePoint m_lastReceived;
};

} // namespace vanillatack
