// Compares the quota module with a static equal split per node, in process and from one seed.
// Usage: quota_bench [seed]. Prints a Markdown table; the same seed gives the same table.
#include "quota/tests/fleetbound.h"
#include "quota/tests/quotafleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

enum class Pattern {
    Spread, ///< every node alike
    Skewed, ///< four of five requests of an account at one node
    Shifting, ///< the same, at another node every 10 s
};

struct Deployment {
    const char *name;
    std::size_t dataCentres;
    std::size_t nodesEach;
};

struct Outcome {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    /** Refused although the rate and burst of the fleet had a token. */
    std::uint64_t refusedWithin = 0;
};

constexpr Duration Measured = 60s;
constexpr Duration ShiftInterval = 10s;
constexpr double Load = 0.8;
constexpr double SkewedPart = 0.8;

struct Account {
    AccountName name;
    AccountRate rate;
    std::size_t home = 0;
    TimePoint next{};
};

std::vector<Account> accounts(Random &random, std::size_t nodes)
{
    std::vector<Account> result;
    for (std::size_t n = 0; n < 8; ++n) {
        const bool large = n < 2;
        const AccountRate rate = large ? AccountRate{ 300 * OneToken, 300 * OneToken } : AccountRate{ 20 * OneToken, 20 * OneToken };
        result.push_back({ AccountName("account-" + std::to_string(n)), rate, random.below(nodes), {} });
    }
    return result;
}

/** The baseline: every node has an equal part of rate and burst, for good. */
class EqualSplit
{
public:
    EqualSplit(const std::vector<Account> &accounts, std::size_t nodes, TimePoint now)
    {
        for (const auto &it : accounts) {
            const BucketLimits limits{ it.rate.rate / nodes, it.rate.burst / nodes };
            m_buckets[it.name] = std::vector<TokenBucket>(nodes, TokenBucket(limits, now));
        }
    }

    bool admit(std::size_t node, const AccountName &account, TimePoint now)
    {
        return m_buckets[account][node].tryTake(OneToken, now);
    }

private:
    std::map<AccountName, std::vector<TokenBucket>> m_buckets;
};

struct Judge {
    std::map<AccountName, FleetBound> bounds;
    Outcome outcome;

    void decide(const AccountName &account, bool admitted, TimePoint now)
    {
        ++outcome.offered;
        outcome.admitted += admitted ? 1 : 0;
        auto &bound = bounds.at(account);
        if (admitted) {
            bound.admit(now);
        } else if (bound.within(now)) {
            ++outcome.refusedWithin;
        }
    }
};

class Run
{
public:
    Run(const Deployment &deployment, Pattern pattern, bool platformUp, std::uint64_t seed)
        : m_pattern(pattern)
        , m_platformUp(platformUp)
        , m_random(seed)
        , m_fleet(seed + 1, deployment.dataCentres, deployment.nodesEach)
        , m_accounts(accounts(m_random, m_fleet.nodes.size()))
        , m_split(m_accounts, m_fleet.nodes.size(), m_fleet.clock.now())
    {
        std::map<AccountName, AccountRate> rates;
        for (const auto &it : m_accounts) {
            rates.emplace(it.name, it.rate);
            m_ours.bounds.emplace(it.name, FleetBound(it.rate));
            m_baseline.bounds.emplace(it.name, FleetBound(it.rate));
        }
        for (std::size_t n = 0; n < m_fleet.nodes.size(); ++n) {
            m_fleet.setAccounts(n, rates);
        }
        m_fleet.onDecision = [this](std::size_t, const AccountName &account, AdmissionState state, Duration) {
            m_ours.decide(account, state == AdmissionState::Admitted, m_fleet.clock.now());
        };
    }

    void execute()
    {
        // Until all shares are taken and the buckets are full.
        const auto ready = m_fleet.clock.now() + 60s;
        while (m_fleet.clock.now() < ready) {
            m_fleet.step(5ms);
        }
        m_fleet.faults.outage = !m_platformUp;
        m_fleet.messages = 0;
        m_fleet.bytes = 0;
        const auto start = m_fleet.clock.now();
        auto shift = start + ShiftInterval;
        while (m_fleet.clock.now() < start + Measured) {
            m_fleet.step();
            const auto now = m_fleet.clock.now();
            for (auto &it : m_accounts) {
                it.home = m_pattern == Pattern::Shifting && now >= shift ? m_random.below(m_fleet.nodes.size()) : it.home;
                arrive(it, now);
            }
            shift = now >= shift ? shift + ShiftInterval : shift;
        }
    }

    void print(const Deployment &deployment) const
    {
        static const std::map<Pattern, const char *> Names{ { Pattern::Spread, "spread" },
                                                            { Pattern::Skewed, "skewed" },
                                                            { Pattern::Shifting, "shifting" } };
        const auto percent = [](const Outcome &it) {
            return 100.0 * static_cast<double>(it.refusedWithin) / static_cast<double>(std::max<std::uint64_t>(1, it.offered));
        };
        const auto admitted = static_cast<double>(std::max<std::uint64_t>(1, m_ours.outcome.admitted));
        const auto nodeSeconds = static_cast<double>(m_fleet.nodes.size()) * std::chrono::duration<double>(Measured).count();
        std::printf("| %s | %s | %s | %.3f | %.3f | %.4f | %.2f | %.0f |\n",
                    deployment.name,
                    Names.at(m_pattern),
                    m_platformUp ? "up" : "down",
                    percent(m_ours.outcome),
                    percent(m_baseline.outcome),
                    static_cast<double>(m_fleet.messages) / admitted,
                    static_cast<double>(m_fleet.bytes) / admitted,
                    static_cast<double>(m_fleet.bytes) / nodeSeconds);
        std::fflush(stdout);
    }

private:
    void arrive(Account &account, TimePoint now)
    {
        const auto mean = static_cast<double>(OneToken) / (static_cast<double>(account.rate.rate) * Load);
        if (account.next == TimePoint{}) {
            account.next = now;
        }
        while (account.next <= now) {
            account.next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_random.exponential(mean)));
            const bool elsewhere = m_pattern == Pattern::Spread || m_random.unit() >= SkewedPart;
            const auto node = elsewhere ? m_random.below(m_fleet.nodes.size()) : account.home;
            m_fleet.request(node, account.name);
            m_baseline.decide(account.name, m_split.admit(node, account.name, now), now);
        }
    }

    Pattern m_pattern;
    bool m_platformUp;
    Random m_random;
    QuotaFleet m_fleet;
    std::vector<Account> m_accounts;
    EqualSplit m_split;
    Judge m_ours;
    Judge m_baseline;
};

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    const Deployment deployments[] = { { "Jahrestag 4 x 4", 4, 4 }, { "Agencia 3 x 5", 3, 5 }, { "1 x 140", 1, 140 } };
    std::printf(
        "| deployment | demand | platform | refused within rate, %% | equal split, %% | messages per admitted | bytes per admitted | "
        "bytes per node and second |\n|---|---|---|---|---|---|---|---|\n");
    for (const auto &deployment : deployments) {
        for (const auto pattern : { Pattern::Spread, Pattern::Skewed, Pattern::Shifting }) {
            for (const bool platformUp : { true, false }) {
                Run run(deployment, pattern, platformUp, seed);
                run.execute();
                run.print(deployment);
            }
        }
    }
    return 0;
}
