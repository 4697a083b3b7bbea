#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace vanillatack {

/// Returns whether two HTTP implementations could disagree on the end of the request or on its recipient: both
/// Content-Length and Transfer-Encoding, repeated lengths, an unknown transfer coding, or a repeated Host or
/// Authorization header (request smuggling; RFC 9112, section 6).
bool hasAmbiguousFraming(const boost::beast::http::request_header<> &header);

} // namespace vanillatack
