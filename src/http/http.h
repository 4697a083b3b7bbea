#pragma once

#include "model/body.h"
#include "model/request.h"

#include <string>

namespace vanillatack {

/// Request received by an HTTP server.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query as received.
    HeaderList headers;
    Body body;

    /// Value of the first header with the name (case-insensitive); empty if there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct HttpResponse {
    int status = 0;
    HeaderList headers;
    Body body;
    bool closeConnection = false; ///< Sent: close the connection afterwards. Received: the server closes it.
};

/// Whether a response may have the status; RFC 9110 defines 100 to 599. Others cannot be interpreted or passed on.
constexpr bool isValidStatus(int status)
{
    return status >= 100 && status <= 599;
}

/// Whether a response with the status is the last one to its request.
constexpr bool isFinalStatus(int status)
{
    return isValidStatus(status) && status >= 200;
}

/// Memory in bytes of a header without its name and value.
inline constexpr std::size_t HeaderOverheadBytes = sizeof(HeaderList::value_type) + 32;

/// Memory in bytes that a list of headers takes, with the overhead of each.
std::size_t memoryOf(const HeaderList &headers);

/// Whether the header must not be forwarded: it applies to a single connection, or is set anew for each
/// (Content-Length, Expect).
bool isHopByHopHeader(std::string_view name);

/// Compares two header names, ignoring case.
bool sameHeader(std::string_view left, std::string_view right);

/// Handles the requests of an HTTP server. Must be thread-safe: called concurrently, one call at a time per connection.
class IHttpHandler
{
public:
    virtual ~IHttpHandler() = default;

    /// Returns the response. isHungUp(callerSocket) tells whether the caller has closed its connection.
    virtual HttpResponse handle(const HttpRequest &request, int callerSocket) = 0;

    /// Response for a request that could not be parsed; status is 400, 413, 414, 417 or 431.
    virtual HttpResponse makeErrorResponse(int status) = 0;
};

} // namespace vanillatack
