#include "transport/internal/connectionthreads.h"

#include <chrono>
#include <thread>
#include <utility>

namespace vanillatack {

namespace {

constexpr std::chrono::seconds IdleThreadLifetime{30};

} // namespace

ConnectionThreads::ConnectionThreads(std::size_t limit)
    : m_limit(limit)
{
}

ConnectionThreads::~ConnectionThreads()
{
    stop();
}

void ConnectionThreads::run(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle >= m_tasks.size()) {
        m_wake.notify_one();
        return;
    }
    if (m_threads < m_limit) {
        ++m_threads;
        ++m_idle; // It takes a queued task as soon as it runs.
        std::thread([this] {
            work();
        }).detach(); // stop() waits until m_threads is 0 instead of joining.
    }
}

void ConnectionThreads::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        const bool woken = m_wake.wait_for(lock, IdleThreadLifetime, [this] {
            return !m_tasks.empty() || m_stopping;
        });
        --m_idle;
        if (!woken || m_tasks.empty()) {
            break;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
        ++m_idle;
    }
    --m_threads;
    m_ended.notify_all();
}

void ConnectionThreads::stop()
{
    std::unique_lock lock(m_mutex);
    m_stopping = true;
    m_wake.notify_all();
    m_ended.wait(lock, [this] {
        return m_threads == 0;
    });
}

bool ConnectionThreads::isSaturated() const
{
    const std::lock_guard lock(m_mutex);
    return m_threads >= m_limit && m_tasks.size() > m_idle;
}

std::size_t ConnectionThreads::active() const
{
    const std::lock_guard lock(m_mutex);
    return m_threads - m_idle;
}

} // namespace vanillatack
