#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/requestcontext.h"

#include <optional>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Decides when a second attempt of idempotent work starts although the first one is still running.
 *
 * The delay is the 95th percentile of the service's latency, tracked from answers. A hedge spends one retry of the request and
 * one token; a first attempt earns 0.05 tokens, so that hedges add at most 5 % to the load. Not thread-safe.
 */
class HedgePolicy
{
public:
    static constexpr double Quantile = 0.95;
    static constexpr double TokensPerAttempt = 0.05;
    static constexpr double MostTokens = 10.0;
    /** Share of the estimate by which one answer moves it. */
    static constexpr double StepShare = 0.02;
    static constexpr Duration FirstEstimate = std::chrono::milliseconds(50);
    static constexpr Duration SmallestDelay = std::chrono::milliseconds(2);
    /** Above this load of the chosen upstream a hedge would take room from first attempts. */
    static constexpr double LargestLoad = 0.7;

    /** Takes the latency of a complete answer of a first attempt. */
    void onAnswer(const ServiceName &service, Duration latency);

    /** Counts a first attempt. */
    void onFirstAttempt(const ServiceName &service);

    /**
     * How long to wait before the hedge, or nothing if the request must not be hedged: not idempotent, no retry left, no tokens,
     * a loaded service, or too little time before the deadline.
     * @param load load of the least loaded other upstream, as a share of its limit
     */
    std::optional<Duration> delay(const RequestContext &context, TimePoint now, double load) const;

    /** Spends the token when the hedge starts; on false it must not start. The caller counts the retry. */
    bool startHedge(const ServiceName &service);

private:
    struct ServiceState {
        double estimate = static_cast<double>(FirstEstimate.count());
        double tokens = 0;
    };

    std::unordered_map<ServiceName, ServiceState> m_services;
};

} // namespace Pimentohollow
