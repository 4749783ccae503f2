#pragma once

#include "core/cancellation.h"
#include "messages/call/callmessages.h"

namespace Pimentohollow
{

/** Runs the calls that other nodes send. Called from many threads at once. */
class CallHandler
{
public:
    virtual ~CallHandler() = default;

    /**
     * @param deadline on this process's clock
     * @param cancellation cancelled when the entry node no longer wants the answer
     */
    virtual CallResponse handle(CallRequest request, TimePoint deadline, Cancellation &cancellation) = 0;
};

} // namespace Pimentohollow
