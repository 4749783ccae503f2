// Prints the detection delay of probing rules at equal false alarm rate as Markdown tables. Deterministic; takes no arguments.
#include "prober.h"

#include "core/random.h"

#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <string>

using namespace Pimentohollow;
using namespace Pimentohollow::Bench;

namespace
{

constexpr std::uint64_t Seed = 20261204;
/** Mean number of probes to a false alarm to which all rules are calibrated. */
constexpr double TargetRunLength = 1000.0;
constexpr int CalibrationRuns = 1000;
constexpr int DelayRuns = 2000;
/** Probes before the shift, so that the rules are in their steady state. */
constexpr std::size_t WarmUp = 100;
constexpr std::size_t LongestRun = 100000;

enum class Noise {
    Gaussian,
    Exponential, ///< mean 0 and variance 1 like the Gaussian one, with the right tail that latencies have
};

struct Rule {
    std::string name;
    /** Without a shift all samples have one distribution, so that the number of upstreams doesn't matter to rules without state per
     * upstream. */
    bool hasStatePerUpstream = false;
    std::function<std::unique_ptr<Prober>(std::size_t upstreams, double threshold)> make;
};

class Source
{
public:
    Source(Noise noise, std::uint64_t seed)
        : m_noise(noise)
        , m_random(seed)
    {
    }

    double sample()
    {
        return m_noise == Noise::Gaussian ? m_normal(m_random.engine()) : m_random.exponential(1.0) - 1.0;
    }

    std::size_t below(std::size_t bound)
    {
        return m_random.below(bound);
    }

private:
    Noise m_noise;
    Random m_random;
    std::normal_distribution<double> m_normal;
};

double meanRunLength(const Rule &rule, std::size_t upstreams, double threshold, Noise noise)
{
    Source source(noise, Seed);
    double total = 0;
    for (int n = 0; n < CalibrationRuns; ++n) {
        const auto prober = rule.make(upstreams, threshold);
        std::size_t probes = 1;
        while (!prober->onSample(source.sample()) && probes < LongestRun) {
            ++probes;
        }
        total += double(probes);
    }
    return total / CalibrationRuns;
}

double calibrate(const Rule &rule, std::size_t upstreams, Noise noise)
{
    double low = 0.0;
    double high = 14.0;
    for (int n = 0; n < 12; ++n) {
        const double middle = (low + high) / 2;
        (meanRunLength(rule, upstreams, middle, noise) < TargetRunLength ? low : high) = middle;
    }
    return high;
}

struct Delay {
    double mean = 0;
    double standardError = 0;
};

/** Probes from the shift of one random upstream to the alarm about it; alarms about others count as delay. */
Delay detectionDelay(const Rule &rule, std::size_t upstreams, double threshold, double shift, Noise noise)
{
    Source source(noise, Seed + 1);
    double sum = 0;
    double squares = 0;
    for (int n = 0; n < DelayRuns; ++n) {
        auto prober = rule.make(upstreams, threshold);
        for (std::size_t probe = 0; probe < WarmUp; ++probe) {
            if (prober->onSample(source.sample())) {
                prober = rule.make(upstreams, threshold);
            }
        }
        const auto faulty = source.below(upstreams);
        std::size_t probes = 0;
        for (bool detected = false; !detected && probes < LongestRun;) {
            const auto target = prober->target();
            ++probes;
            const bool alarm = prober->onSample(source.sample() + (target == faulty ? shift : 0.0));
            detected = alarm && target == faulty;
            if (alarm && !detected) {
                prober = rule.make(upstreams, threshold);
            }
        }
        sum += double(probes);
        squares += double(probes) * double(probes);
    }
    const double mean = sum / DelayRuns;
    return Delay{ mean, std::sqrt((squares / DelayRuns - mean * mean) / DelayRuns) };
}

std::vector<Rule> makeRules()
{
    std::vector<Rule> rules;
    for (const double delta : { 0.5, 1.0, 2.0 }) {
        rules.push_back(
            { fmt::format("greedy cyclic CUSUM, delta = {}, q = 100", delta), false, [delta](std::size_t upstreams, double threshold) {
                 return std::make_unique<GreedyCyclicProber>(upstreams, GreedyCyclicCusum::Parameters{ threshold, delta });
             } });
    }
    for (const double design : { 1.0, 2.0 }) {
        rules.push_back({ fmt::format("plain cyclic CUSUM for shift {}", design), true, [design](std::size_t upstreams, double threshold) {
                             return std::make_unique<PlainCyclicCusum>(upstreams, threshold, design);
                         } });
    }
    for (const std::size_t length : { 2, 3, 4 }) {
        rules.push_back({ fmt::format("simple rule, n = {}", length), false, [length](std::size_t upstreams, double threshold) {
                             return std::make_unique<RunsRule>(upstreams, threshold, length);
                         } });
    }
    return rules;
}

/** Thresholds of the rules for one kind of noise. */
std::vector<double> calibrateAll(const std::vector<Rule> &rules, Noise noise, std::size_t upstreams, const std::vector<double> &known)
{
    std::vector<double> thresholds;
    for (std::size_t n = 0; n < rules.size(); ++n) {
        const bool reuse = !known.empty() && !rules[n].hasStatePerUpstream;
        thresholds.push_back(reuse ? known[n] : calibrate(rules[n], upstreams, noise));
    }
    return thresholds;
}

void printTable(const std::vector<Rule> &rules, const std::vector<double> &thresholds, Noise noise, std::size_t upstreams)
{
    const std::vector<double> shifts{ 0.5, 1.0, 2.0, 4.0, 8.0 };
    fmt::print("\n### {} noise, {} upstreams\n\n| rule | threshold | run length |",
               noise == Noise::Gaussian ? "Gaussian" : "Exponential",
               upstreams);
    for (const auto shift : shifts) {
        fmt::print(" shift {} |", shift);
    }
    fmt::print("\n|---|---|---|---|---|---|---|---|\n");
    for (std::size_t n = 0; n < rules.size(); ++n) {
        fmt::print("| {} | {:.2f} | {:.0f} |", rules[n].name, thresholds[n], meanRunLength(rules[n], upstreams, thresholds[n], noise));
        for (const auto shift : shifts) {
            const auto delay = detectionDelay(rules[n], upstreams, thresholds[n], shift, noise);
            fmt::print(" {:.1f} ± {:.1f} |", delay.mean, delay.standardError);
        }
        fmt::print("\n");
    }
}

} // namespace

int main()
{
    const auto rules = makeRules();
    for (const auto noise : { Noise::Gaussian, Noise::Exponential }) {
        std::vector<double> thresholds;
        for (const std::size_t upstreams : { 2, 4, 10 }) {
            thresholds = calibrateAll(rules, noise, upstreams, thresholds);
            printTable(rules, thresholds, noise, upstreams);
        }
    }
    return 0;
}
