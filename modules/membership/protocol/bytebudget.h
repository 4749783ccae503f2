#pragma once

#include "core/clock.h"

#include <algorithm>
#include <cstdint>

namespace Pimentohollow
{

/** Limits what a kind of message may cost: a rate in bytes per second and a burst in bytes. */
class ByteBudget
{
public:
    ByteBudget(std::uint64_t bytesPerSecond, std::uint64_t burst)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burst))
        , m_bytes(m_burst)
    {
    }

    /** Takes @p bytes, or returns false if they aren't available at @p now. */
    bool tryTake(std::uint64_t bytes, TimePoint now)
    {
        const auto elapsed = std::chrono::duration<double>(now - m_last).count();
        m_bytes = std::min(m_burst, m_bytes + std::max(0.0, elapsed) * m_rate);
        m_last = now;
        if (m_bytes < static_cast<double>(bytes)) {
            return false;
        }
        m_bytes -= static_cast<double>(bytes);
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_bytes;
    TimePoint m_last{};
};

} // namespace Pimentohollow
