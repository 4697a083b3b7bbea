#include "base/logoutput.h"

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace vanillatack {

namespace {

/// Time for which the thread collects lines before it writes them, so that it is woken less often.
constexpr std::chrono::milliseconds CollectionTime(10);
/// Time for which the destructor waits for a reader.
constexpr Duration CloseTimeout = std::chrono::milliseconds(100);
/// Interval at which a descriptor that does not block is tried again.
constexpr int PollTimeoutMs = 100;

std::uint64_t countLines(std::string_view text)
{
    return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
}

/// Writes as much as possible and returns the rest, which is not empty after an error.
std::string_view writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t written = ::write(descriptor, text.data(), text.size());
        if (written > 0) {
            text.remove_prefix(static_cast<std::size_t>(written));
        } else if (written < 0 && errno == EAGAIN) {
            pollfd state{.fd = descriptor, .events = POLLOUT, .revents = 0};
            (void)::poll(&state, 1, PollTimeoutMs);
        } else if (written == 0 || errno != EINTR) {
            break;
        }
    }
    return text;
}

/// The thread must not take signals that the program handles elsewhere.
void blockAllSignals()
{
    sigset_t all;
    sigfillset(&all);
    (void)pthread_sigmask(SIG_SETMASK, &all, nullptr);
}

} // namespace

struct LogOutput::State {
    std::mutex mutex;
    std::condition_variable added;
    std::condition_variable written;
    std::string waiting;
    std::size_t bytesInWrite = 0; ///< Bytes taken from waiting that the descriptor has not taken yet.
    int flushes = 0; ///< Calls of flush() in progress.
    bool started = false;
    bool stopping = false;
    int descriptor = -1;
    std::atomic<std::uint64_t> droppedLines{0};

    [[nodiscard]] bool isEmpty() const
    {
        return waiting.empty() && bytesInWrite == 0;
    }

    void run();
};

void LogOutput::State::run()
{
    blockAllSignals();
    std::unique_lock lock(mutex);
    while (true) {
        added.wait(lock, [this] {
            return stopping || !waiting.empty();
        });
        added.wait_for(lock, CollectionTime, [this] {
            return stopping || flushes > 0;
        });
        if (waiting.empty()) {
            break; // Stopping.
        }
        const std::string text = std::exchange(waiting, std::string());
        bytesInWrite = text.size();
        lock.unlock();
        const std::string_view rest = writeAll(descriptor, text);
        droppedLines += countLines(rest);
        lock.lock();
        bytesInWrite = 0;
        written.notify_all();
    }
}

LogOutput::LogOutput(int descriptor, std::size_t maxBytes)
    : m_maxBytes(maxBytes)
    , m_state(std::make_shared<State>())
{
    m_state->descriptor = descriptor;
}

LogOutput::~LogOutput()
{
    (void)flush(CloseTimeout);
    const std::lock_guard lock(m_state->mutex);
    m_state->stopping = true;
    m_state->added.notify_all();
}

bool LogOutput::write(std::string_view line)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->waiting.size() + m_state->bytesInWrite + line.size() > m_maxBytes) {
        ++m_state->droppedLines;
        return false;
    }
    if (!m_state->started) {
        m_state->started = true;
        // Detached, since it cannot be joined while the reader stands still.
        std::thread([state = m_state] {
            state->run();
        }).detach();
    }
    const bool wasEmpty = m_state->waiting.empty();
    m_state->waiting += line;
    if (wasEmpty) {
        m_state->added.notify_all();
    }
    return true;
}

bool LogOutput::flush(Duration timeout)
{
    std::unique_lock lock(m_state->mutex);
    ++m_state->flushes;
    m_state->added.notify_all();
    const bool done = m_state->written.wait_for(lock, timeout, [this] {
        return m_state->isEmpty();
    });
    --m_state->flushes;
    return done;
}

std::uint64_t LogOutput::droppedLines() const
{
    return m_state->droppedLines;
}

} // namespace vanillatack
