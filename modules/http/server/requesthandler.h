#pragma once

#include "core/cancellation.h"
#include "messages/call/httpmessages.h"

namespace Pimentohollow
{

/** Handles the requests of a listener. Called concurrently from the connection threads. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /** @param cancellation cancelled when the caller closes its connection; the response is then discarded */
    virtual HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) = 0;
};

} // namespace Pimentohollow
