#pragma once

#include "fleet/itablestore.h"

#include <deque>
#include <map>
#include <utility>

namespace vanillatack {

/// A store with one table in memory. The test decides when each call is answered, refused or lost.
class FakeTableStore final : public ITableStore
{
public:
    struct Call {
        std::string kind; ///< "read", "watch" or "write".
        std::string from;
        std::uint64_t after = 0;
        ConditionalWrite write;
        TableCompletion completion;
    };

    void read(const std::string & /*table*/, const std::string &fromKey, TableCompletion completion) override
    {
        calls.push_back({"read", fromKey, 0, {}, std::move(completion)});
    }

    void watch(const std::string & /*table*/,
               std::uint64_t afterVersion,
               Duration /*wait*/,
               TableCompletion completion) override
    {
        calls.push_back({"watch", {}, afterVersion, {}, std::move(completion)});
    }

    void write(const ConditionalWrite &write, TableCompletion completion) override
    {
        calls.push_back({"write", {}, 0, write, std::move(completion)});
    }

    /// Writes a row as any client of the store.
    void put(const std::string &key, const std::string &value)
    {
        rows[key] = {key, value, ++version, false};
        history.push_back(rows[key]);
    }

    void remove(const std::string &key)
    {
        rows.erase(key);
        history.push_back({key, {}, ++version, true});
    }

    /// Comes back from a copy of the given version: what was written since is gone, and its numbers are given out
    /// again.
    void restore(std::uint64_t copyVersion)
    {
        const std::uint64_t era = storeEraOf(version) + 1;
        const auto inNewEra = [era](std::uint64_t old) {
            return makeStoreVersion(era, storeNumberOf(old));
        };
        rows.clear();
        std::erase_if(history, [copyVersion](const VersionedRow &row) {
            return row.version > copyVersion;
        });
        for (VersionedRow &row : history) {
            row.version = inNewEra(row.version);
            if (row.deleted) {
                rows.erase(row.key);
            } else {
                rows[row.key] = row;
            }
        }
        version = inNewEra(copyVersion);
    }

    /// Executes the oldest call and answers it.
    void answer()
    {
        Call call = popCall();
        TableAnswer result;
        result.outcome = TableOutcome::Done;
        if (call.kind == "read") {
            for (const auto &[key, row] : rows) {
                if (key >= call.from && result.rows.size() < pageSize) {
                    result.rows.push_back(row);
                } else if (key >= call.from) {
                    result.hasMore = true;
                }
            }
        } else if (call.kind == "watch" && storeEraOf(call.after) != storeEraOf(version)) {
            result.outcome = TableOutcome::HistoryGone;
        } else if (call.kind == "watch") {
            for (const VersionedRow &row : history) {
                if (row.version > call.after) {
                    result.rows.push_back(row);
                }
            }
        } else {
            applyWrite(call.write, result);
        }
        result.version = version;
        call.completion(result);
    }

    /// Finishes the oldest call with the given outcome. With executeWrite, its write is executed although its answer is
    /// lost.
    void finish(TableOutcome outcome, bool executeWrite = false)
    {
        Call call = popCall();
        TableAnswer ignored;
        if (executeWrite) {
            applyWrite(call.write, ignored);
        }
        TableAnswer result;
        result.outcome = outcome;
        call.completion(result);
    }

    std::deque<Call> calls;
    std::map<std::string, VersionedRow> rows;
    std::vector<VersionedRow> history;
    std::uint64_t version = 0;
    std::size_t pageSize = 100;
    bool away = false; ///< Whether a SharedTableStore of this table refuses all calls.

private:
    Call popCall()
    {
        Call call = std::move(calls.front());
        calls.pop_front();
        return call;
    }

    void applyWrite(const ConditionalWrite &write, TableAnswer &result)
    {
        const auto row = rows.find(write.key);
        const std::uint64_t current = row == rows.end() ? 0 : row->second.version;
        if (current != write.expectedVersion) {
            result.outcome = TableOutcome::Conflict;
            if (row != rows.end()) {
                result.rows.push_back(row->second);
            }
        } else if (write.value) {
            put(write.key, *write.value);
        } else {
            remove(write.key);
        }
    }
};

/// Delayed calls that run when the test calls runAll().
class FakeDelays
{
public:
    DelayedCall function()
    {
        return [this](Duration, std::function<void()> call) {
            m_calls.push_back(std::move(call));
        };
    }

    void runAll()
    {
        auto calls = std::exchange(m_calls, {});
        for (const auto &call : calls) {
            call();
        }
    }

private:
    std::vector<std::function<void()>> m_calls;
};

} // namespace vanillatack
