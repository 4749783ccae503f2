#include "core/manualclock.h"
#include "routing/routing.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

using namespace Pimentohollow;

namespace
{

constexpr std::uint64_t Seed = 20261204;
const ServiceName Service("service");

/** A table with one upstream per node; of every @p ejectedOneIn upstreams one is ejected, 0 for none. */
void fill(UpstreamTable &table, const Clock &clock, std::int64_t count, std::int64_t ejectedOneIn)
{
    Random random(Seed);
    for (std::int64_t n = 0; n < count; ++n) {
        UpstreamRecord record;
        record.node = NodeName(fmt::format("node-{}", n));
        record.dataCentre = DataCentreName("here");
        record.service = Service;
        record.state = UpstreamState::Ready;
        record.sequence = 1;
        record.concurrencyLimit = 160;
        record.inFlight = static_cast<std::uint32_t>(random.below(120));
        table.apply(record, clock.now());
        if (ejectedOneIn > 0 && n % ejectedOneIn == 0) {
            table.find(record.node)->health.ejectedUntil = clock.now() + std::chrono::hours(1);
        }
    }
}

void choose(benchmark::State &state)
{
    ManualClock clock;
    Random random(Seed);
    UpstreamTable table(DataCentreName("here"));
    fill(table, clock, state.range(0), state.range(1));
    UpstreamSelector selector(table, clock, random);
    const std::vector<NodeName> tried;
    for ([[maybe_unused]] auto it : state) {
        benchmark::DoNotOptimize(selector.choose(Service, tried));
    }
}

void applyRecord(benchmark::State &state)
{
    ManualClock clock;
    UpstreamTable table(DataCentreName("here"));
    fill(table, clock, state.range(0), 0);
    auto record = table.find(NodeName("node-0"))->record;
    for ([[maybe_unused]] auto it : state) {
        ++record.sequence;
        benchmark::DoNotOptimize(table.apply(record, clock.now()));
    }
}

void onAnswer(benchmark::State &state)
{
    ManualClock clock;
    UpstreamTable table(DataCentreName("here"));
    fill(table, clock, state.range(0), 0);
    OutlierEjector ejector(table, clock);
    std::vector<NodeName> nodes;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        nodes.emplace_back(fmt::format("node-{}", n));
    }
    std::size_t n = 0;
    for ([[maybe_unused]] auto it : state) {
        benchmark::DoNotOptimize(ejector.onAnswer(nodes[++n % nodes.size()], AnswerKind::Success, std::chrono::milliseconds(5)));
    }
}

} // namespace

BENCHMARK(choose)->ArgNames({ "upstreams", "ejectedOneIn" })->ArgsProduct({ { 4, 64, 2300 }, { 0, 2 } });
BENCHMARK(applyRecord)->ArgName("upstreams")->Arg(4)->Arg(64)->Arg(2300);
BENCHMARK(onAnswer)->ArgName("upstreams")->Arg(4)->Arg(64)->Arg(2300);
