#include "configuration/configuration.h"
#include "keys/keys.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

using namespace Pimentohollow;

namespace
{

constexpr int Services = 310;
constexpr int RoutesPerService = 3;
constexpr int Accounts = 200;
constexpr int Keys = 1000;
constexpr int DataCentres = 17;

/** A fleet document of the large size. */
VersionedFleet makeLargeFleet()
{
    VersionedFleet result{ 5900, {} };
    FleetConfiguration &fleet = result.fleet;
    for (int n = 0; n < Services; ++n) {
        const ServiceName service(fmt::format("service-{}", n));
        fleet.upsert(ServiceEntity{ service, {}, {}, 200U, {} });
        for (int k = 0; k < RoutesPerService; ++k) {
            const std::string name = fmt::format("route-{}-{}", n, k);
            fleet.upsert(RouteEntity{ RouteName(name), service, "/" + name, { "GET", "HEAD" }, true, false, false, {}, {} });
        }
    }
    for (int n = 0; n < Accounts; ++n) {
        fleet.upsert(AccountEntity{ AccountName(fmt::format("account-{}", n)), 100, 200 });
    }
    for (int n = 0; n < DataCentres; ++n) {
        fleet.upsert(DataCentreEntity{ DataCentreName(fmt::format("data-centre-{}", n)), "region" });
    }
    for (int n = 0; n < Keys; ++n) {
        const KeyDigest digest = keyDigest("pepper-0123456789", std::to_string(n));
        fleet.upsert(KeyEntity{
            KeyId(fmt::format("k{:016x}", n)), AccountName(fmt::format("account-{}", n % Accounts)), digestText(digest), {}, {} });
    }
    return result;
}

FleetChange makeSmallChange(const VersionedFleet &base)
{
    FleetChange change;
    change.version = base.version + 1;
    change.changeId = "4b1a8f5e-6f0a-4c43-9a0e-0d8a3f5f2f11";
    change.author = "maria";
    change.reason = "the shop asked for a higher rate over the holidays";
    change.upserts.emplace_back(AccountEntity{ AccountName("account-7"), 120, 240 });
    return change;
}

void writeDocument(benchmark::State &state)
{
    const auto fleet = makeLargeFleet();
    std::size_t bytes = 0;
    while (state.KeepRunning()) {
        bytes = writeFleet(fleet.fleet).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(writeDocument)->Unit(benchmark::kMillisecond);

void parseDocument(benchmark::State &state)
{
    const std::string text = writeFleet(makeLargeFleet().fleet);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(parseFleet(text, "document", DocumentScope::Complete));
    }
}
BENCHMARK(parseDocument)->Unit(benchmark::kMillisecond);

/** What a node does for each change: parse, check, build the lookups. */
void acceptChange(benchmark::State &state)
{
    const auto fleet = makeLargeFleet();
    const std::string text = writeChange(makeSmallChange(fleet));
    while (state.KeepRunning()) {
        state.PauseTiming();
        ConfigurationTracker tracker;
        tracker.adopt(fleet);
        state.ResumeTiming();
        benchmark::DoNotOptimize(tracker.accept({ 0, "", { text } }));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(acceptChange)->Unit(benchmark::kMillisecond);

void findRoute(benchmark::State &state)
{
    auto fleet = makeLargeFleet();
    const FleetView view(fleet.version, std::move(fleet.fleet));
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(view.route("GET", "/route-200-1/items/17"));
    }
}
BENCHMARK(findRoute);

void checkKey(benchmark::State &state)
{
    const auto key = *ClientKey::generate();
    KeyTable table("pepper-0123456789");
    table.replaceKeys({ { KeyId("k"), AccountName("a"), keyDigest("pepper-0123456789", key.reveal()), false } });
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(table.check(key.reveal()));
    }
}
BENCHMARK(checkKey);

} // namespace

BENCHMARK_MAIN();
