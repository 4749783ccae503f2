#pragma once

#include "core/clock.h"

namespace Pimentohollow
{

/** The clocks of the operating system. */
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

} // namespace Pimentohollow
