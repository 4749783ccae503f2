#pragma once

#include "core/error.h"
#include "mesh/model/meshsettings.h"
#include "mesh/model/upstreamnotice.h"
#include "messages/call/httpmessages.h"

#include <vector>

namespace Pimentohollow
{

/**
 * Reads what a response says about its upstream. Errors: InvalidInput if the limit isn't a finite, non-negative decimal number, or the
 * leaving header has an unknown value; the response then says nothing about the upstream.
 */
Result<ResponseNotice> parseResponseNotice(const std::vector<HttpHeader> &headers, const HeaderNames &names);

} // namespace Pimentohollow
