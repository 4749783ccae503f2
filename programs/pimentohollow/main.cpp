#include "fleetmodes.h"
#include "platform/platformprogram.h"

#include <docopt/docopt.h>
#include <string>

namespace
{

constexpr const char *Usage = R"(The node of pimentohollow, placed beside one upstream.

Usage:
  pimentohollow --settings=FILE
  pimentohollow --standalone=FILE
  pimentohollow --platform=FILE
  pimentohollow (-h | --help)
  pimentohollow --version

Options:
  --settings=FILE    YAML file with the settings of a node of a fleet.
  --standalone=FILE  YAML file with the settings, routes, keys and upstreams of a node without platform.
  --platform=FILE    YAML file with the settings of a node on the platform; see deploy/node.yaml.template.
  -h --help          Show this text.
  --version          Show the version.

SIGTERM or SIGINT finishes all requests and ends the process; a second one ends it at once.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc }, true, "pimentohollow 0.1.0");
    if (arguments.at("--platform")) {
        return Pimentohollow::Platform::runPlatformNode(arguments.at("--platform").asString());
    }
    if (arguments.at("--standalone")) {
        return Pimentohollow::runStandalone(arguments.at("--standalone").asString());
    }
    return Pimentohollow::runInFleet(arguments.at("--settings").asString());
}
