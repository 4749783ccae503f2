#include "mesh/decisions/upstreamlifecycle.h"

#include <algorithm>

namespace Pimentohollow
{

UpstreamLifecycle::UpstreamLifecycle(Duration confirmationTime)
    : m_confirmationTime(confirmationTime)
{
}

ReportEffect UpstreamLifecycle::apply(const UpstreamReport &report, TimePoint now)
{
    if (report.draining) {
        m_departures.add(report.id, report.startedAt);
    }
    const bool sameProcess = m_known && report.id == m_lastReport.id && report.startedAt == m_lastReport.startedAt;
    if (sameProcess && report.sequence <= m_lastReport.sequence) {
        return ReportEffect::Late;
    }
    // Upstreams that don't name their start times have equal ones; of these, one that has left doesn't replace another.
    const bool startedLater = report.startedAt > m_lastReport.startedAt
        || (report.startedAt == m_lastReport.startedAt && !m_departures.covers(report.id, report.startedAt));
    if (m_known && !sameProcess && !startedLater) {
        return ReportEffect::Outdated;
    }
    m_known = true;
    m_lastReport = report;
    if (!sameProcess) {
        m_firstReportAt = now;
        return ReportEffect::Started;
    }
    // Reports that were delayed together arrive together.
    m_confirmed = m_confirmed || (hasRunningProcess() && now - m_firstReportAt >= m_confirmationTime);
    return ReportEffect::Updated;
}

void UpstreamLifecycle::deregister(const Deregistration &message, WallTime receivedAt)
{
    const bool isKnown = m_known && m_lastReport.id == message.id;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(receivedAt.time_since_epoch()).count();
    m_departures.add(message.id, message.startedAt.value_or(isKnown ? m_lastReport.startedAt : now));
}

void UpstreamLifecycle::recordLeaving()
{
    if (m_known) {
        m_departures.add(m_lastReport.id, m_lastReport.startedAt);
    }
}

void UpstreamLifecycle::merge(const UpstreamDepartures &departures)
{
    m_departures.merge(departures);
}

void UpstreamLifecycle::recall(const UpstreamDepartures &departures)
{
    merge(departures);
    m_recalled = true;
}

void UpstreamLifecycle::setKept(const NodeName &peer, const UpstreamDepartures &departures)
{
    m_keptByPeers[peer] = departures;
}

void UpstreamLifecycle::forgetPeer(const NodeName &peer)
{
    m_keptByPeers.erase(peer);
}

bool UpstreamLifecycle::isKept(std::size_t peers) const
{
    if (isWritten()) {
        return true;
    }
    const auto keeping = std::count_if(m_keptByPeers.begin(), m_keptByPeers.end(), [this](const auto &it) {
        return it.second.includes(m_departures);
    });
    return static_cast<std::size_t>(keeping) * 2 > peers;
}

} // namespace Pimentohollow
