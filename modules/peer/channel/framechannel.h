#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <string>

namespace Pimentohollow
{

/**
 * Carries whole frames in both directions; the seam at which tests put a channel that loses, delays or repeats.
 * One thread receives; any thread may send (one at a time) and close.
 * @see TcpFrameChannel
 */
class FrameChannel
{
public:
    virtual ~FrameChannel() = default;

    /** Sends a frame with its length. After an error the other side can't have received the whole frame. */
    virtual Result<void> send(const std::string &frame) = 0;

    /** The next frame without its length. Timeout leaves a partly received frame for the next call; other errors are final. */
    virtual Result<std::string> receive(TimePoint deadline) = 0;

    /** Ends the channel and wakes threads that wait in send() or receive(). */
    virtual void close() = 0;

    /** The address of the other side, for logs. */
    virtual std::string peer() const = 0;
};

} // namespace Pimentohollow
