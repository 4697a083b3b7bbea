#pragma once

#include "node/nodesetup.h"
#include "store/iexecutor.h"

namespace vanillatack {

/// Wraps a table. While down, every operation fails; with losesAnswers, commits take effect but fail with
/// OutcomeUnknown.
struct FaultyTable final : ITableService {
    ITableService &table;
    IExecutor &executor;
    bool down = false;
    bool losesAnswers = false;

    FaultyTable(ITableService &inner, IExecutor &tasks)
        : table(inner)
        , executor(tasks)
    {
    }

    void fail(const auto &done, ErrorKind kind)
    {
        executor.post([done, kind] {
            done(makeError(kind, "fault"));
        });
    }
    void read(const std::string &key, RowCompletion done) override
    {
        down ? fail(done, ErrorKind::Timeout) : table.read(key, done);
    }
    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override
    {
        down ? fail(done, ErrorKind::Timeout) : table.readMany(keys, done);
    }
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override
    {
        down ? fail(done, ErrorKind::Timeout) : table.scan(prefix, after, limit, done);
    }
    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override
    {
        if (down || losesAnswers) {
            fail(done, down ? ErrorKind::Unavailable : ErrorKind::OutcomeUnknown);
            done = [](const Result<TableCommit> &) {};
        }
        if (!down) {
            table.commit(writes, done);
        }
    }
};

struct NullMetrics final : IMetrics {
    void countRequest(const RouteName &, const WorkspaceName &, int, Duration) override
    {
    }
    void countRefusal(RefusalKind, PriorityClass) override
    {
    }
    void countAttempt(const ServiceName &, bool) override
    {
    }
    void countControlBytes(const std::string &, std::size_t) override
    {
    }
    void countPlatformOperation(const std::string &, bool) override
    {
    }
    void setGauge(const std::string &, double) override
    {
    }
    [[nodiscard]] std::string text() const override
    {
        return {};
    }
};

/// Fault of a connection during a call. Broken ends the call before it reaches the other node, ReplyLost after it ran.
enum class LinkFault {
    None,
    NotSent,
    Broken,
    ReplyLost
};

} // namespace vanillatack
