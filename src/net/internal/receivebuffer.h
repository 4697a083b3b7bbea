#pragma once

#include <array>
#include <cstddef>

namespace vanillatack {

/// Most bytes per read from a connection.
inline constexpr std::size_t ReadChunkBytes = 65536;

/// Buffer for received bytes, shared by all connections of a thread; a node has too many connections for one each.
/// Valid until the next read of any connection.
std::array<char, ReadChunkBytes> &receiveBuffer();

} // namespace vanillatack
