#include "measures.h"

#include <algorithm>
#include <numeric>

namespace Pimentohollow
{

namespace
{

constexpr Duration Bin = std::chrono::milliseconds(200);
constexpr double RecoveredShare = 0.95;
/** Window within which no normal request may be started after an important one was shed. */
constexpr Duration PriorityWindow = std::chrono::milliseconds(100);
/** The limits are learnt during this time; refusals before it are not counted. */
constexpr Duration Learning = std::chrono::seconds(1);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Weighted max-min fair shares of @p total between demands. */
std::vector<double> fairShares(const std::vector<double> &demands, double total)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a] / AccountRates[a] < demands[b] / AccountRates[b];
    });
    double weights = std::accumulate(AccountRates.begin(), AccountRates.end(), 0.0);
    std::vector<double> shares(demands.size());
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

void Measures::sent(Duration now, std::size_t account)
{
    if (inTrigger(now)) {
        m_demand[account] += 1;
    }
}

void Measures::ended(Duration firstSent, Duration now, std::size_t account, bool success)
{
    Count &bin = m_bins[static_cast<std::size_t>(firstSent / Bin)];
    ++bin.requests;
    bin.succeeded += success ? 1 : 0;
    if (inTrigger(now) && success) {
        m_served[account] += 1;
    }
    const Scenario &scenario = m_experiment.scenario;
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

double Measures::goodput() const
{
    const double served = std::accumulate(m_served.begin(), m_served.end(), 0.0);
    const double demand = std::accumulate(m_demand.begin(), m_demand.end(), 0.0);
    const double possible = capacity(m_experiment.deployment, m_experiment.scenario.deepSlowdown) * seconds(TriggerLength);
    return served / std::min(demand, possible);
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
    const double possible = capacity(m_experiment.deployment, m_experiment.scenario.deepSlowdown) * seconds(TriggerLength);
    const auto shares = fairShares({ m_demand.begin(), m_demand.end() }, possible);
    double worst = 1e9;
    for (std::size_t n = 0; n < shares.size(); ++n) {
        worst = std::min(worst, m_served[n] / shares[n]);
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
