#pragma once

#include "core/backoff.h"

namespace Pimentohollow
{

/** Delays between failed calls to the store. Entries that expired during an outage must be restored within 2 s of its end. */
inline Backoff storeBackoff()
{
    return { std::chrono::milliseconds(250), std::chrono::seconds(1) };
}

} // namespace Pimentohollow
