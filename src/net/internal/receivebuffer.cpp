#include "net/internal/receivebuffer.h"

namespace vanillatack {

std::array<char, ReadChunkBytes> &receiveBuffer()
{
    thread_local std::array<char, ReadChunkBytes> buffer;
    return buffer;
}

} // namespace vanillatack
