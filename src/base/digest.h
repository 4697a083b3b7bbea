#pragma once

#include <string>
#include <string_view>

namespace vanillatack {

/// SHA-256 of the data as 64 lower-case hexadecimal characters.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA-256 as 32 raw bytes.
std::string hmacSha256(std::string_view secret, std::string_view data);

/// Compares in time that depends only on the length, for secrets and authentication codes.
bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace vanillatack
