#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace vanillatack {

/// A fixed number of threads with a bounded queue, for blocking calls.
class WorkerPool
{
public:
    /// Runs with the index of its thread; a negative index means that the pool stopped before the task could start.
    using Task = std::function<void(int worker)>;

    WorkerPool(int threads, std::size_t queueLimit);

    /// Waits for running tasks; the ones that wait are called with a negative index.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// False when the queue is full.
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
