#pragma once

#include "core/names.h"

#include <cstdint>

namespace Pimentohollow
{

/** Work that one request brought to a service, itself or by the calls below it. */
struct ServiceWork {
    ServiceName service;
    /** Time for which it held a slot there. */
    std::uint32_t microseconds = 0;
    /** Times that it ran there. */
    std::uint32_t runs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, microseconds, runs);
    }
};

} // namespace Pimentohollow
