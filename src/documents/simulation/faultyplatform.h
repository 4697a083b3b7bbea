#pragma once

#include "base/random.h"
#include "store/iexecutor.h"
#include "store/memorystore.h"

#include <functional>

namespace vanillatack {

/// Faults of the simulated platform. May be changed at any time.
struct SimulatedFaults {
    bool down = false;
    double unavailable = 0; ///< Probability that a call fails without effect.
    double loseAnswer = 0; ///< Probability that an answer is lost after the call took effect.
    double staleRead = 0; ///< Probability that a read sees the state of staleBy ago.
    Duration staleBy = std::chrono::seconds(2);
    Duration oneWay = std::chrono::milliseconds(2); ///< Time to or from the platform.
    Duration jitter = std::chrono::milliseconds(3); ///< Random addition.
    Duration timeout = std::chrono::seconds(2); ///< When a client gives up on a lost answer.
};

struct SimulatedCounters {
    std::uint64_t reads = 0;
    std::uint64_t scans = 0;
    std::uint64_t writes = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;
};

/// State of the simulated platform, shared by the clients of all nodes.
struct SimulatedPlatform {
    SimulatedPlatform(IExecutor &executorOfAll, std::uint64_t seed)
        : executor(executorOfAll)
        , random(seed)
    {
    }

    IExecutor &executor;
    SeededRandom random;
    MemoryStore store;
    MemoryStore replica; ///< Gets each write later, for stale reads.
    SimulatedFaults faults;
    SimulatedCounters counters;
};

/// The platform as one node reaches it.
class FaultyPlatformClient final : public ITableService, public IObjectStore
{
public:
    /// Reachable is asked when a call arrives and when its answer leaves.
    FaultyPlatformClient(SimulatedPlatform &platform, std::function<bool()> reachable);

    void read(const std::string &key, RowCompletion done) override;
    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override;
    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override;
    void get(const std::string &name, GetCompletion done) override;
    void put(const std::string &name, const std::string &content, PutCompletion done) override;

private:
    /// Runs the operation on the platform's side and passes its result, or an error, to the completion.
    template<class Value>
    void call(bool isWrite,
              std::uint64_t &counter,
              std::function<Result<Value>()> operation,
              std::function<void(Result<Value>)> done);

    const MemoryStore &storeForRead();
    Duration delay();

    SimulatedPlatform &m_platform;
    std::function<bool()> m_reachable;
};

} // namespace vanillatack
