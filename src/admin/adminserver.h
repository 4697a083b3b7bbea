#pragma once

#include "admin/iadminservice.h"
#include "base/error.h"
#include "model/ids.h"

#include <chrono>
#include <memory>
#include <string>

namespace vanillatack {

struct AdminLimits {
    int threads = 4; ///< Maximum number of concurrent requests.
    std::size_t bodyBytes = std::size_t{4} << 20; ///< A configuration at design scale has about 0.2 MB.
    std::chrono::seconds socketTimeout{5}; ///< Socket timeout for reading a request and for writing a response.
};

/// HTTP server of the admin port (docs/admin-protocol.md). Every request must carry the operator credential, which is
/// checked before the body is read.
class AdminServer
{
public:
    /// The service must outlive the server. An empty credential rejects every request.
    AdminServer(IAdminService &service, std::string credential, const AdminLimits &limits = {});
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Binds the address, starts the server threads and returns the port. Port 0 selects a free port. Must be called at
    /// most once. Errors: Unavailable if the address cannot be bound.
    Result<std::uint16_t> start(const Endpoint &endpoint);

    /// Waits for running requests and stops the server.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillatack
