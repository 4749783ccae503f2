#include "admission/downstreamgate.h"

#include <algorithm>
#include <vector>

namespace Pimentohollow
{

namespace
{

constexpr Duration DemandWindow = std::chrono::milliseconds(100);
/** Weight of a new window in an account's demand; three windows, so that a short burst is not taken for a rate. */
constexpr double DemandWeight = 0.3;
/** Accounts below this demand are forgotten, which bounds the table. */
constexpr double ForgottenDemand = 0.01;

} // namespace

void DownstreamGate::setWeight(const AccountName &account, double weight)
{
    m_weights[account] = weight;
}

void DownstreamGate::setShares(const RouteName &route, AdmittedShares shares)
{
    if (shares.important < 1.0) {
        shares.normal = 0.0;
    }
    Route &it = m_routes[route];
    it.shares = shares;
    divide(it.demands[0], shares.normal);
    divide(it.demands[1], shares.important);
}

AdmittedShares DownstreamGate::shares(const RouteName &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? AdmittedShares{} : found->second.shares;
}

bool DownstreamGate::admit(const RouteName &route, const AccountName &account, Priority priority, TimePoint now)
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return true;
    }
    roll(found->second, now);
    const double share = found->second.shares.of(priority);
    Demand &demand = found->second.demands[static_cast<std::size_t>(priority)][account];
    demand.arrivals += 1;
    if (share >= 1.0) {
        return true;
    }
    if (demand.mean == 0) {
        // The demand of a new account is unknown until its first window ends.
        demand.passes = share;
    }
    demand.credit += demand.passes;
    if (demand.credit < 1.0) {
        return false;
    }
    demand.credit -= 1.0;
    return true;
}

void DownstreamGate::roll(Route &route, TimePoint now)
{
    if (now - route.windowStart < DemandWindow) {
        return;
    }
    route.windowStart = now;
    for (auto &demands : route.demands) {
        for (auto &[account, demand] : demands) {
            demand.mean += DemandWeight * (demand.arrivals - demand.mean);
            demand.arrivals = 0;
        }
        std::erase_if(demands, [](const auto &it) {
            return it.second.mean < ForgottenDemand;
        });
    }
    divide(route.demands[0], route.shares.normal);
    divide(route.demands[1], route.shares.important);
}

void DownstreamGate::divide(Demands &demands, double share) const
{
    struct Claimant {
        Demand *demand;
        double weight;
    };
    std::vector<Claimant> claimants;
    double left = 0;
    double weights = 0;
    for (auto &[account, demand] : demands) {
        claimants.push_back({ &demand, weight(account) });
        left += share * demand.mean;
        weights += claimants.back().weight;
    }
    std::sort(claimants.begin(), claimants.end(), [](const auto &a, const auto &b) {
        return a.demand->mean / a.weight < b.demand->mean / b.weight;
    });
    for (const auto &it : claimants) {
        const double granted = std::min(it.demand->mean, left * it.weight / weights);
        it.demand->passes = it.demand->mean > 0 ? granted / it.demand->mean : 1.0;
        left -= granted;
        weights -= it.weight;
    }
}

double DownstreamGate::weight(const AccountName &account) const
{
    const auto found = m_weights.find(account);
    return found == m_weights.end() ? 1.0 : found->second;
}

} // namespace Pimentohollow
