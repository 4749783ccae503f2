#pragma once

#include "quota/quota.h"

#include <algorithm>

namespace Pimentohollow
{

/**
 * Checks that in every interval at most rate x time + burst were admitted: a bucket of the whole fleet that starts full
 * and is never overdrawn.
 */
class FleetBound
{
public:
    explicit FleetBound(const AccountRate &rate)
        : m_rate(rate)
        , m_level(static_cast<double>(rate.burst))
    {
    }

    void setRate(const AccountRate &rate, TimePoint now)
    {
        advance(now);
        m_rate = rate;
        m_level = std::min(m_level, static_cast<double>(rate.burst));
    }

    /** Counts an admitted request; false if the bound is exceeded by it. */
    bool admit(TimePoint now)
    {
        advance(now);
        m_level -= static_cast<double>(OneToken);
        // Half a token for rounding.
        return m_level >= -static_cast<double>(OneToken) / 2;
    }

    /** Whether a request would still be within the bound. */
    bool within(TimePoint now)
    {
        advance(now);
        return m_level >= static_cast<double>(OneToken);
    }

private:
    void advance(TimePoint now)
    {
        if (m_last != TimePoint{}) {
            const auto elapsed = std::chrono::duration<double>(now - m_last).count();
            m_level = std::min(static_cast<double>(m_rate.burst), m_level + elapsed * static_cast<double>(m_rate.rate));
        }
        m_last = now;
    }

    AccountRate m_rate;
    double m_level;
    TimePoint m_last{};
};

} // namespace Pimentohollow
