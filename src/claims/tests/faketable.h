#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "store/itableservice.h"

#include <functional>
#include <map>
#include <string>

namespace vanillatack {

/// In-memory table on a manual clock that injects the faults of the platform. Completions run after random delays and
/// therefore out of order.
class FakeTable final : public ITableService
{
public:
    FakeTable(ManualClock &clock, IRandom &random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    bool down = false; ///< Every read and commit fails without taking effect.
    int faultPermille = 0; ///< Share of commits and reads with a fault.
    Duration maxDelay = std::chrono::milliseconds(10);
    int commits = 0;
    int writes = 0;
    int reads = 0;
    std::map<std::string, TableRow> rows;

    void read(const std::string &key, RowCompletion done) override;
    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override;
    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override;

    /// Runs the scheduled actions that are due.
    void runDue();

private:
    void schedule(Duration delayLimit, std::function<void()> action);
    TableCommit apply(const std::vector<TableWrite> &writes);
    bool injectsFault();

    ManualClock &m_clock;
    IRandom &m_random;
    std::multimap<TimePoint, std::function<void()>> m_due;
};

} // namespace vanillatack
