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
    return m_platform.faults.oneWay + Duration(static_cast<Duration::rep>(m_platform.random.fraction() * jitter));
}

const MemoryStore &FaultyPlatformClient::storeForRead()
{
    const bool stale = m_platform.random.fraction() < m_platform.faults.staleRead;
    return stale ? m_platform.replica : m_platform.store;
}

// The client object may be gone when a call arrives, so that everything is captured by value. The platform stays.
template<class Value>
void FaultyPlatformClient::call(bool isWrite,
                                std::uint64_t &counter,
                                std::function<Result<Value>()> operation,
                                std::function<void(Result<Value>)> done)
{
    SimulatedPlatform &platform = m_platform;
    const auto lost = [&platform, isWrite, done] {
        platform.executor.postAfter(platform.faults.timeout, [isWrite, done] {
            done(makeError(isWrite ? ErrorKind::OutcomeUnknown : ErrorKind::Timeout, "The answer was lost."));
        });
    };
    const auto arrive = [&platform, &counter, operation = std::move(operation), done, lost, back = delay()](
                            const std::function<bool()> &reachable) {
        if (platform.faults.down || !reachable() || platform.random.fraction() < platform.faults.unavailable) {
            done(makeError(ErrorKind::Unavailable, "The platform is down."));
            return;
        }
        ++counter;
        const Result<Value> result = operation();
        if (platform.random.fraction() < platform.faults.loseAnswer) {
            lost();
            return;
        }
        platform.executor.postAfter(back, [&platform, reachable, done, lost, result] {
            if (platform.faults.down || !reachable()) {
                lost();
                return;
            }
            done(result);
        });
    };
    platform.executor.postAfter(delay(), [arrive, reachable = m_reachable] {
        arrive(reachable);
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
                platform.executor.postAfter(platform.faults.staleBy, [&platform, writes] {
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
            platform.executor.postAfter(platform.faults.staleBy, [&platform, name, content] {
                static_cast<void>(platform.replica.putObject(name, content));
            });
            return result;
        },
        std::move(done));
}

} // namespace vanillatack
