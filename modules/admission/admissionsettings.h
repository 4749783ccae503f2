#pragma once

#include "admission/limits/concurrencylimit.h"
#include "admission/queue/fairqueue.h"

#include <functional>

namespace Pimentohollow
{

/** Settings of ShareEstimator. */
struct AdmittedShareSettings {
    /** Length of a measuring window. */
    Duration window = std::chrono::milliseconds(100);
    /** Requests invited, as a multiple of those completed; above 1, so that an estimate that is too low leaves no slot idle. */
    double overcommit = 1.1;
    /** Largest fall and rise of a share per window; bounds the overshoot while callers don't know the new share yet. */
    double largestFall = 0.5;
    double largestRise = 1.5;
};

/** Settings of AdmissionController; the defaults suit services whose answers take some 10 to 300 ms. */
struct AdmissionSettings {
    LimitSettings limit = GradientLimitSettings{};
    FairQueueSettings queue;
    AdmittedShareSettings shares;
    /** Length of the queue in time, at the current rate of completions. */
    Duration queueTime = std::chrono::milliseconds(300);
    /** The same for important requests, which lengthen the queue when no normal one is left to displace. */
    Duration importantQueueTime = std::chrono::milliseconds(300);
    /**
     * Longest wait of a normal request. Shorter than queueTime, so that the backlog of each account is bounded by its own
     * wait: a queue that is always full looks the same on all nodes, and callers can't choose the less loaded one.
     */
    Duration longestWait = std::chrono::milliseconds(150);
    /** Bounds of the queue in requests, whatever the rate of completions. */
    std::size_t shortestQueue = 16;
    std::size_t longestQueue = 4096;
    /** How long no normal request is admitted after an important one was shed. */
    Duration importantShedHold = std::chrono::milliseconds(100);
    /**
     * The time after which a refused caller may come back, by the share of requests admitted now.
     * Set to RetryAfter::forOverload by the node.
     */
    std::function<Duration(double)> retryAfter = [](double) {
        return Duration(std::chrono::seconds(1));
    };
};

} // namespace Pimentohollow
