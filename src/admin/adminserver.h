#pragma once

#include "admin/iadminservice.h"
#include "base/error.h"
#include "model/ids.h"

#include <chrono>
#include <memory>
#include <string>

namespace vanillatack {

struct AdminLimits {
    int threads = 4; ///< Requests served at once.
    std::size_t bodyBytes = std::size_t{4} << 20; ///< A configuration at design scale has about 0.2 MB.
    std::chrono::seconds socketTimeout{5}; ///< For reading a request and for writing an answer.
};

/// HTTP server of the admin port (docs/admin-protocol.md). Every request needs the operator credential, which is
/// checked before the body is read.
class AdminServer
{
public:
    /// The service must outlive the server. With an empty credential nobody gets in.
    AdminServer(IAdminService &service, std::string credential, const AdminLimits &limits = {});
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Serves on threads of its own; port 0 takes a free one. Returns the port. To be called once.
    /// Errors: Unavailable when the address cannot be bound.
    Result<std::uint16_t> start(const Endpoint &endpoint);

    /// Finishes running requests and stops.
    void stop();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace vanillatack
