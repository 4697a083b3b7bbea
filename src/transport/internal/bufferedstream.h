#pragma once

#include "base/clock.h"
#include "transport/socket.h"

#include <httplib.h>

#include <string>

namespace vanillatack {

/// cpp-httplib stream with buffered reads and writes. The library's own stream polls before each operation and writes
/// head and body separately, which wakes the reader twice; this one sends a message with one write.
class BufferedStream final : public httplib::Stream
{
public:
    explicit BufferedStream(int socket, int cancelSocket = NoSocket);

    /// Reads fail once the peer of cancelSocket hangs up.
    void setCancelSocket(int cancelSocket);

    /// Reads and writes fail once the deadline has passed.
    void setDeadline(TimePoint deadline);

    /// Starts reading a message whose head may have at most this many bytes; see headTooLarge().
    void limitHead(std::size_t bytes);

    /// Lifts the limit of limitHead() after the head has been read.
    void endHead();

    [[nodiscard]] bool headTooLarge() const;

    /// Waits until a byte can be read, at once when one is buffered.
    WaitResult waitForData(TimePoint deadline);

    /// Sends the buffered output. False when the connection failed or the deadline passed.
    bool flush();

    /// Discards the buffered output without sending it.
    void discardOutput();

    /// Whether a byte written since the last resetFlags() may have been sent.
    [[nodiscard]] bool sentAnything() const;
    [[nodiscard]] bool receivedAnything() const;
    /// Clears sentAnything(), receivedAnything() and timedOut(), but not wasCancelled().
    void resetFlags();

    [[nodiscard]] bool wasCancelled() const;
    [[nodiscard]] bool timedOut() const;

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char *target, size_t size) override;
    ssize_t write(const char *data, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    [[nodiscard]] int socket() const override;

private:
    bool fill();

    int m_socket;
    int m_cancelSocket;
    TimePoint m_deadline = TimePoint::max();
    std::string m_input;
    std::size_t m_inputPosition = 0;
    std::size_t m_inputEnd = 0;
    std::string m_output;
    std::size_t m_headLeft = 0;
    bool m_headLimited = false;
    bool m_headTooLarge = false;
    bool m_sent = false;
    bool m_received = false;
    bool m_cancelled = false;
    bool m_timedOut = false;
};

} // namespace vanillatack
