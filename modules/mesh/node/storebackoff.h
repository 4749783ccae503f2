#pragma once

#include "core/backoff.h"

namespace Pimentohollow
{

/** Pauses between failed calls to the store: entries that lapsed while it was away have to be back 2 s after its return. */
inline Backoff storeBackoff()
{
    return { std::chrono::milliseconds(250), std::chrono::seconds(1) };
}

} // namespace Pimentohollow
