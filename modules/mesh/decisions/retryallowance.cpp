#include "mesh/decisions/retryallowance.h"

#include <algorithm>
#include <cmath>

namespace Pimentohollow
{

namespace
{

/** Share of a window's allowance that calm times may save for later; the rest of the fleet's budget covers it. */
constexpr double SavedShare = 0.5;

/**
 * Repeats that one of a request with calls counts for: with trees of four levels, the three levels above a service then add at most the
 * ratio of one level to its repeats.
 */
constexpr double TreeCost = 3;
/** Part of the saved repeats that the least urgent rank leaves to the others; ranks between leave less. */
constexpr double ReservedShare = 0.25;
constexpr double LastRank = 7;

} // namespace

RetryAllowance::RetryAllowance(RetryAllowanceSettings settings)
    : m_settings(settings)
{
}

void RetryAllowance::setSlack(double slack)
{
    m_settings.slack = slack;
}

void RetryAllowance::recordRequest(const ServiceName &service, TimePoint now)
{
    auto &it = account(service, now);
    it.requests += 1;
    it.tokens = std::min(capacity(it), it.tokens + m_settings.ratio);
}

bool RetryAllowance::tryRepeat(const ServiceName &service, std::uint32_t rank, bool makesCalls, TimePoint now)
{
    const double cost = makesCalls ? TreeCost : 1;
    auto &it = account(service, now);
    const double reserved = std::min(1.0, rank / LastRank) * ReservedShare * capacity(it);
    if (it.tokens - reserved < cost) {
        return false;
    }
    it.tokens -= cost;
    return true;
}

void RetryAllowance::charge(const ServiceName &service, TimePoint now)
{
    auto &it = account(service, now);
    it.tokens = std::max(it.tokens - 1, -capacity(it));
}

RetryAllowance::Account &RetryAllowance::account(const ServiceName &service, TimePoint now)
{
    auto [it, added] = m_accounts.try_emplace(service);
    if (added) {
        it->second.tokens = m_settings.slack;
        it->second.updated = now;
    }
    const double elapsed = std::chrono::duration<double>(now - it->second.updated).count();
    it->second.requests *= std::exp(-elapsed / std::chrono::duration<double>(m_settings.window).count());
    it->second.updated = now;
    return it->second;
}

double RetryAllowance::capacity(const Account &account) const
{
    return m_settings.slack + account.requests * m_settings.ratio * SavedShare;
}

} // namespace Pimentohollow
