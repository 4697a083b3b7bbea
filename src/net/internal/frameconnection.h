#pragma once

#include "net/eventloop.h"
#include "wire/codec.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace vanillatack {

/// One connection between nodes: frames with their length in front, in both directions.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    struct Handlers {
        std::function<void(Frame)> onFrame;
        std::function<void()> onClosed; ///< Called once, also after close().
    };

    FrameConnection(boost::asio::ip::tcp::socket socket, std::size_t maxFrameBytes);

    void start(Handlers handlers);
    void send(const Frame &frame);
    void close();

    /// Closes with a reset, so that bytes on the way are lost instead of arriving after the network has healed.
    void abort();

    /// Bytes that wait to be written.
    [[nodiscard]] std::size_t backlog() const
    {
        return m_backlog;
    }

    [[nodiscard]] TimePoint lastHeard() const
    {
        return m_lastHeard;
    }

    [[nodiscard]] boost::asio::ip::tcp::socket &socket()
    {
        return m_socket;
    }

private:
    void read();
    bool takeFrames();
    void write();

    boost::asio::ip::tcp::socket m_socket;
    std::size_t m_maxFrameBytes;
    Handlers m_handlers;
    std::string m_input;
    std::string m_writing; ///< Being written.
    std::string m_waiting; ///< Written next, in one piece.
    std::size_t m_backlog = 0;
    SystemClock m_clock;
    TimePoint m_lastHeard;
    std::array<char, 16384> m_chunk{};
};

} // namespace vanillatack
