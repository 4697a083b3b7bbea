#pragma once

#include "store/iexecutor.h"

#include <map>
#include <mutex>
#include <utility>

namespace vanillatack {

/// Runs posted tasks when told to, in the order of their time on a clock that the test moves. Tasks of the same time
/// keep the order of posting. Tasks may be posted from any thread.
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

    /// Runs tasks that are due now, with those they post for now. Returns how many ran.
    std::size_t runDue()
    {
        std::size_t count = 0;
        while (runFirst(m_clock.now())) {
            ++count;
        }
        return count;
    }

    /// Moves the clock step by step to the end and runs each task at its time.
    void runFor(Duration duration)
    {
        const TimePoint end = m_clock.now() + duration;
        while (runFirst(end)) {
        }
        const std::lock_guard lock(m_mutex); // Threads that post read the clock.
        m_clock.advance(end - m_clock.now());
    }

private:
    bool runFirst(TimePoint until)
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
