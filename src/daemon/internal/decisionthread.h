#pragma once

#include "daemon/internal/nodelock.h"
#include "store/iexecutor.h"

#include <atomic>
#include <thread>
#include <vector>

namespace vanillatack {

/// Thread that calls INode::tick() and runs posted tasks, both under the node's lock.
class DecisionThread final : public IExecutor
{
public:
    DecisionThread(IClock &clock, NodeLock &lock);
    ~DecisionThread() override;

    /// Calls loadListener every second, under the node's lock, with the share of one core that this thread used since
    /// the previous call.
    void start(INode &node, std::function<void(double)> loadListener);
    void stop();

    void post(std::function<void()> task) override;

    /// The task runs up to one tick (10 ms) after the end of the delay.
    void postAfter(Duration delay, std::function<void()> task) override;

private:
    struct Task {
        TimePoint due;
        std::function<void()> run;
    };

    void work();
    std::vector<std::function<void()>> popDueTasks();

    IClock &m_clock;
    NodeLock &m_lock;
    void reportLoad();

    INode *m_node = nullptr;
    std::function<void(double)> m_loadListener;
    TimePoint m_nextReport;
    Duration m_reportedCpuTime{0};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace vanillatack
