#include "store/internal/httpconnection.h"
#include "store/platformprotocol.h"
#include "store/platformsetup.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace vanillatack {

namespace {

// 404 would also come from a server that is not the platform, so it does not mean that a row is absent.
constexpr int StatusAbsent = 204;
constexpr int StatusConflict = 409;

// A read that got an answer without meaning is as good as unanswered.
Error unusable(const Error &problem)
{
    return makeError(ErrorKind::Timeout, problem.message, problem.remedy);
}

std::string pathOf(std::string_view path, std::string_view query)
{
    return absl::StrCat(asAbsl(path), "?", asAbsl(query));
}

/// Passes the decoded body, or the error, to the completion.
template<class Value, class Decoder>
HttpConnection::Completion decodeWith(Decoder decoder, std::function<void(Result<Value>)> done)
{
    return [decoder, done = std::move(done)](const Result<HttpAnswer> &answer) {
        if (!answer) {
            done(answer.error());
            return;
        }
        done(decoder(answer.value()));
    };
}

Result<std::optional<TableRow>> readRow(const HttpAnswer &answer)
{
    if (answer.status == StatusAbsent) {
        return std::optional<TableRow>();
    }
    Result<TableRow> row = decodeRow(answer.body);
    if (!row) {
        return unusable(row.error());
    }
    return std::optional(std::move(row.value()));
}

Result<std::vector<TableRow>> readRows(const HttpAnswer &answer)
{
    Result<std::vector<TableRow>> rows = decodeRows(answer.body);
    if (!rows) {
        return unusable(rows.error());
    }
    return rows;
}

Result<TableCommit> readCommit(const HttpAnswer &answer)
{
    Result<TableCommit> commit = decodeCommit(answer.body);
    if (!commit) {
        return makeError(ErrorKind::OutcomeUnknown, commit.error().message, "Read the row back before writing again.");
    }
    return commit;
}

Result<std::optional<std::string>> readObject(const HttpAnswer &answer)
{
    return answer.status == StatusAbsent ? std::optional<std::string>() : std::optional(answer.body);
}

Result<void> readPut(const HttpAnswer &answer)
{
    if (answer.status == StatusConflict) {
        return makeError(
            ErrorKind::Conflict, "The object exists with other content.", "Choose a name that depends on the content.");
    }
    return success();
}

class HttpTableService final : public ITableService
{
public:
    explicit HttpTableService(std::shared_ptr<HttpConnection> connection)
        : m_connection(std::move(connection))
    {
    }

    void read(const std::string &key, RowCompletion done) override
    {
        m_connection->start({.method = "GET", .path = pathOf(RowPath, "key=" + percentEncode(key))},
                            decodeWith<std::optional<TableRow>>(readRow, std::move(done)));
    }

    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override
    {
        post(ReadManyPath, encodeKeys(keys), false, decodeWith<std::vector<TableRow>>(readRows, std::move(done)));
    }

    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override
    {
        const std::string query =
            absl::StrCat("prefix=", percentEncode(prefix), "&after=", percentEncode(after), "&limit=", limit);
        m_connection->start({.method = "GET", .path = pathOf(ScanPath, query)},
                            decodeWith<std::vector<TableRow>>(readRows, std::move(done)));
    }

    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override
    {
        post(TransactionPath, encodeWrites(writes), true, decodeWith<TableCommit>(readCommit, std::move(done)));
    }

private:
    void post(std::string_view path, const Result<std::string> &body, bool isWrite, HttpConnection::Completion done)
    {
        if (!body) {
            m_connection->fail(std::move(done), body.error());
            return;
        }
        m_connection->start({.method = "POST", .path = std::string(path), .body = body.value(), .isWrite = isWrite},
                            std::move(done));
    }

    std::shared_ptr<HttpConnection> m_connection;
};

class HttpObjectStore final : public IObjectStore
{
public:
    explicit HttpObjectStore(std::shared_ptr<HttpConnection> connection)
        : m_connection(std::move(connection))
    {
    }

    void get(const std::string &name, GetCompletion done) override
    {
        m_connection->start({.method = "GET", .path = pathOfObject(name)},
                            decodeWith<std::optional<std::string>>(readObject, std::move(done)));
    }

    void put(const std::string &name, const std::string &content, PutCompletion done) override
    {
        m_connection->start({.method = "PUT",
                             .path = pathOfObject(name),
                             .body = content,
                             .contentType = "application/octet-stream",
                             .isWrite = true},
                            decodeWith<void>(readPut, std::move(done)));
    }

private:
    static std::string pathOfObject(const std::string &name)
    {
        return absl::StrCat(asAbsl(ObjectPath), percentEncode(name));
    }

    std::shared_ptr<HttpConnection> m_connection;
};

} // namespace

PlatformServices makeHttpPlatform(const HttpPlatformSettings &settings, const IClock &clock, IExecutor &executor)
{
    auto connection = std::make_shared<HttpConnection>(settings, clock, executor);
    return {.table = std::make_unique<HttpTableService>(connection),
            .objects = std::make_unique<HttpObjectStore>(connection)};
}

} // namespace vanillatack
