#pragma once

#include "core/clock.h"
#include "routing/health/greedycycliccusum.h"
#include "routing/health/outlierejector.h"
#include "routing/table/upstreamtable.h"

#include <optional>
#include <vector>

namespace Pimentohollow
{

/**
 * Probes the upstreams of one service at a fixed rate, so that a slow or silent one is noticed although this node sends it
 * little work, for example because it is in another data centre. Probes are idempotent requests that are directed to
 * the given upstream; health endpoints are not trusted. Follows GreedyCyclicCusum, which beat the simpler rules (docs/routing.md).
 */
class SuspectProber
{
public:
    static constexpr Duration ProbeInterval = std::chrono::milliseconds(250);
    /** e^12.8 probes are a day at four per second; latencies have a heavier tail, so that false alarms are more frequent. */
    static constexpr double AlarmThreshold = 12.8;
    /** Samples are cut here: one failure or one very late answer is no proof. */
    static constexpr double LargestSample = 4.0;
    /** Probes until the baseline is known. */
    static constexpr std::size_t BaselineSamples = 20;
    /** Weight of a new sample in the baseline. */
    static constexpr double BaselineWeight = 0.02;

    SuspectProber(ServiceName service, UpstreamTable &table, OutlierEjector &ejector, const Clock &clock);

    /** The upstream that the next idempotent request of the service should go to, if a probe is due. */
    std::optional<NodeName> next();

    /** Takes the end of a probe; ejects the upstream on an alarm and returns whether it did. */
    bool onProbe(const NodeName &node, AnswerKind kind, Duration latency);

private:
    void refresh();
    double standardise(Duration latency) const;
    void addToBaseline(Duration latency);

    ServiceName m_service;
    UpstreamTable &m_table;
    OutlierEjector &m_ejector;
    const Clock &m_clock;
    std::vector<NodeName> m_nodes;
    GreedyCyclicCusum m_rule;
    TimePoint m_nextProbe{};
    std::size_t m_samples = 0;
    double m_mean = 0;
    double m_variance = 0;
};

} // namespace Pimentohollow
