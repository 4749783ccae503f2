#pragma once

#include "core/ipendpoint.h"
#include "parsing/scalars.h"

namespace Pimentohollow
{

std::string parseScalar(const std::string &text, const Range &range, IpEndpoint &value);

} // namespace Pimentohollow
