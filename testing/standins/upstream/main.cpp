#include "announcer.h"
#include "standinhandler.h"
#include "standinstate.h"

#include <csignal>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <memory>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace
{

constexpr const char *Usage = R"(Stand-in for an upstream, for tests and benchmarks.

Usage:
  upstream_standin [options] [--set=NAME=VALUE]...

Options:
  --port=PORT          Port on 127.0.0.1; 0 takes a free one [default: 0].
  --service=NAME       Service to announce [default: echo].
  --announce=ADDRESS   Announce listener of the node, ip:port.
  --chain=ADDRESS      Chain listener of the node, ip:port.
  --set=NAME=VALUE     Initial behaviour, as for /_control/set.
)";

using namespace Pimentohollow::Testing;

std::unique_ptr<Poco::Net::HTTPServer> startServer(StandinState &state,
                                                   const Poco::Net::ServerSocket &socket,
                                                   Poco::ThreadPool &threads,
                                                   std::optional<Poco::Net::SocketAddress> chain)
{
    auto params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    params->setMaxThreads(threads.capacity());
    params->setMaxQueued(threads.capacity());
    params->setKeepAliveTimeout({ 60, 0 });
    params->setMaxKeepAliveRequests(0);
    const Poco::Net::HTTPRequestHandlerFactory::Ptr factory = Poco::makeShared<StandinHandlerFactory>(state, std::move(chain));
    auto server = std::make_unique<Poco::Net::HTTPServer>(factory, threads, socket, params);
    server->start();
    return server;
}

void applySettings(StandinState &state, const std::vector<std::string> &settings)
{
    for (const auto &it : settings) {
        const auto equals = it.find('=');
        if (equals == std::string::npos || !state.change(it.substr(0, equals), it.substr(equals + 1))) {
            fmt::print(stderr, "unknown setting {}\n", it);
        }
    }
}

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

} // namespace

int main(int argc, char **argv)
{
    const sigset_t signals = blockSignals();
    auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc }, true);
    StandinState state;
    applySettings(state, arguments["--set"].asStringList());

    constexpr int Threads = 600;
    constexpr int IdleSeconds = 60;
    constexpr int StackBytes = 256 * 1024;
    constexpr int Backlog = 1024;
    Poco::ThreadPool threads(4, Threads, IdleSeconds, StackBytes);
    const auto port = static_cast<Poco::UInt16>(arguments["--port"].asLong());
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port), Backlog);
    const std::string address = socket.address().toString();
    std::optional<Poco::Net::SocketAddress> chain;
    if (arguments["--chain"]) {
        chain.emplace(arguments["--chain"].asString());
    }
    const auto server = startServer(state, socket, threads, chain);
    std::unique_ptr<Announcer> announcer;
    if (arguments["--announce"]) {
        const Poco::Net::SocketAddress node(arguments["--announce"].asString());
        announcer = std::make_unique<Announcer>(state, node, arguments["--service"].asString(), address);
    }
    fmt::print(stderr, "event=listening listener=upstream port={}\n", socket.address().port());
    int signal = 0;
    sigwait(&signals, &signal);
    announcer.reset();
    server->stopAll(true);
    std::_Exit(0); // open keep-alive connections of callers aren't waited for
}
