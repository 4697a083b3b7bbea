#include "base/log.h"
#include "store/platformsetup.h"

#include <utility>

namespace vanillatack {

namespace {

constexpr Log Logger("platform");

// Both services share ownership of the store, so that it outlives whichever is destroyed first.
class MemoryTableService final : public ITableService
{
public:
    MemoryTableService(std::shared_ptr<MemoryStore> store, IExecutor &executor)
        : m_store(std::move(store))
        , m_executor(executor)
    {
    }

    void read(const std::string &key, RowCompletion done) override
    {
        m_executor.post([done = std::move(done), row = m_store->read(key)] {
            done(row);
        });
    }

    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override
    {
        m_executor.post([done = std::move(done), rows = m_store->readMany(keys)] {
            done(rows);
        });
    }

    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override
    {
        m_executor.post([done = std::move(done), rows = m_store->scan(prefix, after, limit)] {
            done(rows);
        });
    }

    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override
    {
        m_executor.post([done = std::move(done), result = m_store->commit(writes)] {
            done(result);
        });
    }

private:
    std::shared_ptr<MemoryStore> m_store;
    IExecutor &m_executor;
};

class MemoryObjectStore final : public IObjectStore
{
public:
    MemoryObjectStore(std::shared_ptr<MemoryStore> store, IExecutor &executor)
        : m_store(std::move(store))
        , m_executor(executor)
    {
    }

    void get(const std::string &name, GetCompletion done) override
    {
        m_executor.post([done = std::move(done), content = m_store->getObject(name)] {
            done(content);
        });
    }

    void put(const std::string &name, const std::string &content, PutCompletion done) override
    {
        m_executor.post([done = std::move(done), result = m_store->putObject(name, content)] {
            done(result);
        });
    }

private:
    std::shared_ptr<MemoryStore> m_store;
    IExecutor &m_executor;
};

PlatformServices makeServices(const std::shared_ptr<MemoryStore> &store, IExecutor &executor)
{
    return {.table = std::make_unique<MemoryTableService>(store, executor),
            .objects = std::make_unique<MemoryObjectStore>(store, executor)};
}

} // namespace

PlatformServices makeMemoryPlatform(MemoryStore &store, IExecutor &executor)
{
    // The caller owns the store, so the deleter does nothing.
    return makeServices(std::shared_ptr<MemoryStore>(&store, [](MemoryStore *) {}), executor);
}

PlatformServices makeMemoryPlatform(IExecutor &executor)
{
    Logger.warning(
        "Using the embedded in-memory platform, which is not durable: documents and claims are lost when the "
        "process ends. To run more than one node, set address instead of embedded in [platform] of the settings.");
    return makeServices(std::make_shared<MemoryStore>(), executor);
}

} // namespace vanillatack
