#pragma once

#include "admission/limits/limitsample.h"

namespace Pimentohollow
{

/** Settings of GradientLimit. */
struct GradientLimitSettings {
    std::uint32_t initial = 20;
    std::uint32_t smallest = 2;
    std::uint32_t largest = 2000;
    /**
     * Mean latency, as a multiple of the latency without queueing, at which the limit stops growing. Above 1 it keeps
     * a small queue in the upstream, so that an estimate that is too low doesn't leave slots idle.
     */
    double tolerance = 1.5;
    /** Growth per window while latency is within the tolerance. */
    double growth = 1.15;
    /** Largest cut per window. */
    double largestCut = 0.7;
    /** Fewest samples of a window; fewer make the mean too noisy to act on. */
    std::uint32_t smallestWindow = 20;
    /** Interval at which a limit that is in use all the time is lowered for one window, to measure the base latency again. */
    Duration probeInterval = std::chrono::seconds(5);
    /** Share of the limit during a probe. */
    double probeShare = 0.6;
};

/**
 * Latency gradient: compares the mean latency of a window with the base latency, the latency without queueing.
 *
 * When the limit was lowered and latency did not fall with it, the upstream has become slower rather than overloaded;
 * the higher latency becomes the base and the limit is restored. Without that rule a slow-down would push the limit down
 * to its minimum for ever.
 */
class GradientLimit
{
public:
    explicit GradientLimit(GradientLimitSettings settings);

    std::uint32_t limit() const;
    void record(const LimitSample &sample, TimePoint now);
    void restart(TimePoint now);

    /** The estimated latency without queueing; zero before the first window. */
    Duration baseLatency() const;

private:
    /** Means over the requests that started and ended within the same window. */
    struct Window {
        TimePoint start{};
        /** Samples that complete it; fixed at its start, because a limit that grows faster would put the end off for ever. */
        std::uint32_t wanted = 0;
        std::uint32_t samples = 0;
        double latencySum = 0;
        double inFlightSum = 0;

        double latency() const;
        double inFlight() const;
    };

    void growInSlowStart(const LimitSample &sample, double latency);
    void openWindow(TimePoint now);
    void closeWindow(TimePoint now);
    /** Whether latency stayed although concurrency fell since the previous window. */
    bool latencyIndependentOfLoad() const;
    void updateBase(bool inUse, bool probed);
    void updateLimit(bool inUse, TimePoint now);
    void reactToShed(const LimitSample &sample, TimePoint now);
    void setLimit(double limit);

    GradientLimitSettings m_settings;
    double m_limit;
    double m_base = 0;
    /** Grows by one for each answer until the first sign of queueing, as windows take too long to find a high limit. */
    bool m_slowStart = true;
    Window m_window;
    Window m_previous;
    TimePoint m_lastProbe{};
    bool m_probeNext = false;
    /** The limit to return to after a probe; zero while none runs. */
    double m_limitBeforeProbe = 0;
};

} // namespace Pimentohollow
