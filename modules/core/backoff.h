#pragma once

#include "core/clock.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

/** Pauses between attempts: each is twice the one before, up to a longest. */
class Backoff
{
public:
    Backoff(Duration shortest, Duration longest)
        : m_shortest(shortest)
        , m_longest(longest)
        , m_next(shortest)
    {
    }

    /** The pause before the next attempt. */
    Duration next()
    {
        return std::exchange(m_next, std::min(m_next * 2, m_longest));
    }

    /** An attempt has succeeded. */
    void reset()
    {
        m_next = m_shortest;
    }

private:
    Duration m_shortest;
    Duration m_longest;
    Duration m_next;
};

} // namespace Pimentohollow
