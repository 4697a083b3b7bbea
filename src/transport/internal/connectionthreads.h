#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace vanillatack {

/// A thread per connection, reused for later connections, up to a limit. Connections above it wait.
class ConnectionThreads
{
public:
    explicit ConnectionThreads(std::size_t limit);

    /// Joins; see stop().
    ~ConnectionThreads();

    ConnectionThreads(const ConnectionThreads &) = delete;
    ConnectionThreads &operator=(const ConnectionThreads &) = delete;

    void run(std::function<void()> task);

    /// Waits until all tasks have ended, waiting ones included.
    void stop();

    /// Whether tasks wait because the limit is reached.
    [[nodiscard]] bool isSaturated() const;

    [[nodiscard]] std::size_t active() const;

private:
    void work();

    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_ended;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_threads = 0;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace vanillatack
