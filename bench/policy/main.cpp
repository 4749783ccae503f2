#include "simulation.h"

#include <algorithm>
#include <atomic>
#include <docopt/docopt.h>
#include <fmt/core.h>
#include <thread>

using namespace Pimentohollow;

namespace
{

constexpr char Usage[] =
    R"(Measures the decision code under overload in simulated time and prints the tables of docs/decisions.md.

Usage: policy_benchmark [--seed=<n>] [--jobs=<n>] [--filter=<text>]

Options:
  --seed=<n>       Seed of all runs. [default: 20261204]
  --jobs=<n>       Runs at the same time. [default: 3]
  --filter=<text>  Runs only rows that contain this text; a $ stands for the end of the row's name.
)";

struct Row {
    Experiment experiment;
    Report report;
};

std::string title(const Experiment &it)
{
    return fmt::format("{} | {} | {} | {}", it.deployment.name, it.scenario.name, it.chain, it.policy.name);
}

std::string recovery(double seconds)
{
    return seconds < 0 ? "never" : fmt::format("{:.1f} s", seconds);
}

void print(const Row &row)
{
    const Report &it = row.report;
    fmt::print("| {} | {:.1f} % | {} | {:.1f} % | {:.2f} % | {:.1f} % | {} | {} |\n",
               title(row.experiment),
               100 * it.goodput,
               recovery(it.recoverySeconds),
               100 * it.worstServed,
               100 * it.wrongfulRefusals,
               100 * it.wastedWork,
               it.importantLost,
               it.mostAttempts);
}

std::vector<Row> rowsFor(std::uint64_t seed, const std::string &filter)
{
    std::vector<Policy> all = policies();
    const auto extra = profiles();
    all.insert(all.end(), extra.begin(), extra.end());
    std::vector<Row> rows;
    for (const auto &deployment : deployments()) {
        for (const auto &scenario : scenarios()) {
            for (const std::uint32_t chain : { 1U, 3U, 11U }) {
                for (const auto &policy : all) {
                    Row row{ { deployment, scenario, policy, chain, seed }, {} };
                    if ((title(row.experiment) + "$").find(filter) != std::string::npos) {
                        rows.push_back(row);
                    }
                }
            }
        }
    }
    return rows;
}

void runAll(std::vector<Row> &rows, unsigned jobs)
{
    std::atomic<std::size_t> next{ 0 };
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < jobs; ++n) {
        threads.emplace_back([&] {
            for (std::size_t it = next++; it < rows.size(); it = next++) {
                rows[it].report = Simulation(rows[it].experiment).run();
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc });
    const auto seed = static_cast<std::uint64_t>(std::stoull(arguments.at("--seed").asString()));
    const auto jobs = static_cast<unsigned>(std::clamp(std::stoi(arguments.at("--jobs").asString()), 1, 16));
    const std::string filter = arguments.at("--filter") ? arguments.at("--filter").asString() : "";
    std::vector<Row> rows = rowsFor(seed, filter);
    runAll(rows, jobs);
    fmt::print("| user | scenario | chain | policy | goodput | recovery | worst-served | wrongful refusals | wasted work | important lost "
               "| most attempts |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &it : rows) {
        print(it);
    }
    return 0;
}
