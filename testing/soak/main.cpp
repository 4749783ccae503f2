// Plays seeds of faults on nodes that run as separate processes, and checks what clients, upstreams and the operator see.

#include "soakchecks.h"
#include "soakrun.h"

#include "core/logger.h"

#include <csignal>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <Poco/File.h>
#include <Poco/TemporaryFile.h>

namespace
{

constexpr const char *Usage = R"(Fault soak of nodes on the platform's stand-ins.

Usage:
  pimentohollow_soak [--first=SEED] [--seeds=N] [--seconds=T] [--nodes=N] [--keep]

Options:
  --first=SEED   First seed [default: 1].
  --seeds=N      Seeds to play, one after the other [default: 1].
  --seconds=T    Length of the traffic with faults, per seed [default: 10].
  --nodes=N      Nodes, each a process [default: 5].
  --keep         Keep settings and logs also of seeds that pass.
)";

/** Lines of one kind that are printed for a seed. */
constexpr std::size_t PrintedViolations = 10;

/** True if nothing was broken. */
bool playSeed(Pimentohollow::Soak::SoakSettings settings, bool keep)
{
    using namespace Pimentohollow::Soak;
    Poco::TemporaryFile folder;
    folder.createDirectories();
    settings.folder = folder.path();
    const auto records = SoakRun(settings).play();
    const auto violations = findViolations(records);
    fmt::print("seed {}: {} requests, {} runs, {} versions of the rules, {} violations\n",
               settings.seed,
               records.requests.size(),
               records.runs.size(),
               records.rules.size(),
               violations.size());
    for (std::size_t n = 0; n < std::min(PrintedViolations, violations.size()); ++n) {
        fmt::print("  {}\n", violations[n]);
    }
    if (keep || !violations.empty()) {
        folder.keep();
        fmt::print("  logs: {}\n", settings.folder);
    }
    std::fflush(stdout);
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace Pimentohollow;
    std::signal(SIGPIPE, SIG_IGN);
    Logger::setLevel(LogLevel::Error);
    try {
        auto options = docopt::docopt(Usage, { argv + 1, argv + argc });
        Soak::SoakSettings settings;
        settings.length = std::chrono::seconds(options["--seconds"].asLong());
        settings.nodes = static_cast<std::size_t>(options["--nodes"].asLong());
        const auto first = static_cast<std::uint64_t>(options["--first"].asLong());
        const auto seeds = static_cast<std::uint64_t>(options["--seeds"].asLong());
        std::size_t failed = 0;
        for (settings.seed = first; settings.seed < first + seeds; ++settings.seed) {
            failed += playSeed(settings, options["--keep"].asBool()) ? 0 : 1;
        }
        fmt::print("{} of {} seeds with violations\n", failed, seeds);
        return failed == 0 ? 0 : 1;
    } catch (const std::exception &exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return 2;
    }
}
