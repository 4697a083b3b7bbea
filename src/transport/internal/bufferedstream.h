#pragma once

#include "base/clock.h"
#include "transport/socket.h"

#include <httplib.h>

#include <string>

namespace vanillatack {

/// Stream of cpp-httplib over a socket with buffered reads and writes. The library's own stream polls before each
/// operation and sends head and body apart, which wakes the reader twice; this one sends a message with one write.
class BufferedStream final : public httplib::Stream
{
public:
    explicit BufferedStream(int socket, int cancelSocket = NoSocket);

    /// Reads end when the peer of this socket hangs up.
    void setCancelSocket(int cancelSocket);

    /// Reads and writes after the deadline fail.
    void setDeadline(TimePoint deadline);

    /// Starts a new incoming message whose head may have at most this many bytes; see headTooLarge().
    void limitHead(std::size_t bytes);

    /// The head is complete; the limit no longer applies.
    void endHead();

    [[nodiscard]] bool headTooLarge() const;

    /// Waits for the first byte of a message.
    WaitResult waitForData(TimePoint deadline);

    /// Sends what is buffered. False when the connection is broken.
    bool flush();

    /// Drops what is buffered for sending.
    void discardOutput();

    /// Whether any byte written since the last resetCounters() may have left this process.
    [[nodiscard]] bool sentAnything() const;
    [[nodiscard]] bool receivedAnything() const;
    void resetCounters();

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
