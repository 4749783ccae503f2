// Prints the comparison of upstream choices as Markdown tables. Deterministic; takes no arguments.
#include "simulation.h"

#include <fmt/format.h>

using namespace Pimentohollow;
using namespace Pimentohollow::Bench;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261204;

struct Size {
    std::string_view name;
    std::size_t upstreams;
    std::uint32_t slots;
};

constexpr Size Sizes[] = {
    { "Jahrestag reminder, 4 x 30 slots", 4, 30 },
    { "Jahrestag catalogue, 4 x 160 slots", 4, 160 },
    { "Agencia case file, 3 x 50 slots", 3, 50 },
    { "Agencia permit, 3 x 200 slots", 3, 200 },
};

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void printTable(const Size &size, Duration lag)
{
    fmt::print("\n### {}, records {} ms old\n\n", size.name, milliseconds(lag));
    fmt::print("| fault | choice | complete % | median ms | p99 ms |\n|---|---|---|---|---|\n");
    for (const auto &fault : FaultNames.entries()) {
        for (const auto &strategy : StrategyNames.entries()) {
            Scenario scenario;
            scenario.upstreams = size.upstreams;
            scenario.slots = size.slots;
            scenario.fault = fault.value;
            scenario.lag = lag;
            scenario.strategy = strategy.value;
            const auto outcome = Simulation(scenario, Seed).run();
            fmt::print("| {} | {} | {:.2f} | {:.1f} | {:.1f} |\n",
                       fault.name,
                       strategy.name,
                       100.0 * double(outcome.complete) / double(outcome.requests),
                       milliseconds(outcome.median),
                       milliseconds(outcome.p99));
        }
    }
}

} // namespace

int main()
{
    for (const auto &size : Sizes) {
        for (const Duration lag : { Duration(100ms), Duration(1s) }) {
            printTable(size, lag);
        }
    }
    return 0;
}
