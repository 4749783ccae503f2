#include "simulation.h"

#include <algorithm>
#include <atomic>
#include <docopt/docopt.h>
#include <fmt/core.h>
#include <iterator>
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
  --filter=<text>  Prints instead one row per run whose name contains this text; a $ stands for the end of the name.
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

std::vector<Row> allRows(std::uint64_t seed)
{
    std::vector<Policy> all = policies();
    const auto extra = profiles();
    all.insert(all.end(), extra.begin(), extra.end());
    std::vector<Row> rows;
    for (const auto &deployment : deployments()) {
        for (const auto &scenario : scenarios()) {
            for (const std::uint32_t chain : { 1U, 3U, 11U }) {
                for (const auto &policy : all) {
                    rows.push_back({ { deployment, scenario, policy, chain, seed }, {} });
                }
            }
        }
    }
    return rows;
}

/** Rows of the first table: the baseline and the user's own profile. */
bool comparesProfile(const Row &row)
{
    const std::string &policy = row.experiment.policy.name;
    return policy == "no control" || policy == "profile " + row.experiment.deployment.name;
}

/** Rows of the second table: all policies where they differ most. */
bool comparesPolicies(const Row &row)
{
    const Scenario &it = row.experiment.scenario;
    const bool scenario = it.demandFactor == 10.0 || it.deepSlowdown > 1.0 || it.hogFactor > 1.0;
    return row.experiment.chain == 3 && scenario;
}

template <typename Predicate>
std::vector<Row> select(const std::vector<Row> &rows, Predicate predicate)
{
    std::vector<Row> selected;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(selected), predicate);
    return selected;
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

void runAndPrint(const std::string &heading, std::vector<Row> rows, unsigned jobs)
{
    runAll(rows, jobs);
    fmt::print("### {}\n\n| user | scenario | chain | policy | goodput | recovery | worst-served | wrongful refusals | wasted work "
               "| important lost | most attempts |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
               heading);
    for (const auto &it : rows) {
        print(it);
    }
    fmt::print("\n");
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc });
    const auto seed = static_cast<std::uint64_t>(std::stoull(arguments.at("--seed").asString()));
    const auto jobs = static_cast<unsigned>(std::clamp(std::stoi(arguments.at("--jobs").asString()), 1, 16));
    const std::string filter = arguments.at("--filter") ? arguments.at("--filter").asString() : "";
    const std::vector<Row> all = allRows(seed);
    if (filter.empty()) {
        runAndPrint("Baseline against the profile of each user", select(all, comparesProfile), jobs);
        runAndPrint("Policies and parts, chains of 3", select(all, comparesPolicies), jobs);
        return 0;
    }
    const auto matches = [&filter](const Row &row) {
        return (title(row.experiment) + "$").find(filter) != std::string::npos;
    };
    runAndPrint("Selected runs", select(all, matches), jobs);
    return 0;
}
