#pragma once

#include "soakrecords.h"

namespace Pimentohollow::Soak
{

/** What was broken, one line each; empty if nothing was. The bounds are those of the users' rules. */
std::vector<std::string> findViolations(const SoakRecords &records);

} // namespace Pimentohollow::Soak
