#include "claims/tests/faketable.h"

namespace vanillatack {

using namespace std::chrono_literals;

void FakeTable::schedule(Duration delayLimit, std::function<void()> action)
{
    const auto delay = static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(delayLimit.count()) + 1));
    m_due.emplace(m_clock.now() + Duration(delay), std::move(action));
}

void FakeTable::runDue()
{
    while (!m_due.empty() && m_due.begin()->first <= m_clock.now()) {
        const std::function<void()> action = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        action();
    }
}

bool FakeTable::injectsFault()
{
    return down || m_random.below(1000) < static_cast<std::uint64_t>(faultPermille);
}

void FakeTable::read(const std::string &key, RowCompletion done)
{
    readMany({key}, [done = std::move(done)](Result<std::vector<TableRow>> rowsRead) {
        if (!rowsRead.has_value()) {
            done(rowsRead.error());
        } else if (rowsRead.value().empty()) {
            done(std::optional<TableRow>());
        } else {
            done(std::optional<TableRow>(rowsRead.value().front()));
        }
    });
}

void FakeTable::readMany(const std::vector<std::string> &keys, RowsCompletion done)
{
    ++reads;
    schedule(maxDelay, [=, this, done = std::move(done)] {
        if (injectsFault()) {
            done(makeError(ErrorKind::Timeout, "down"));
            return;
        }
        std::vector<TableRow> result;
        for (const std::string &key : keys) {
            if (rows.contains(key)) {
                result.push_back(rows.at(key));
            }
        }
        // The rows may have changed by the time the answer arrives.
        schedule(maxDelay, [=] {
            done(result);
        });
    });
}

void FakeTable::scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done)
{
    std::vector<TableRow> result;
    for (auto row = rows.upper_bound(after); row != rows.end() && result.size() < limit; ++row) {
        if (row->first.starts_with(prefix)) {
            result.push_back(row->second);
        }
    }
    schedule(maxDelay, [=] {
        done(result);
    });
}

TableCommit FakeTable::apply(const std::vector<TableWrite> &transaction)
{
    TableCommit result;
    for (std::size_t index = 0; index < transaction.size(); ++index) {
        const TableWrite &write = transaction[index];
        const auto row = rows.find(write.key);
        const std::uint64_t version = row == rows.end() ? 0 : row->second.version;
        if (write.expectedVersion && *write.expectedVersion != version) {
            result.conflicts.push_back(index);
        }
    }
    if (!result.conflicts.empty()) {
        return result;
    }
    result.committed = true;
    for (const TableWrite &write : transaction) {
        if (write.value) {
            TableRow &row = rows[write.key];
            row = {write.key, *write.value, row.version + 1};
            result.versions.push_back(row.version);
        } else {
            rows.erase(write.key);
            result.versions.push_back(0);
        }
    }
    return result;
}

void FakeTable::commit(const std::vector<TableWrite> &transaction, CommitCompletion done)
{
    ++commits;
    writes += static_cast<int>(transaction.size());
    const bool faulty = !down && injectsFault();
    const std::uint64_t fault = m_random.below(5);
    if (down || (faulty && fault == 0)) {
        schedule(maxDelay, [=] {
            done(makeError(ErrorKind::Unavailable, "down"));
        });
    } else if (faulty && fault == 1) {
        // Reports a failure, but the commit takes effect, possibly after the answer.
        schedule(maxDelay, [=] {
            done(makeError(ErrorKind::Unavailable, "failed"));
        });
        schedule(3s, [=, this] {
            apply(transaction);
        });
    } else if (faulty && fault == 2) {
        // Takes effect without any answer.
        schedule(maxDelay, [=, this] {
            apply(transaction);
        });
    } else {
        schedule(maxDelay, [=, this] {
            const TableCommit result = apply(transaction);
            schedule(faulty && fault == 3 ? Duration(4s) : maxDelay, [=] {
                if (faulty && fault == 4) {
                    done(makeError(ErrorKind::OutcomeUnknown, "answer lost"));
                } else {
                    done(result);
                }
            });
        });
    }
}

} // namespace vanillatack
