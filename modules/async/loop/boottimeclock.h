#pragma once

#include "core/clock.h"

namespace Pimentohollow
{

/** Monotonic clock that also counts the time during which the VM was suspended, so that deadlines stay true after a suspension. */
class BootTimeClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

} // namespace Pimentohollow
