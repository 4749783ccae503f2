#include "loadconnection.h"
#include "processusage.h"
#include "support/testfleet.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <functional>
#include <list>
#include <thread>
#include <vector>

namespace
{

constexpr const char *Usage = R"(Measures the data path: added latency, memory of idle connections, and requests per second per core.
All traffic stays on 127.0.0.1.

Usage:
  datapath_benchmark [options]

Options:
  --seconds=N      Length of each measurement [default: 10].
  --rate=N         Requests per second of each path in the latency measurement [default: 500].
  --connections=N  Connections of each path in the latency measurement [default: 16].
  --workers=N      Connections in the throughput measurement [default: 32].
  --idle=N         Keep-alive connections in the memory measurement [default: 1300].
)";

using namespace Pimentohollow;
using namespace Pimentohollow::Bench;
using namespace Pimentohollow::Testing;

struct Options {
    int seconds;
    int rate;
    int connections;
    int workers;
    int idle;
};

/** One way to reach the upstream. */
struct Path {
    std::string name;
    int port;
    std::vector<double> millis;
    int failed = 0;
};

const std::string KeyHeader = std::string("Authorization: Bearer ") + TestKey + "\r\n";

/** Sends at fixed times and measures from those times, so that a stall counts for all requests it delays. */
void sendAtFixedTimes(const Path &path, const Options &options, TimePoint first, std::vector<double> &millis, int &failed)
{
    LoadConnection connection(path.port, "/echo", KeyHeader);
    const Duration interval = std::chrono::nanoseconds(std::chrono::seconds(options.connections)) / options.rate;
    const int count = options.seconds * options.rate / options.connections;
    for (int n = 0; n < count; ++n) {
        const TimePoint due = first + interval * n;
        std::this_thread::sleep_until(due);
        if (!connection.exchange()) {
            ++failed;
        }
        millis.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - due).count());
    }
}

double quantile(std::vector<double> &sorted, double q)
{
    const auto index = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

/** All paths are measured at the same time, so that disturbances of the machine hit them alike. */
void measureLatency(std::vector<Path> &paths, const Options &options)
{
    const std::size_t total = paths.size() * static_cast<std::size_t>(options.connections);
    std::vector<std::vector<double>> millis(total);
    std::vector<int> failed(total);
    std::vector<std::thread> threads;
    const TimePoint start = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
    const Duration interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / options.rate;
    for (std::size_t n = 0; n < total; ++n) {
        const Path &path = paths[n % paths.size()];
        const TimePoint first = start + interval * static_cast<int>(n) / static_cast<int>(paths.size());
        threads.emplace_back([&, n, first] {
            sendAtFixedTimes(path, options, first, millis[n], failed[n]);
        });
    }
    for (std::size_t n = 0; n < total; ++n) {
        threads[n].join();
        Path &path = paths[n % paths.size()];
        path.millis.insert(path.millis.end(), millis[n].begin(), millis[n].end());
        path.failed += failed[n];
    }
    fmt::print("latency: {} requests/s on {} connections per path, {} s\n", options.rate, options.connections, options.seconds);
    for (auto &it : paths) {
        std::sort(it.millis.begin(), it.millis.end());
        fmt::print("  {:<12} p50 {:7.3f} ms  p99 {:7.3f} ms  p99.9 {:7.3f} ms  max {:7.3f} ms  requests {} failed {}\n",
                   it.name,
                   quantile(it.millis, 0.5),
                   quantile(it.millis, 0.99),
                   quantile(it.millis, 0.999),
                   it.millis.back(),
                   it.millis.size(),
                   it.failed);
    }
}

/** Sends as fast as the answers come on all workers and reports requests per second of CPU time. */
void measureThroughput(const std::string &name, int port, const std::vector<const ChildProcess *> &nodes, const Options &options)
{
    std::atomic<std::uint64_t> requests{ 0 };
    std::atomic<std::uint64_t> failed{ 0 };
    std::vector<double> before;
    before.reserve(nodes.size());
    for (const auto *it : nodes) {
        before.push_back(cpuSeconds(it->pid()));
    }
    const TimePoint end = std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.workers));
    for (int n = 0; n < options.workers; ++n) {
        threads.emplace_back([&] {
            LoadConnection connection(port, "/echo", KeyHeader);
            while (std::chrono::steady_clock::now() < end) {
                ++(connection.exchange() ? requests : failed);
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    const auto count = static_cast<double>(requests.load());
    fmt::print("throughput, {}: {:.0f} requests/s, failed {}", name, count / options.seconds, failed.load());
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        const double cpu = cpuSeconds(nodes[n]->pid()) - before[n];
        fmt::print(", node {}: {:.0f} requests per core-second", n + 1, count / cpu);
    }
    fmt::print("\n");
}

void measureMemory(const ChildProcess &node, int port, const Options &options)
{
    const double before = residentMebibytes(node.pid());
    std::list<LoadConnection> connections;
    int failed = 0;
    for (int n = 0; n < options.idle; ++n) {
        failed += connections.emplace_back(port, "/echo", KeyHeader).exchange() ? 0 : 1;
    }
    const double after = residentMebibytes(node.pid());
    // All connections are still usable.
    for (auto &it : connections) {
        failed += it.exchange() ? 0 : 1;
    }
    fmt::print("memory: {} keep-alive connections, resident {:.1f} MiB before, {:.1f} MiB with them, failed requests {}\n",
               options.idle,
               before,
               after,
               failed);
}

Options parseOptions(int argc, char **argv)
{
    auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc }, true);
    const auto number = [&arguments](const char *name) {
        return static_cast<int>(arguments[name].asLong());
    };
    return { number("--seconds"), number("--rate"), number("--connections"), number("--workers"), number("--idle") };
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = parseOptions(argc, argv);
    TestFleet fleet;
    const TestSite serving = fleet.startServingSite("b");
    const auto entry = fleet.startNode("a", { fmt::format("echo b {}", serving.node->port("peer")) });
    std::vector<Path> paths{ { "direct", serving.upstream->port("upstream"), {}, 0 },
                             { "same node", serving.node->port("caller"), {}, 0 },
                             { "two nodes", entry->port("caller"), {}, 0 } };
    measureLatency(paths, options);
    measureThroughput("direct", paths[0].port, {}, options);
    measureThroughput("same node", paths[1].port, { serving.node.get() }, options);
    measureThroughput("two nodes (1 entry, 2 serving)", paths[2].port, { entry.get(), serving.node.get() }, options);
    measureMemory(*entry, paths[2].port, options);
    return 0;
}
