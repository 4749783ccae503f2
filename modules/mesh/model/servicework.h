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

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, microseconds);
    }
};

} // namespace Pimentohollow
