#include "routing/health/suspectprober.h"

#include <algorithm>
#include <cmath>

namespace Pimentohollow
{

namespace
{

GreedyCyclicCusum makeRule(std::size_t upstreams)
{
    GreedyCyclicCusum::Parameters parameters;
    parameters.threshold = SuspectProber::AlarmThreshold;
    return { std::max<std::size_t>(upstreams, 1), parameters };
}

} // namespace

SuspectProber::SuspectProber(ServiceName service, UpstreamTable &table, OutlierEjector &ejector, const Clock &clock)
    : m_service(std::move(service))
    , m_table(table)
    , m_ejector(ejector)
    , m_clock(clock)
    , m_rule(makeRule(1))
{
}

std::optional<NodeName> SuspectProber::next()
{
    const auto now = m_clock.now();
    if (now < m_nextProbe) {
        return std::nullopt;
    }
    m_nextProbe = now + ProbeInterval;
    refresh();
    if (m_nodes.empty()) {
        return std::nullopt;
    }
    return m_nodes[m_rule.target()];
}

bool SuspectProber::onProbe(const NodeName &node, AnswerKind kind, Duration latency)
{
    // A late answer of an earlier target is not a sample of this stay.
    if (kind == AnswerKind::Shed || m_nodes.empty() || m_nodes[m_rule.target()] != node) {
        return false;
    }
    if (kind == AnswerKind::Success) {
        const bool isKnown = m_samples >= BaselineSamples;
        const double sample = standardise(latency);
        // Samples far above the baseline belong to the shift that is looked for.
        if (!isKnown || sample < LargestSample) {
            addToBaseline(latency);
        }
        return isKnown && m_rule.onSample(sample) && m_ejector.ejectSuspect(node);
    }
    return m_rule.onSample(LargestSample) && m_ejector.ejectSuspect(node);
}

void SuspectProber::refresh()
{
    std::vector<NodeName> nodes;
    const auto now = m_clock.now();
    const auto &upstreams = m_table.service(m_service);
    for (const auto *list : { &upstreams.local, &upstreams.remote }) {
        for (const auto *it : *list) {
            if (it->reachable && !it->isEjected(now)) {
                nodes.push_back(it->record.node);
            }
        }
    }
    if (nodes != m_nodes) {
        m_nodes = std::move(nodes);
        m_rule = makeRule(m_nodes.size());
    }
}

double SuspectProber::standardise(Duration latency) const
{
    const double deviation = std::max(std::sqrt(m_variance), 1.0);
    return std::min((static_cast<double>(latency.count()) - m_mean) / deviation, LargestSample);
}

void SuspectProber::addToBaseline(Duration latency)
{
    ++m_samples;
    // The plain mean at first, a moving one later.
    const double weight = std::max(BaselineWeight, 1.0 / static_cast<double>(m_samples));
    const double difference = static_cast<double>(latency.count()) - m_mean;
    m_mean += weight * difference;
    m_variance = (1.0 - weight) * (m_variance + weight * difference * difference);
}

} // namespace Pimentohollow
