#pragma once

#include "store/iexecutor.h"

#include <map>
#include <mutex>
#include <utility>

namespace vanillatack {

/// Executor for tests. Runs posted tasks on request, in the order of their due times on a manual clock; tasks with the
/// same due time keep the order of posting. Tasks may be posted from any thread.
class ManualExecutor final : public IExecutor
{
public:
    explicit ManualExecutor(ManualClock &clock)
        : m_clock(clock)
    {
    }

    void post(std::function<void()> task) override
    {
        postAfter(Duration::zero(), std::move(task));
    }

    void postAfter(Duration delay, std::function<void()> task) override
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.emplace(m_clock.now() + delay, std::move(task));
    }

    /// Runs all tasks that are due, including those that they post without delay. Returns their number.
    std::size_t runDue()
    {
        std::size_t count = 0;
        while (runNext(m_clock.now())) {
            ++count;
        }
        return count;
    }

    /// Advances the clock by the duration and runs each task at its due time.
    void runFor(Duration duration)
    {
        const TimePoint end = m_clock.now() + duration;
        while (runNext(end)) {
        }
        const std::lock_guard lock(m_mutex); // Posting threads read the clock.
        m_clock.advance(end - m_clock.now());
    }

private:
    bool runNext(TimePoint until)
    {
        std::function<void()> task;
        {
            const std::lock_guard lock(m_mutex);
            const auto first = m_tasks.begin();
            if (first == m_tasks.end() || first->first > until) {
                return false;
            }
            if (first->first > m_clock.now()) {
                m_clock.advance(first->first - m_clock.now());
            }
            task = std::move(first->second);
            m_tasks.erase(first);
        }
        task();
        return true;
    }

    ManualClock &m_clock;
    std::mutex m_mutex;
    std::multimap<TimePoint, std::function<void()>> m_tasks;
};

} // namespace vanillatack
