#include "daemon/internal/decisionthread.h"

#include <algorithm>
#include <ctime>

namespace vanillatack {

namespace {

constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::seconds ReportInterval{1};

Duration threadCpuTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

DecisionThread::DecisionThread(IClock &clock, NodeLock &lock)
    : m_clock(clock)
    , m_lock(lock)
{
}

DecisionThread::~DecisionThread()
{
    stop();
}

void DecisionThread::start(INode &node, std::function<void(double)> loadListener)
{
    m_node = &node;
    m_loadListener = std::move(loadListener);
    m_nextReport = m_clock.now() + ReportInterval;
    m_thread = std::thread([this] {
        work();
    });
}

void DecisionThread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DecisionThread::post(std::function<void()> task)
{
    postAfter(Duration::zero(), std::move(task));
}

void DecisionThread::postAfter(Duration delay, std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back({m_clock.now() + delay, std::move(task)});
    if (delay == Duration::zero()) {
        m_wake.notify_one();
    }
}

std::vector<std::function<void()>> DecisionThread::popDueTasks()
{
    std::vector<std::function<void()>> due;
    const TimePoint now = m_clock.now();
    const auto firstNotDue = std::stable_partition(m_tasks.begin(), m_tasks.end(), [now](const Task &task) {
        return task.due <= now;
    });
    for (auto task = m_tasks.begin(); task != firstNotDue; ++task) {
        due.push_back(std::move(task->run));
    }
    m_tasks.erase(m_tasks.begin(), firstNotDue);
    return due;
}

void DecisionThread::reportLoad()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextReport) {
        return;
    }
    const Duration elapsed = now - m_nextReport + ReportInterval;
    const Duration used = threadCpuTime();
    m_loadListener(std::chrono::duration<double>(used - m_reportedCpuTime) / std::chrono::duration<double>(elapsed));
    m_reportedCpuTime = used;
    m_nextReport = now + ReportInterval;
}

void DecisionThread::work()
{
    std::unique_lock lock(m_mutex);
    TimePoint nextTick = m_clock.now();
    while (!m_stopping) {
        const std::vector<std::function<void()>> due = popDueTasks();
        lock.unlock();
        {
            const auto nodeLock = m_lock.acquire();
            for (const auto &task : due) {
                task();
            }
            if (m_clock.now() >= nextTick) {
                m_node->tick();
                nextTick = m_clock.now() + TickInterval;
                reportLoad();
            }
        }
        lock.lock();
        const bool pending = std::any_of(m_tasks.begin(), m_tasks.end(), [this](const Task &task) {
            return task.due <= m_clock.now();
        });
        if (!m_stopping && !pending) {
            m_wake.wait_until(lock, nextTick);
        }
    }
}

} // namespace vanillatack
