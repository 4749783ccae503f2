#pragma once

#include <cstdint>

namespace Pimentohollow
{

/** Number of allocations by operator new in this program so far. */
std::uint64_t allocationCount();

} // namespace Pimentohollow
