#include "mesh/decisions/upstreamlifecycle.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

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
    const TimePoint previousReportAt = std::exchange(m_lastReportAt, now);
    if (!sameProcess) {
        m_firstReportAt = now;
        m_reports = 1;
        return ReportEffect::Started;
    }
    ++m_reports;
    const bool repeatsSoon = now - previousReportAt <= m_repetitionTime;
    const bool keepsReporting = now - m_firstReportAt >= ConfirmationTime && (repeatsSoon || m_reports >= m_confirmingReports);
    m_confirmed = m_confirmed || (keepsReporting && hasRunningProcess());
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
