#include "allocationcounter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocations{ 0 };

} // namespace

// Replaces the global operators, because the standard library offers no other way to count allocations.
// NOLINTBEGIN(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)
void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    void *const memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
// NOLINTEND(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)

namespace Pimentohollow
{

std::uint64_t allocationCount()
{
    return allocations.load(std::memory_order_relaxed);
}

} // namespace Pimentohollow
