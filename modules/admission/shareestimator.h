#pragma once

#include "admission/admissionsettings.h"
#include "core/requestcontext.h"

#include <array>
#include <cstdint>
#include <optional>

namespace Pimentohollow
{

/** Shares of normal and of important requests that a service admits, each in [0, 1]. */
struct AdmittedShares {
    double normal = 1.0;
    double important = 1.0;

    double of(Priority priority) const
    {
        return priority == Priority::Important ? important : normal;
    }

    bool operator==(const AdmittedShares &) const = default;
};

/**
 * Estimates, per window, which shares of the demand a serving node can take; they are reported to the nodes above.
 *
 * The demand is larger than the arrivals, because the nodes above refuse calls by the reported share already: a child
 * call that arrives stands for 1 / share calls, a call from a caller for one.
 */
class ShareEstimator
{
public:
    explicit ShareEstimator(AdmittedShareSettings settings = {});

    /** Counts a request that arrived. @param chained whether it is a child call, which the nodes above thin out */
    void arrived(Priority priority, bool chained, TimePoint now);

    /** Counts a request refused because of load. */
    void refused(TimePoint now);

    /** Counts a whole answer. */
    void completed(TimePoint now);

    AdmittedShares shares(TimePoint now);

    /** Whole answers per second; nothing before the first full window. */
    std::optional<double> completionRate() const;

private:
    /** Windows after which a change of the shares has reached this service; reports take two, a deep chain another two. */
    static constexpr std::size_t HistoryWindows = 4;

    struct Arrivals {
        double direct = 0;
        double chained = 0;
    };

    void roll(TimePoint now);
    void closeWindow(double seconds);
    double demand(Priority priority) const;
    double limitChange(double share, double target) const;

    AdmittedShareSettings m_settings;
    /** As estimated; normal requests are reported as 0 while important ones are thinned. */
    AdmittedShares m_shares;
    /** The shares of the last windows; calls on the way were admitted under one of them. */
    std::array<AdmittedShares, HistoryWindows> m_history;
    std::size_t m_nextHistory = 0;
    TimePoint m_start{};
    std::array<Arrivals, 2> m_arrivals;
    double m_refused = 0;
    double m_completed = 0;
    std::optional<double> m_completionRate;
};

} // namespace Pimentohollow
