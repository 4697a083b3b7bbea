#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace vanillatack {

/// Whether two readers could disagree on where the request ends or for whom it is: both a length and chunks, several
/// lengths, an unknown transfer coding, or repeated headers that must be single (RFC 9112, section 6).
bool hasAmbiguousFraming(const boost::beast::http::request_header<> &header);

} // namespace vanillatack
