#pragma once

#include "core/names.h"

#include <cstdint>

namespace Pimentohollow
{

/** Work that one request caused at a service, directly or by nested calls. */
struct ServiceWork {
    ServiceName service;
    /** Time for which it used slots there. */
    std::uint32_t microseconds = 0;
    /** Number of runs there. */
    std::uint32_t runs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, microseconds, runs);
    }
};

} // namespace Pimentohollow
