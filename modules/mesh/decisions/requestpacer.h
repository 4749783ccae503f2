#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace Pimentohollow
{

/**
 * Token bucket for the requests to an upstream that names a limit. Starts empty, so that a restart of the node doesn't grant a second
 * burst. Not thread-safe; the caller passes the time.
 */
class RequestPacer
{
public:
    /** Sets the limit in requests per second; nothing removes it. */
    void setLimit(std::optional<double> requestsPerSecond, TimePoint now);

    /** Takes a token for one request; false if there is none. */
    bool tryStart(TimePoint now);

    /** Expected time until a request can start that has @p ahead others before it, as of the last call of tryStart() or setLimit(). */
    Duration expectedWait(std::size_t ahead) const;

    /** The limit in force; nothing if there is none. */
    std::optional<double> limit() const
    {
        return m_limit;
    }

private:
    void refill(TimePoint now);

    std::optional<double> m_limit;
    double m_tokens = 0;
    TimePoint m_refilledAt{};
};

} // namespace Pimentohollow
