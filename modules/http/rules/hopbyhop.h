#pragma once

#include "messages/call/httpmessages.h"

namespace Pimentohollow
{

/** Removes hop-by-hop headers, including those named by Connection, and the framing headers. */
void removeHopByHopHeaders(HttpHeaders &headers);

} // namespace Pimentohollow
