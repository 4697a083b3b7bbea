#include "bench/programs/allocationcounter.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::uint64_t allocations = 0;

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace vanillatack {

std::uint64_t threadAllocations()
{
    return allocations;
}

} // namespace vanillatack
