#include "fleetmodes.h"

#include "core/logger.h"
#include "node/fleet/fleetnode.h"

#include <csignal>

namespace Pimentohollow
{

namespace
{

constexpr int StartFailed = 1;
constexpr int SettingsInvalid = 2;
const Logger Log("main");

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

void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

/** Starts the node, waits for the signal and shuts down; the exit status. */
template <typename AnyNode>
int serve(AnyNode &node, const sigset_t &signals)
{
    if (const auto started = node.start(); !started) {
        Log.error("start_failed", { { "error", started.error().describe() } });
        return StartFailed;
    }
    Log.info("started");
    waitForSignal(signals);
    return node.shutDown() ? 0 : StartFailed;
}

int runStandalone(const std::string &file, const sigset_t &signals)
{
    auto settings = loadLocalSettings(file);
    if (!settings) {
        Log.error("settings_invalid", { { "error", settings.error().describe() } });
        return SettingsInvalid;
    }
    settings->node.incarnation = currentIncarnation();
    const StaticRoutes routes(settings->routes);
    const StaticKeys keys(settings->accountsByKey);
    UnlimitedQuota quota;
    StaticUpstreams upstreams(settings->upstreams);
    Node node(settings->node, { routes, keys, quota, upstreams });
    node.setReady(true);
    return serve(node, signals);
}

int runInFleet(const std::string &file, const sigset_t &signals)
{
    const auto settings = loadNodeSettings(file);
    if (!settings) {
        for (const auto &it : settings.error()) {
            Log.error("settings_invalid", { { "error", it.describe() } });
        }
        return SettingsInvalid;
    }
    Logger::setLevel(settings->logLevel);
    FleetNode node(*settings, currentIncarnation());
    return serve(node, signals);
}

} // namespace

int runStandalone(const std::string &file)
{
    return runStandalone(file, blockSignals());
}

int runInFleet(const std::string &file)
{
    return runInFleet(file, blockSignals());
}

} // namespace Pimentohollow
