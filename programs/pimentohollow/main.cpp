#include "core/logger.h"
#include "node/node.h"

#include <csignal>
#include <docopt/docopt.h>
#include <string>

namespace
{

constexpr const char *Usage = R"(The node of pimentohollow, placed beside one upstream.

Usage:
  pimentohollow --standalone=FILE
  pimentohollow (-h | --help)
  pimentohollow --version

Options:
  --standalone=FILE  YAML file with the settings, routes, keys and upstreams of a node without platform.
  -h --help          Show this text.
  --version          Show the version.

SIGTERM or SIGINT finishes all requests and ends the process; a second one ends it at once.
)";

/** Blocks the signals in all threads, so that only the main thread takes them, with sigwait(). */
sigset_t blockSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/** Milliseconds of the wall clock: above that of an earlier process of this node. */
std::uint64_t currentIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

int run(const std::string &settingsFile)
{
    using namespace Pimentohollow;
    const Logger log("main");
    const sigset_t signals = blockSignals();
    auto settings = loadLocalSettings(settingsFile);
    if (!settings) {
        log.error("settings_invalid", { { "error", settings.error().describe() } });
        return 2;
    }
    settings->node.incarnation = currentIncarnation();
    const StaticRoutes routes(settings->routes);
    const StaticKeys keys(settings->accountsByKey);
    UnlimitedQuota quota;
    StaticUpstreams upstreams(settings->upstreams);
    Node node(settings->node, { routes, keys, quota, upstreams });
    if (const auto started = node.start(); !started) {
        log.error("start_failed", { { "error", started.error().describe() } });
        return 1;
    }
    node.setReady(true);
    log.info("started");
    int signal = 0;
    sigwait(&signals, &signal);
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    return node.shutDown() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc }, true, "pimentohollow 0.1.0");
    return run(arguments.at("--standalone").asString());
}
