#pragma once

#include "store/internal/workerpool.h"
#include "store/platformsetup.h"

#include <httplib.h>

#include <memory>

namespace vanillatack {

struct PlatformCall {
    std::string method;
    std::string path; ///< Percent-encoded, with the query.
    std::string body = {};
    std::string contentType = "application/json";
    bool isWrite = false;
};

/// Response with status 200, 201, 204 or 409; other statuses are reported as errors.
struct PlatformResponse {
    int status = 0;
    std::string body;
};

/// HTTP client of the platform with one connection per worker thread. Shared by the table service and the object store.
class PlatformHttpClient
{
public:
    using Completion = std::function<void(Result<PlatformResponse>)>;

    PlatformHttpClient(HttpPlatformSettings settings, const IClock &clock, IExecutor &executor);

    /// Queues the call. The completion runs on the executor.
    void start(PlatformCall call, Completion done);

    /// Runs the completion with the error on the executor, without a call.
    void fail(Completion done, Error error);

private:
    Result<PlatformResponse> perform(const PlatformCall &call, int worker, TimePoint queuedAt);

    HttpPlatformSettings m_settings;
    const IClock &m_clock;
    IExecutor &m_executor;
    std::vector<std::unique_ptr<httplib::Client>> m_clients; ///< Indexed by worker thread.
    WorkerPool m_pool; ///< Declared last: its threads must end before the clients are destroyed.
};

} // namespace vanillatack
