#pragma once

#include "messages/call/callmessages.h"
#include "messages/call/linkmessages.h"

#include <variant>

namespace Pimentohollow
{

/** Everything that nodes send each other over TCP. New alternatives are added at the end: the index is the wire tag. */
using PeerMessage =
    std::variant<Hello, CallRequest, CallResponse, CancelCall, Heartbeat, GoAway, OutcomeRequest, ChangesRequest, ChangesResponse>;

} // namespace Pimentohollow
