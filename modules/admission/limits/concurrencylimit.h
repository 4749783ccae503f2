#pragma once

#include "admission/limits/aimdlimit.h"
#include "admission/limits/gradientlimit.h"
#include "admission/limits/limitsample.h"

#include <variant>

namespace Pimentohollow
{

/** Settings of UnlimitedLimit. */
struct UnlimitedLimitSettings {
};

/** Admits everything; the baseline of the policy benchmark. */
class UnlimitedLimit
{
public:
    explicit UnlimitedLimit(UnlimitedLimitSettings settings);

    std::uint32_t limit() const;
    void record(const LimitSample &sample, TimePoint now);
    void restart(TimePoint now);
};

/** Settings of StaticLimit. */
struct StaticLimitSettings {
    std::uint32_t limit = 160;
};

/** A fixed limit, for upstreams whose slots are known and never change. */
class StaticLimit
{
public:
    explicit StaticLimit(StaticLimitSettings settings);

    std::uint32_t limit() const;
    void record(const LimitSample &sample, TimePoint now);
    void restart(TimePoint now);

private:
    std::uint32_t m_limit;
};

using LimitSettings = std::variant<UnlimitedLimitSettings, StaticLimitSettings, AimdLimitSettings, GradientLimitSettings>;

/**
 * How many requests one upstream may work on at once, learnt from the answers alone.
 * Health and load endpoints are not an input, because they are delayed or misleading.
 */
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const LimitSettings &settings);

    std::uint32_t limit() const;

    /** Learns from a request that ended. */
    void record(const LimitSample &sample, TimePoint now);

    /** Forgets what was learnt, because the upstream process was replaced and is cold. */
    void restart(TimePoint now);

private:
    std::variant<UnlimitedLimit, StaticLimit, AimdLimit, GradientLimit> m_algorithm;
};

} // namespace Pimentohollow
