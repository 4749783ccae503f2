#include "routing/health/outlierejector.h"

#include <algorithm>
#include <vector>

namespace Pimentohollow
{

OutlierEjector::OutlierEjector(UpstreamTable &table, const Clock &clock)
    : m_table(table)
    , m_clock(clock)
{
}

bool OutlierEjector::onAnswer(const NodeName &node, AnswerKind kind, Duration latency)
{
    auto *upstream = m_table.find(node);
    if (!upstream) {
        return false;
    }
    auto &shedShare = upstream->health.shedShare;
    shedShare += SampleWeight * ((kind == AnswerKind::Shed ? 1.0 : 0.0) - shedShare);
    shedShare = std::min(shedShare, LargestShedShare);
    // Answers that arrive during an ejection belong to calls from before it or to overflow.
    if (kind == AnswerKind::Shed || upstream->isEjected(m_clock.now())) {
        return false;
    }
    const bool failed = kind == AnswerKind::Failure;
    addSample(*upstream, failed, latency);
    if (failed && (upstream->health.probation > 0 || isFailing(*upstream))) {
        return eject(*upstream, false);
    }
    return isSlow(*upstream) && eject(*upstream, true);
}

bool OutlierEjector::ejectSuspect(const NodeName &node)
{
    auto *upstream = m_table.find(node);
    return upstream && !upstream->isEjected(m_clock.now()) && eject(*upstream, true);
}

std::size_t OutlierEjector::ejected(const ServiceName &service) const
{
    const auto now = m_clock.now();
    const auto &upstreams = m_table.service(service);
    const auto isEjected = [now](const Upstream *it) {
        return it->isEjected(now);
    };
    return static_cast<std::size_t>(std::count_if(upstreams.local.begin(), upstreams.local.end(), isEjected)
                                    + std::count_if(upstreams.remote.begin(), upstreams.remote.end(), isEjected));
}

void OutlierEjector::addSample(Upstream &upstream, bool failed, Duration latency)
{
    auto &health = upstream.health;
    ++health.samples;
    health.failureShare += SampleWeight * ((failed ? 1.0 : 0.0) - health.failureShare);
    if (failed) {
        ++health.consecutiveFailures;
        return;
    }
    health.consecutiveFailures = 0;
    const auto value = static_cast<double>(latency.count());
    health.latency = health.latency == 0 ? value : health.latency + SampleWeight * (value - health.latency);
    if (health.probation > 0) {
        --health.probation;
    } else if (upstream.slowStart.weight(m_clock.now()) >= 1.0) {
        health.ejections = 0;
    }
}

bool OutlierEjector::isFailing(const Upstream &upstream) const
{
    const auto &health = upstream.health;
    return health.consecutiveFailures >= FailuresInARow || (health.samples >= SamplesForShare && health.failureShare > LargestFailureShare);
}

bool OutlierEjector::isSlow(const Upstream &upstream) const
{
    // The median is compared with every tenth sample only, because it costs a pass over the service.
    if (upstream.health.samples % SamplesForLatency != 0 || upstream.health.samples == 0) {
        return false;
    }
    const auto now = m_clock.now();
    std::vector<double> latencies;
    const auto &upstreams = m_table.service(upstream.record.service);
    for (const auto *list : { &upstreams.local, &upstreams.remote }) {
        for (const auto *it : *list) {
            if (it != &upstream && it->health.samples >= SamplesForLatency && !it->isEjected(now)) {
                latencies.push_back(it->health.latency);
            }
        }
    }
    if (latencies.empty()) {
        return false;
    }
    const auto middle = latencies.begin() + std::ssize(latencies) / 2;
    std::nth_element(latencies.begin(), middle, latencies.end());
    return upstream.health.latency > SlowFactor * *middle
        && upstream.health.latency - *middle > static_cast<double>(SmallestSlowness.count()) && othersHaveRoomFor(upstream, *middle);
}

bool OutlierEjector::othersHaveRoomFor(const Upstream &upstream, double usualLatency) const
{
    // The calls in flight shrink with the latency when others take them over.
    const double calls = double(upstream.ownInFlight + upstream.othersInFlight) * usualLatency / upstream.health.latency;
    const auto now = m_clock.now();
    double room = 0;
    const auto &upstreams = m_table.service(upstream.record.service);
    for (const auto *list : { &upstreams.local, &upstreams.remote }) {
        for (const auto *it : *list) {
            if (it != &upstream && it->reachable && !it->isEjected(now)) {
                room += std::max(it->capacity(now) * (1.0 - it->recordedLoad(now)), 0.0);
            }
        }
    }
    return room >= calls;
}

bool OutlierEjector::eject(Upstream &upstream, bool slow)
{
    const auto &service = upstream.record.service;
    if ((ejected(service) + 1) * 2 > m_table.service(service).size()) {
        return false;
    }
    const auto ejections = upstream.health.ejections + 1;
    const auto doublings = std::min(ejections - 1, 4U);
    const auto until = m_clock.now() + std::min(FirstEjection * (1 << doublings), LongestEjection);
    upstream.health = UpstreamHealth();
    upstream.health.ejections = ejections;
    upstream.health.ejectedUntil = until;
    upstream.health.slow = slow;
    upstream.health.probation = ProbationSuccesses;
    upstream.slowStart.restart(until);
    return true;
}

} // namespace Pimentohollow
