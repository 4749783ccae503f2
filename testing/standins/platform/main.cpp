#include "standins/platform/platformstandin.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <Poco/Util/ServerApplication.h>

namespace
{

constexpr const char *Usage = R"(Stand-in for the users' platform: a table service and an object store on 127.0.0.1.

Usage:
  platform-standin [--port=PORT] [--control-port=PORT]
  platform-standin (-h | --help)

Options:
  --port=PORT          Port of both services [default: 0].
  --control-port=PORT  Port of the control URL /behaviour [default: 0].

A port of 0 picks a free one; both are printed. GET /behaviour shows the counters; PUT /behaviour takes a JSON object
with any of outage (none, close, hang, refuse, down), delay_ms, lose_answers, writes_per_second, reads_per_second.
)";

class StopSignal : public Poco::Util::ServerApplication
{
public:
    void wait()
    {
        waitForTerminationRequest();
    }
};

std::uint16_t portOf(const docopt::value &value)
{
    return static_cast<std::uint16_t>(value.asLong());
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc }, true, "platform-standin 0.1.0");
    StopSignal stop;
    const Pimentohollow::PlatformStandin standin(portOf(arguments["--port"]), portOf(arguments["--control-port"]));
    fmt::print("port={} control_port={}\n", standin.port(), standin.controlPort());
    std::fflush(stdout);
    stop.wait();
    return 0;
}
