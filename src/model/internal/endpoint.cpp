#include "model/endpoint.h"

#include "base/text.h"

#include <absl/strings/numbers.h>

#include <arpa/inet.h>

namespace vanillatack {

bool isIpv4Address(std::string_view text)
{
    in_addr address{};
    return inet_pton(AF_INET, std::string(text).c_str(), &address) == 1;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    int port = 0;
    const std::string address(text.substr(0, colon));
    if (!absl::SimpleAtoi(asAbsl(text.substr(colon + 1)), &port) || port < 1 || port > 65535
        || !isIpv4Address(address)) {
        return std::nullopt;
    }
    return Endpoint{address, static_cast<std::uint16_t>(port)};
}

} // namespace vanillatack
