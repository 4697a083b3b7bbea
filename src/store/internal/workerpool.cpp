#include "store/internal/workerpool.h"

#include <utility>

namespace vanillatack {

WorkerPool::WorkerPool(int threads, std::size_t queueLimit)
    : m_queueLimit(queueLimit)
{
    for (int worker = 0; worker < threads; ++worker) {
        m_threads.emplace_back([this, worker] {
            run(worker);
        });
    }
}

WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    for (const Task &task : m_queue) {
        task(-1);
    }
}

bool WorkerPool::submit(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_queueLimit) {
            return false;
        }
        m_queue.push_back(std::move(task));
    }
    m_wake.notify_one();
    return true;
}

void WorkerPool::run(int worker)
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] {
            return m_stopping || !m_queue.empty();
        });
        if (m_stopping) {
            return;
        }
        const Task task = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        task(worker);
        lock.lock();
    }
}

} // namespace vanillatack
