#include "store/internal/platformhttpclient.h"
#include "store/platformprotocol.h"
#include "store/platformsetup.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace vanillatack {

namespace {

// The status of an absent row. 404 is not used for it, since a server other than the platform may also send it.
constexpr int StatusNoContent = 204;
constexpr int StatusConflict = 409;

// An undecodable response to a read is reported like a missing one.
Error unusableResponseError(const Error &error)
{
    return makeError(ErrorKind::Timeout, error.message, error.remedy);
}

std::string pathWithQuery(std::string_view path, std::string_view query)
{
    return absl::StrCat(asAbsl(path), "?", asAbsl(query));
}

/// Returns a completion that passes the decoded response, or the error, to `done`.
template<class Value, class Decoder>
PlatformHttpClient::Completion decodeWith(Decoder decoder, std::function<void(Result<Value>)> done)
{
    return [decoder, done = std::move(done)](const Result<PlatformResponse> &response) {
        if (!response) {
            done(response.error());
            return;
        }
        done(decoder(response.value()));
    };
}

Result<std::optional<TableRow>> rowFromResponse(const PlatformResponse &response)
{
    if (response.status == StatusNoContent) {
        return std::optional<TableRow>();
    }
    Result<TableRow> row = decodeRow(response.body);
    if (!row) {
        return unusableResponseError(row.error());
    }
    return std::optional(std::move(row.value()));
}

Result<std::vector<TableRow>> rowsFromResponse(const PlatformResponse &response)
{
    Result<std::vector<TableRow>> rows = decodeRows(response.body);
    if (!rows) {
        return unusableResponseError(rows.error());
    }
    return rows;
}

Result<TableCommit> commitFromResponse(const PlatformResponse &response)
{
    Result<TableCommit> commit = decodeCommit(response.body);
    if (!commit) {
        return makeError(
            ErrorKind::OutcomeUnknown, commit.error().message, "Read the row back before writing it again.");
    }
    return commit;
}

Result<std::optional<std::string>> objectFromResponse(const PlatformResponse &response)
{
    return response.status == StatusNoContent ? std::optional<std::string>() : std::optional(response.body);
}

Result<void> putResultFromResponse(const PlatformResponse &response)
{
    if (response.status == StatusConflict) {
        return makeError(ErrorKind::Conflict,
                         "The object exists with different content.",
                         "Use a name that is derived from the content.");
    }
    return success();
}

class HttpTableService final : public ITableService
{
public:
    explicit HttpTableService(std::shared_ptr<PlatformHttpClient> client)
        : m_client(std::move(client))
    {
    }

    void read(const std::string &key, RowCompletion done) override
    {
        m_client->start({.method = "GET", .path = pathWithQuery(RowPath, "key=" + percentEncode(key))},
                        decodeWith<std::optional<TableRow>>(rowFromResponse, std::move(done)));
    }

    void readMany(const std::vector<std::string> &keys, RowsCompletion done) override
    {
        post(ReadManyPath,
             encodeKeys(keys),
             false,
             decodeWith<std::vector<TableRow>>(rowsFromResponse, std::move(done)));
    }

    void scan(const std::string &prefix, const std::string &after, std::size_t limit, RowsCompletion done) override
    {
        const std::string query =
            absl::StrCat("prefix=", percentEncode(prefix), "&after=", percentEncode(after), "&limit=", limit);
        m_client->start({.method = "GET", .path = pathWithQuery(ScanPath, query)},
                        decodeWith<std::vector<TableRow>>(rowsFromResponse, std::move(done)));
    }

    void commit(const std::vector<TableWrite> &writes, CommitCompletion done) override
    {
        post(TransactionPath, encodeWrites(writes), true, decodeWith<TableCommit>(commitFromResponse, std::move(done)));
    }

private:
    void post(std::string_view path, const Result<std::string> &body, bool isWrite, PlatformHttpClient::Completion done)
    {
        if (!body) {
            m_client->fail(std::move(done), body.error());
            return;
        }
        m_client->start({.method = "POST", .path = std::string(path), .body = body.value(), .isWrite = isWrite},
                        std::move(done));
    }

    std::shared_ptr<PlatformHttpClient> m_client;
};

class HttpObjectStore final : public IObjectStore
{
public:
    explicit HttpObjectStore(std::shared_ptr<PlatformHttpClient> client)
        : m_client(std::move(client))
    {
    }

    void get(const std::string &name, GetCompletion done) override
    {
        m_client->start({.method = "GET", .path = objectPath(name)},
                        decodeWith<std::optional<std::string>>(objectFromResponse, std::move(done)));
    }

    void put(const std::string &name, const std::string &content, PutCompletion done) override
    {
        m_client->start({.method = "PUT",
                         .path = objectPath(name),
                         .body = content,
                         .contentType = "application/octet-stream",
                         .isWrite = true},
                        decodeWith<void>(putResultFromResponse, std::move(done)));
    }

private:
    static std::string objectPath(const std::string &name)
    {
        return absl::StrCat(asAbsl(ObjectPath), percentEncode(name));
    }

    std::shared_ptr<PlatformHttpClient> m_client;
};

} // namespace

PlatformServices makeHttpPlatform(const HttpPlatformSettings &settings, const IClock &clock, IExecutor &executor)
{
    auto client = std::make_shared<PlatformHttpClient>(settings, clock, executor);
    return {.table = std::make_unique<HttpTableService>(client), .objects = std::make_unique<HttpObjectStore>(client)};
}

} // namespace vanillatack
