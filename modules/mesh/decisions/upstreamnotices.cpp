#include "mesh/decisions/upstreamnotices.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Pimentohollow
{

namespace
{

constexpr double Milli = 1000;
/** Reports of unknown incarnations that are kept; more can only come from nodes that are wrong about the upstream. */
constexpr std::size_t MaximumReports = 8;

std::uint32_t toMilliLimit(double requestsPerSecond)
{
    const double limit = std::round(requestsPerSecond * Milli);
    constexpr auto Maximum = std::numeric_limits<std::uint32_t>::max();
    return limit >= Maximum ? Maximum : std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

/** Applies the limit in @p report to a notice of the same incarnation. */
void applyLimit(UpstreamNotice &notice, const UpstreamNotice &report)
{
    notice.incarnation = report.incarnation;
    notice.milliLimit = notice.milliLimit == 0 ? report.milliLimit : std::min(notice.milliLimit, report.milliLimit);
}

} // namespace

void UpstreamNotices::setIncarnation(const std::string &incarnation)
{
    m_incarnation = incarnation;
    m_current = {};
    m_responded = false;
    m_limitNamedAt = {};
    const auto found = m_reports.find(incarnation);
    if (found != m_reports.end()) {
        m_current = found->second;
    }
    m_reports.clear();
}

void UpstreamNotices::recordResponse(const ResponseNotice &response, TimePoint sentAt, TimePoint now)
{
    m_responded = true;
    if (response.requestsPerSecond) {
        m_current.milliLimit = toMilliLimit(*response.requestsPerSecond);
        m_limitNamedAt = now;
    } else if (sentAt > m_limitNamedAt) {
        m_current.milliLimit = 0;
    }
    m_current.incarnation = m_current.milliLimit != 0 ? m_incarnation : std::string();
}

void UpstreamNotices::applyReport(const UpstreamNotice &report)
{
    if (report.milliLimit == 0) {
        return;
    }
    if (report.incarnation != m_incarnation) {
        if (m_reports.contains(report.incarnation) || m_reports.size() < MaximumReports) {
            applyLimit(m_reports[report.incarnation], report);
        }
    } else if (!m_responded) {
        applyLimit(m_current, report);
    }
}

std::optional<double> UpstreamNotices::requestsPerSecond() const
{
    return m_current.milliLimit == 0 ? std::nullopt : std::optional(m_current.milliLimit / Milli);
}

UpstreamNotice UpstreamNotices::notice() const
{
    return m_incarnation.empty() && !m_reports.empty() ? m_reports.rbegin()->second : m_current;
}

void RemoteNotice::applyDirect(const UpstreamNotice &notice)
{
    m_notice.incarnation = notice.incarnation;
    m_notice.milliLimit = notice.milliLimit;
    mergeDepartures(notice);
}

void RemoteNotice::applyRelayed(const UpstreamNotice &notice)
{
    mergeDepartures(notice);
    if (notice.milliLimit != 0) {
        m_notice.incarnation = notice.incarnation;
        m_notice.milliLimit = notice.milliLimit;
    }
}

bool RemoteNotice::applyStored(const UpstreamDepartures &departures)
{
    const bool completed = !std::exchange(m_notice.departuresComplete, true);
    return m_notice.departures.merge(departures) || completed;
}

void RemoteNotice::mergeDepartures(const UpstreamNotice &notice)
{
    m_notice.departures.merge(notice.departures);
    m_notice.departuresComplete = m_notice.departuresComplete || notice.departuresComplete;
}

} // namespace Pimentohollow
