#include "measures.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Pimentohollow
{

namespace
{

constexpr Duration Bin = std::chrono::milliseconds(200);
/** Time of the hops of one call, there and back, on average. */
constexpr Duration RoundTrip = std::chrono::microseconds(2300);
constexpr double RecoveredShare = 0.95;
/** Window within which no normal request may be started after an important one was shed. */
constexpr Duration PriorityWindow = std::chrono::milliseconds(100);
/** The limits are learnt during this time; refusals before it are not counted. */
constexpr Duration Learning = std::chrono::seconds(1);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

using Shares = std::array<double, AccountRates.size()>;

double sum(const Shares &shares)
{
    return std::accumulate(shares.begin(), shares.end(), 0.0);
}

/** Weighted max-min fair shares of @p total between demands. */
Shares fairShares(const Shares &demands, double total)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a] / AccountRates[a] < demands[b] / AccountRates[b];
    });
    double weights = std::accumulate(AccountRates.begin(), AccountRates.end(), 0.0);
    Shares shares{};
    for (const std::size_t it : order) {
        shares[it] = std::min(demands[it], total * AccountRates[it] / weights);
        total -= shares[it];
        weights -= AccountRates[it];
    }
    return shares;
}

} // namespace

Measures::Measures(const Experiment &experiment, std::uint32_t services)
    : m_experiment(experiment)
    , m_bins(static_cast<std::size_t>((WarmUp + TriggerLength + AfterTrigger) / Bin) + 1)
    , m_importantShed(services)
    , m_lastNormalStart(services)
{
}

bool Measures::inTrigger(Duration at)
{
    return at >= WarmUp && at < WarmUp + TriggerLength;
}

void Measures::sent(Duration now, std::size_t account, Priority priority)
{
    if (inTrigger(now)) {
        m_demand[static_cast<std::size_t>(priority)][account] += 1;
    }
}

void Measures::ended(Duration firstSent, Duration now, std::size_t account, bool success)
{
    Count &bin = m_bins[static_cast<std::size_t>(firstSent / Bin)];
    ++bin.requests;
    bin.succeeded += success ? 1 : 0;
    const Scenario &scenario = m_experiment.scenario;
    // Answers to requests sent before the trigger, or that come after its end, say nothing about it.
    if (inTrigger(firstSent) && inTrigger(now) && success) {
        m_served[account] += 1;
    }
    const bool calm = firstSent >= Learning && firstSent < WarmUp - deadlineOf(m_experiment.chain);
    const bool onlyHog = scenario.demandFactor == 1.0 && scenario.deepSlowdown == 1.0 && account != HogAccount && inTrigger(firstSent);
    if (calm || onlyHog) {
        ++m_withinRate.requests;
        m_withinRate.succeeded += success ? 1 : 0;
    }
}

void Measures::workDone(Duration now, Duration ownTime, bool useful)
{
    if (inTrigger(now)) {
        (useful ? m_useful : m_wasted) += ownTime;
    }
}

void Measures::importantShed(Duration now, std::uint32_t service)
{
    m_importantShed[service].push_back(now);
}

void Measures::normalStarted(Duration now, std::uint32_t service)
{
    m_lastNormalStart[service][now / PriorityWindow] = now;
}

void Measures::attempts(std::uint32_t count)
{
    m_mostAttempts = std::max(m_mostAttempts, count);
}

Report Measures::report() const
{
    Report report;
    report.goodput = goodput();
    report.recoverySeconds = recovery();
    report.worstServed = worstServed();
    report.wrongfulRefusals =
        m_withinRate.requests == 0 ? 0.0 : 1.0 - static_cast<double>(m_withinRate.succeeded) / static_cast<double>(m_withinRate.requests);
    const double work = seconds(m_useful + m_wasted);
    report.wastedWork = work > 0 ? seconds(m_wasted) / work : 0.0;
    report.importantLost = importantLost();
    report.mostAttempts = m_mostAttempts;
    return report;
}

Duration Measures::unloadedTime() const
{
    const auto slowdown = std::chrono::duration_cast<Duration>(OwnTime * (m_experiment.scenario.deepSlowdown - 1.0));
    return (OwnTime + RoundTrip) * m_experiment.chain + slowdown;
}

double Measures::possible() const
{
    return capacity(m_experiment.deployment, m_experiment.scenario.deepSlowdown) * seconds(TriggerLength - unloadedTime());
}

Measures::PerAccount Measures::demand(Priority priority) const
{
    PerAccount scaled = m_demand[static_cast<std::size_t>(priority)];
    for (double &it : scaled) {
        it *= seconds(TriggerLength - unloadedTime()) / seconds(TriggerLength);
    }
    return scaled;
}

double Measures::goodput() const
{
    const double wanted = sum(demand(Priority::Normal)) + sum(demand(Priority::Important));
    return sum(m_served) / std::min(wanted, possible());
}

double Measures::recovery() const
{
    const auto end = static_cast<std::size_t>((WarmUp + TriggerLength) / Bin);
    // Requests of the last bins may not have ended within the run.
    const auto last = m_bins.size() - 1 - static_cast<std::size_t>(deadlineOf(m_experiment.chain) / Bin) - 1;
    std::size_t recovered = end;
    for (std::size_t n = end; n < last; ++n) {
        if (static_cast<double>(m_bins[n].succeeded) < RecoveredShare * static_cast<double>(m_bins[n].requests)) {
            recovered = n + 1;
        }
    }
    return recovered >= last ? -1.0 : seconds(Bin) * static_cast<double>(recovered - end);
}

double Measures::worstServed() const
{
    // Important requests come first, so the fair share of normal ones is a share of what they leave.
    const auto important = fairShares(demand(Priority::Important), possible());
    const auto normal = fairShares(demand(Priority::Normal), possible() - sum(important));
    double worst = std::numeric_limits<double>::max();
    for (std::size_t n = 0; n < m_served.size(); ++n) {
        worst = std::min(worst, m_served[n] / (important[n] + normal[n]));
    }
    return worst;
}

std::uint64_t Measures::importantLost() const
{
    std::uint64_t lost = 0;
    for (std::size_t service = 0; service < m_importantShed.size(); ++service) {
        for (const Duration it : m_importantShed[service]) {
            const auto found = m_lastNormalStart[service].find(it / PriorityWindow);
            lost += found != m_lastNormalStart[service].end() && found->second > it ? 1 : 0;
        }
    }
    return lost;
}

} // namespace Pimentohollow
