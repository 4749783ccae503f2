#pragma once

#include "core/clock.h"

#include <atomic>

namespace Pimentohollow
{

/** Clock that moves only when told to, for tests and deterministic benchmarks. Safe to read from several threads. */
class ManualClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;

    /** Moves both times forward by @p step, which must not be negative. */
    void advance(Duration step);

private:
    /** One hour, so that tests may subtract from the first time point. */
    std::atomic<Duration::rep> m_elapsed{ Duration(std::chrono::hours(1)).count() };
};

} // namespace Pimentohollow
