#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "store/itableservice.h"

#include <functional>
#include <map>
#include <string>

namespace vanillatack {

/// A table in virtual time with the faults of the platform. Completions come after random delays, so out of order.
class FakeTable final : public ITableService
{
public:
    FakeTable(ManualClock &clock, IRandom &random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    bool down = false; ///< Nothing is done, everything fails.
    int faultPermille = 0; ///< Of commits and reads that go wrong.
    Duration longestDelay = std::chrono::milliseconds(10);
    int commits = 0;
    int writes = 0;
    int reads = 0;
    std::map<std::string, TableRow> rows;

    void read(const std::string &key, RowCompletion done) override;
    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override;
    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override;

    /// Runs what is due at the clock's time.
    void runDue();

private:
    void later(Duration longest, std::function<void()> action);
    TableCommit apply(const std::vector<TableWrite> &writes);
    bool fails();

    ManualClock &m_clock;
    IRandom &m_random;
    std::multimap<TimePoint, std::function<void()>> m_due;
};

} // namespace vanillatack
