#include "mesh/decisions/upstreamlifecycle.h"

namespace Pimentohollow
{

ReportEffect UpstreamLifecycle::apply(const UpstreamReport &report)
{
    if (report.draining) {
        m_departures.add(report.id, report.startedAt);
    }
    const bool sameProcess = m_known && report.id == m_lastReport.id && report.startedAt == m_lastReport.startedAt;
    if (sameProcess && report.sequence <= m_lastReport.sequence) {
        return ReportEffect::Late;
    }
    if (m_known && report.startedAt < m_lastReport.startedAt) {
        return ReportEffect::Outdated;
    }
    m_known = true;
    m_lastReport = report;
    return sameProcess ? ReportEffect::Updated : ReportEffect::Started;
}

void UpstreamLifecycle::deregister(const std::string &id, WallTime receivedAt)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(receivedAt.time_since_epoch()).count();
    m_departures.add(id, m_known && m_lastReport.id == id ? m_lastReport.startedAt : now);
}

void UpstreamLifecycle::recordLeaving()
{
    if (m_known) {
        m_departures.add(m_lastReport.id, m_lastReport.startedAt);
    }
}

void UpstreamLifecycle::applyDepartures(const UpstreamDepartures &departures)
{
    m_departures.merge(departures);
}

} // namespace Pimentohollow
