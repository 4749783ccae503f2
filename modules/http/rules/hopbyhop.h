#pragma once

#include "messages/call/httpmessages.h"

namespace Pimentohollow
{

/** Removes the headers that belong to one connection only, those named by Connection, and the framing headers. */
void removeHopByHopHeaders(HttpHeaders &headers);

} // namespace Pimentohollow
