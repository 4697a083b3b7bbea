#pragma once

#include <cstdint>

namespace vanillatack {

/// Number of allocations with operator new that the calling thread has made. Programs that link this file count them.
std::uint64_t threadAllocations();

} // namespace vanillatack
