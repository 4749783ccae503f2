#pragma once

#include <string>

namespace Pimentohollow
{

/** Runs a node of a fleet until a signal ends it; the exit status. @param file its settings */
int runInFleet(const std::string &file);

/** Runs a node without platform until a signal ends it; the exit status. */
int runStandalone(const std::string &file);

} // namespace Pimentohollow
