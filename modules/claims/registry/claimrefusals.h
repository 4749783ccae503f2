#pragma once

#include "core/refusal.h"

namespace Pimentohollow
{

/** When a refused caller may come back; the answer adds its jitter. */
inline constexpr Duration ClaimRetryAfter = std::chrono::seconds(1);

/** The request may have run, but there is no outcome to repeat. */
Refusal lostRefusal();
/** This attempt did not run, because its claim was not confirmed or was released. */
Refusal notRunRefusal();
/** A request with the same key is running. */
Refusal inProgressRefusal();
/** The key was used for another request. */
Refusal reusedRefusal();

} // namespace Pimentohollow
