#pragma once

#include "parsing/scalars.h"
#include "core/ipendpoint.h"

namespace Pimentohollow
{

std::string parseScalar(const std::string &text, const Range &range, IpEndpoint &value);

} // namespace Pimentohollow
