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
    /** The upstream process that the client is connected to. */
    std::uint64_t upstreamIncarnation = 0;
};

} // namespace Pimentohollow
