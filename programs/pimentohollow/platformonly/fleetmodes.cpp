#include "fleetmodes.h"

#include "core/logger.h"

namespace Pimentohollow
{

namespace
{

constexpr int ModeMissing = 2;

int reportMissingMode()
{
    Logger("main").error("mode_not_built", { { "hint", "this build has only --platform; configure with PIMENTOHOLLOW_FLEET_NODE=ON" } });
    return ModeMissing;
}

} // namespace

int runInFleet(const std::string & /*file*/)
{
    return reportMissingMode();
}

int runStandalone(const std::string & /*file*/)
{
    return reportMissingMode();
}

} // namespace Pimentohollow
