#pragma once

#include "core/clock.h"
#include "core/enumtable.h"
#include "routing/table/upstreamtable.h"

namespace Pimentohollow
{

/** How a call to an upstream ended, as far as its health is concerned. */
enum class AnswerKind {
    Success,
    Failure, ///< error answer, broken connection, or no answer in time
    Shed, ///< truthfully refused as not run; says nothing about health
};

inline constexpr auto AnswerKindNames = makeEnumTable<AnswerKind>({
    { AnswerKind::Success, "success" },
    { AnswerKind::Failure, "failure" },
    { AnswerKind::Shed, "shed" },
});

/**
 * Leaves out upstreams that fail or are much slower than the others of their service, at most half of a service.
 *
 * An ejected upstream comes back by itself when its time is over, with slow start and on probation: the first failure during
 * probation ejects it again for twice the time. A service that is slow as a whole raises the median, so none is ejected. A slow
 * upstream stays if the others have no room for the work that it still completes.
 */
class OutlierEjector
{
public:
    static constexpr std::uint32_t FailuresInARow = 5;
    /** Failures mixed with successes eject from this share on, once there are enough samples. */
    static constexpr double LargestFailureShare = 0.5;
    static constexpr std::uint32_t SamplesForShare = 20;
    static constexpr double SlowFactor = 3.0;
    /** Differences below this are noise or the way to another data centre (1.5 to 3 ms). */
    static constexpr Duration SmallestSlowness = std::chrono::milliseconds(10);
    static constexpr std::uint32_t SamplesForLatency = 10;
    /** Weight of a new sample in the moving averages; about the last 20 samples count. */
    static constexpr double SampleWeight = 0.1;
    static constexpr Duration FirstEjection = std::chrono::seconds(5);
    static constexpr Duration LongestEjection = std::chrono::seconds(60);
    static constexpr std::uint32_t ProbationSuccesses = 3;
    /** Some calls always go to a full upstream, so that room is noticed. */
    static constexpr double LargestShedShare = 0.95;

    OutlierEjector(UpstreamTable &table, const Clock &clock);

    /** Takes the end of a call; @p latency is used for successes only. Returns whether the upstream was ejected now. */
    bool onAnswer(const NodeName &node, AnswerKind kind, Duration latency);

    /** Ejects an upstream that probes found slow or failing, within the cap. @see SuspectProber */
    bool ejectSuspect(const NodeName &node);

    /** Upstreams of the service that are left out now. */
    std::size_t ejected(const ServiceName &service) const;

private:
    void addSample(Upstream &upstream, bool failed, Duration latency);
    bool isFailing(const Upstream &upstream) const;
    bool isSlow(const Upstream &upstream) const;
    bool othersHaveRoomFor(const Upstream &upstream, double usualLatency) const;
    bool eject(Upstream &upstream, bool slow);

    UpstreamTable &m_table;
    const Clock &m_clock;
};

} // namespace Pimentohollow
