#include "http/http.h"

#include "base/text.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <array>

namespace vanillatack {

namespace {

constexpr std::array<std::string_view, 10> HopByHopHeaders = {
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

} // namespace

std::string HttpRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (sameHeader(key, name)) {
            return value;
        }
    }
    return {};
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(), [name](std::string_view header) {
        return sameHeader(header, name);
    });
}

bool sameHeader(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(asAbsl(left), asAbsl(right));
}

std::size_t memoryOf(const HeaderList &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers) {
        bytes += HeaderOverheadBytes + name.size() + value.size();
    }
    return bytes;
}

} // namespace vanillatack
