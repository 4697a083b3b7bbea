#pragma once

#include "store/internal/workerpool.h"
#include "store/platformsetup.h"

#include <httplib.h>

#include <memory>

namespace vanillatack {

/// One call to the platform.
struct HttpCall {
    std::string method;
    std::string path; ///< With query, percent-encoded.
    std::string body = {};
    std::string contentType = "application/json";
    bool isWrite = false;
};

/// An answer with status 200, 201, 204 or 409.
struct HttpAnswer {
    int status = 0;
    std::string body;
};

/// Connections to the platform, one per thread of the pool. Shared by the table service and the object store.
class HttpConnection
{
public:
    using Completion = std::function<void(Result<HttpAnswer>)>;

    HttpConnection(HttpPlatformSettings settings, const IClock &clock, IExecutor &executor);

    /// Completes on the executor.
    void start(HttpCall call, Completion done);

    /// Completes on the executor without a call.
    void fail(Completion done, Error error);

private:
    Result<HttpAnswer> perform(const HttpCall &call, int worker, TimePoint queuedAt);

    HttpPlatformSettings m_settings;
    const IClock &m_clock;
    IExecutor &m_executor;
    std::vector<std::unique_ptr<httplib::Client>> m_clients; ///< By thread of the pool.
    WorkerPool m_pool; ///< Last, so that its threads end before the clients are destroyed.
};

} // namespace vanillatack
