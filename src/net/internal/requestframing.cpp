#include "net/internal/requestframing.h"

#include <boost/beast/core/string.hpp>

namespace vanillatack {

namespace http = boost::beast::http;

bool hasAmbiguousFraming(const http::request_header<> &header)
{
    const auto lengths = header.count(http::field::content_length);
    const auto codings = header.count(http::field::transfer_encoding);
    if (lengths + codings > 1 || header.count(http::field::host) > 1 || header.count(http::field::authorization) > 1) {
        return true;
    }
    return codings == 1 && !boost::beast::iequals(header[http::field::transfer_encoding], "chunked");
}

} // namespace vanillatack
