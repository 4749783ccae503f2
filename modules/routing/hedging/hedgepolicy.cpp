#include "routing/hedging/hedgepolicy.h"

#include <algorithm>

namespace Pimentohollow
{

void HedgePolicy::onAnswer(const ServiceName &service, Duration latency)
{
    // Stochastic approximation: in equilibrium 5 % of the answers lie above the estimate.
    auto &estimate = m_services[service].estimate;
    const bool above = static_cast<double>(latency.count()) > estimate;
    estimate *= 1.0 + StepShare * (above ? Quantile : Quantile - 1.0);
    estimate = std::max(estimate, static_cast<double>(SmallestDelay.count()));
}

void HedgePolicy::onFirstAttempt(const ServiceName &service)
{
    auto &tokens = m_services[service].tokens;
    tokens = std::min(tokens + TokensPerAttempt, MostTokens);
}

std::optional<Duration> HedgePolicy::delay(const RequestContext &context, TimePoint now, double load) const
{
    const auto it = m_services.find(context.service);
    if (!context.idempotent || context.retriesLeft == 0 || load > LargestLoad || it == m_services.end() || it->second.tokens < 1.0) {
        return std::nullopt;
    }
    const Duration wait(static_cast<Duration::rep>(it->second.estimate));
    // A hedge that starts with less than one more such wait before the deadline rarely finishes.
    if (now + 2 * wait >= context.deadline) {
        return std::nullopt;
    }
    return wait;
}

bool HedgePolicy::startHedge(const ServiceName &service)
{
    auto &tokens = m_services[service].tokens;
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}

} // namespace Pimentohollow
