#include "documents/simulation/faultyplatform.h"

#include <utility>

namespace vanillatack {

FaultyPlatformClient::FaultyPlatformClient(SimulatedPlatform &platform, std::function<bool()> reachable)
    : m_platform(platform)
    , m_reachable(std::move(reachable))
{
}

Duration FaultyPlatformClient::delay()
{
    const auto jitter = static_cast<double>(m_platform.faults.jitter.count());
    return m_platform.faults.oneWayDelay + Duration(static_cast<Duration::rep>(m_platform.random.fraction() * jitter));
}

const MemoryStore &FaultyPlatformClient::storeForRead()
{
    const bool stale = m_platform.random.fraction() < m_platform.faults.staleRead;
    return stale ? m_platform.replica : m_platform.store;
}

// The client may be destroyed before the call arrives, so the lambdas do not capture it. The platform outlives them.
template<class Value>
void FaultyPlatformClient::call(bool isWrite,
                                std::uint64_t &counter,
                                std::function<Result<Value>()> operation,
                                std::function<void(Result<Value>)> done)
{
    SimulatedPlatform &platform = m_platform;
    const auto reportLoss = [&platform, isWrite, done] {
        platform.executor.postAfter(platform.faults.timeout, [isWrite, done] {
            done(makeError(isWrite ? ErrorKind::OutcomeUnknown : ErrorKind::Timeout, "The answer was lost."));
        });
    };
    const auto process =
        [&platform, &counter, operation = std::move(operation), done, reportLoss, returnDelay = delay()](
            const std::function<bool()> &reachable) {
            if (platform.faults.down || !reachable() || platform.random.fraction() < platform.faults.unavailable) {
                done(makeError(ErrorKind::Unavailable, "The platform is unavailable."));
                return;
            }
            ++counter;
            const Result<Value> result = operation();
            if (platform.random.fraction() < platform.faults.loseAnswer) {
                reportLoss();
                return;
            }
            platform.executor.postAfter(returnDelay, [&platform, reachable, done, reportLoss, result] {
                if (platform.faults.down || !reachable()) {
                    reportLoss();
                    return;
                }
                done(result);
            });
        };
    platform.executor.postAfter(delay(), [process, reachable = m_reachable] {
        process(reachable);
    });
}

void FaultyPlatformClient::read(const std::string &key, RowCompletion done)
{
    const MemoryStore &store = storeForRead();
    call<std::optional<TableRow>>(
        false,
        m_platform.counters.reads,
        [&store, key] {
            return store.read(key);
        },
        std::move(done));
}

void FaultyPlatformClient::readMany(const std::vector<std::string> &keys, RowsCompletion done)
{
    const MemoryStore &store = storeForRead();
    call<std::vector<TableRow>>(
        false,
        m_platform.counters.reads,
        [&store, keys] {
            return store.readMany(keys);
        },
        std::move(done));
}

void FaultyPlatformClient::scan(const std::string &prefix,
                                const std::string &after,
                                std::size_t limit,
                                RowsCompletion done)
{
    const MemoryStore &store = storeForRead();
    call<std::vector<TableRow>>(
        false,
        m_platform.counters.scans,
        [&store, prefix, after, limit] {
            return store.scan(prefix, after, limit);
        },
        std::move(done));
}

void FaultyPlatformClient::commit(const std::vector<TableWrite> &writes, CommitCompletion done)
{
    call<TableCommit>(
        true,
        m_platform.counters.writes,
        [&platform = m_platform, writes]() -> Result<TableCommit> {
            Result<TableCommit> result = platform.store.commit(writes);
            if (result && result.value().committed) {
                platform.executor.postAfter(platform.faults.replicationDelay, [&platform, writes] {
                    std::vector<TableWrite> unconditional = writes;
                    for (TableWrite &write : unconditional) {
                        write.expectedVersion.reset();
                    }
                    static_cast<void>(platform.replica.commit(unconditional));
                });
            }
            return result;
        },
        std::move(done));
}

void FaultyPlatformClient::get(const std::string &name, GetCompletion done)
{
    const MemoryStore &store = storeForRead();
    call<std::optional<std::string>>(
        false,
        m_platform.counters.objectReads,
        [&store, name] {
            return store.getObject(name);
        },
        std::move(done));
}

void FaultyPlatformClient::put(const std::string &name, const std::string &content, PutCompletion done)
{
    call<void>(
        true,
        m_platform.counters.objectWrites,
        [&platform = m_platform, name, content]() -> Result<void> {
            Result<void> result = platform.store.putObject(name, content);
            platform.executor.postAfter(platform.faults.replicationDelay, [&platform, name, content] {
                static_cast<void>(platform.replica.putObject(name, content));
            });
            return result;
        },
        std::move(done));
}

} // namespace vanillatack
