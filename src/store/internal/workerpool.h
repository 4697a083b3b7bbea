#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace vanillatack {

/// Thread pool of fixed size with a bounded queue, for blocking calls.
class WorkerPool
{
public:
    /// Receives the index of the worker thread, or a negative index if the pool stopped before the task started.
    using Task = std::function<void(int worker)>;

    WorkerPool(int threads, std::size_t queueLimit);

    /// Waits for running tasks, then calls the queued tasks with a negative index.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Returns false if the queue is full.
    [[nodiscard]] bool submit(Task task);

private:
    void run(int worker);

    std::size_t m_queueLimit;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Task> m_queue;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace vanillatack
