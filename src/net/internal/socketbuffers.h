#pragma once

#include "base/memorybudget.h"

#include <boost/asio/socket_base.hpp>

#include <algorithm>

namespace vanillatack {

/// Size in bytes of each of the kernel's two buffers of a connection, within which it holds received and unsent bytes.
/// A fixed part of the memory budget, since the kernel would otherwise let each grow to several megabytes.
inline int socketBufferBytes(const MemoryBudget &memory)
{
    constexpr std::size_t BuffersInBudget = 600;
    constexpr std::size_t MinBytes = std::size_t{32} << 10;
    constexpr std::size_t MaxBytes = std::size_t{256} << 10;
    return static_cast<int>(std::clamp(memory.limit() / BuffersInBudget, MinBytes, MaxBytes));
}

/// Sets the sizes of the kernel's buffers. Connections that an acceptor accepts inherit them.
template<class Socket>
void limitSocketBuffers(Socket &socket, const MemoryBudget &memory)
{
    const int bytes = socketBufferBytes(memory);
    boost::system::error_code ignored; // The kernel's own sizes are used instead.
    socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
    socket.set_option(boost::asio::socket_base::send_buffer_size(bytes), ignored);
}

} // namespace vanillatack
