#pragma once

#include "model/request.h"

#include <string>

namespace vanillatack {

/// A request at the HTTP edge.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query as sent.
    HeaderList headers;
    std::string body;

    /// Value of the first header of this name (case is ignored), or an empty text.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct HttpResponse {
    int status = 0;
    HeaderList headers;
    std::string body;
    bool closeConnection = false;
};

/// Whether the header belongs to one connection and is not passed on.
bool isHopByHopHeader(std::string_view name);

/// Whether two header names are the same; case is ignored.
bool sameHeader(std::string_view left, std::string_view right);

/// Handles the requests of one HTTP server. Called on many threads at once, one call per connection.
class IHttpHandler
{
public:
    virtual ~IHttpHandler() = default;

    /// callerSocket is hung up when the caller goes away.
    virtual HttpResponse handle(const HttpRequest &request, int callerSocket) = 0;

    /// Response for a request that could not be read: status 400, 413, 414, 417 or 431.
    virtual HttpResponse makeErrorResponse(int status) = 0;
};

} // namespace vanillatack
