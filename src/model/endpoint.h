#pragma once

#include "model/ids.h"

#include <optional>
#include <string_view>

namespace vanillatack {

/// Whether the text is an IPv4 address in dotted form.
bool isIpv4Address(std::string_view text);

/// Parses "ADDRESS:PORT" with an IPv4 address and a port from 1 to 65535; nullopt for anything else.
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace vanillatack
