#pragma once

#include "http/upstream/upstreamclient.h"
#include "messages/call/callmessages.h"
#include "node/chain/inflighttable.h"

namespace Pimentohollow
{

/** What the steps of the serving pipeline share about one call. */
struct UpstreamWork {
    CallRequest &request;
    InFlightRequest &inFlight;
    UpstreamClient &client;
};

} // namespace Pimentohollow
