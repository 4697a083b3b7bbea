#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace vanillatack {

/// Thread pool with one task per connection. Threads are started on demand up to a limit and reused; tasks above the
/// limit are queued.
class ConnectionThreads
{
public:
    explicit ConnectionThreads(std::size_t limit);

    /// Calls stop().
    ~ConnectionThreads();

    ConnectionThreads(const ConnectionThreads &) = delete;
    ConnectionThreads &operator=(const ConnectionThreads &) = delete;

    void run(std::function<void()> task);

    /// Waits until all tasks, including queued ones, and all threads have ended.
    void stop();

    /// Whether tasks are queued because the thread limit is reached.
    [[nodiscard]] bool isSaturated() const;

    /// Number of threads that run a task.
    [[nodiscard]] std::size_t active() const;

private:
    void work();

    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_ended;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_threads = 0;
    std::size_t m_idle = 0; ///< Threads that wait for a task or have just been started for one.
    bool m_stopping = false;
};

} // namespace vanillatack
