#pragma once

#include "base/random.h"
#include "store/iexecutor.h"
#include "store/memorystore.h"

#include <functional>

namespace vanillatack {

/// Faults injected by the simulated platform. May be changed at any time.
struct SimulatedPlatformFaults {
    bool down = false;
    double unavailable = 0; ///< Probability that a call fails without effect.
    double loseAnswer = 0; ///< Probability that an answer is lost after the call took effect.
    double staleRead = 0; ///< Probability that a read is served by the replica.
    Duration replicationDelay = std::chrono::seconds(2); ///< Lag of the replica.
    Duration oneWayDelay = std::chrono::milliseconds(2); ///< Base network delay to or from the platform.
    Duration jitter = std::chrono::milliseconds(3); ///< Maximum random addition to oneWayDelay.
    Duration timeout = std::chrono::seconds(2); ///< Time until a client reports a lost answer as an error.
};

struct SimulatedPlatformCounters {
    std::uint64_t reads = 0;
    std::uint64_t scans = 0;
    std::uint64_t writes = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;
};

/// State of the simulated platform, shared by the clients of all nodes.
struct SimulatedPlatform {
    SimulatedPlatform(IExecutor &sharedExecutor, std::uint64_t seed)
        : executor(sharedExecutor)
        , random(seed)
    {
    }

    IExecutor &executor;
    SeededRandom random;
    MemoryStore store;
    MemoryStore replica; ///< Receives each write after replicationDelay; serves stale reads.
    SimulatedPlatformFaults faults;
    SimulatedPlatformCounters counters;
};

/// Client of the simulated platform for one node.
class FaultyPlatformClient final : public ITableService, public IObjectStore
{
public:
    /// The reachable function is evaluated when a call arrives and when its answer is delivered.
    FaultyPlatformClient(SimulatedPlatform &platform, std::function<bool()> reachable);

    void read(const std::string &key, RowCompletion done) override;
    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override;
    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override;
    void get(const std::string &name, GetCompletion done) override;
    void put(const std::string &name, const std::string &content, PutCompletion done) override;

private:
    /// Runs the operation on the platform after the network delay and passes its result or an injected error to the
    /// completion.
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
