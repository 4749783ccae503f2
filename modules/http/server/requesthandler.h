#pragma once

#include "core/cancellation.h"
#include "messages/call/httpmessages.h"

namespace Pimentohollow
{

/** Answers the requests of a listener. Called from many connection threads at once. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /** @param cancellation cancelled when the caller closes its connection; the answer is then dropped */
    virtual HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) = 0;
};

} // namespace Pimentohollow
