#include "admission/limits/gradientlimit.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Weight of a new window in the base latency when nothing queues. */
constexpr double CalmBaseWeight = 0.2;
/** Weight of a new window that is faster than the base; less than 1, so that a single lucky window doesn't set it. */
constexpr double FasterBaseWeight = 0.3;
/** Fall of concurrency between two windows from which their latencies can be compared. */
constexpr double ComparableFall = 0.8;
/** Share of the base latency above which a lower latency is taken for noise. */
constexpr double SameLatency = 0.95;
/** Share of the limit above which it counts as in use; a lower share would raise the limit far above what was ever in flight. */
constexpr double InUseShare = 0.75;
/** Growth per answer before the first sign of queueing; with 2, a limit triples in the time of a request. */
constexpr double SlowStartGrowth = 2.0;
/** Decrease of the limit when the upstream sheds. */
constexpr double ShedDecrease = 0.9;
/** Added to each growth, so that very small limits grow too. */
constexpr double SmallestGrowth = 1.0;

} // namespace

double GradientLimit::Window::latency() const
{
    return latencySum / samples;
}

double GradientLimit::Window::inFlight() const
{
    return inFlightSum / samples;
}

GradientLimit::GradientLimit(GradientLimitSettings settings)
    : m_settings(settings)
    , m_limit(settings.initial)
{
    openWindow({});
}

std::uint32_t GradientLimit::limit() const
{
    return static_cast<std::uint32_t>(m_limit);
}

Duration GradientLimit::baseLatency() const
{
    return Duration(static_cast<Duration::rep>(m_base));
}

void GradientLimit::restart(TimePoint now)
{
    m_limit = m_settings.initial;
    m_base = 0;
    m_slowStart = true;
    m_probeNext = false;
    m_previous = {};
    openWindow(now);
    m_lastProbe = now;
    m_limitBeforeProbe = 0;
}

void GradientLimit::record(const LimitSample &sample, TimePoint now)
{
    const auto latency = static_cast<double>(sample.ownTime.count());
    growInSlowStart(sample, latency);
    if (sample.result == WorkResult::Failed || sample.startedAt < m_window.start) {
        return;
    }
    if (sample.result == WorkResult::Shed) {
        reactToShed(sample, now);
        return;
    }
    const bool lowerBoundTooLow = sample.result == WorkResult::TimedOut && latency <= m_base;
    if (lowerBoundTooLow) {
        return;
    }
    ++m_window.samples;
    m_window.latencySum += latency;
    m_window.inFlightSum += sample.inFlight;
    if (m_window.samples >= m_window.wanted) {
        closeWindow(now);
    }
}

void GradientLimit::growInSlowStart(const LimitSample &sample, double latency)
{
    const bool good = sample.result == WorkResult::Completed && (m_base == 0 || latency <= m_settings.tolerance * m_base);
    if (m_slowStart && good && sample.inFlightAtEnd >= InUseShare * m_limit) {
        setLimit(m_limit + SlowStartGrowth);
    }
}

void GradientLimit::openWindow(TimePoint now)
{
    m_window = {};
    m_window.start = now;
    m_window.wanted = std::max(m_settings.smallestWindow, limit() / 2);
}

void GradientLimit::closeWindow(TimePoint now)
{
    const bool probed = m_limitBeforeProbe > 0;
    const bool inUse = probed || m_window.inFlight() >= InUseShare * m_limit;
    updateBase(inUse, probed);
    updateLimit(inUse, now);
    m_previous = m_window;
    openWindow(now);
}

bool GradientLimit::latencyIndependentOfLoad() const
{
    if (m_previous.samples == 0 || m_window.inFlight() > ComparableFall * m_previous.inFlight()) {
        return false;
    }
    // Under queueing latency falls in proportion to concurrency; without it, it stays. The boundary is halfway.
    const double expectedUnderQueueing = m_window.inFlight() / m_previous.inFlight();
    return m_window.latency() / m_previous.latency() > (1.0 + expectedUnderQueueing) / 2.0;
}

void GradientLimit::updateBase(bool inUse, bool probed)
{
    const double latency = m_window.latency();
    // Queueing only adds to latency, so a much lower one is the new base at once: the upstream has become faster.
    const bool muchFaster = latency * m_settings.tolerance < m_base;
    if (m_base == 0 || muchFaster || (probed && latency < m_base)) {
        // What was measured under a high limit, or fell in a probe, may still contain queueing: probe again.
        m_probeNext = latency < SameLatency * m_base;
        m_base = latency;
    } else if (latencyIndependentOfLoad()) {
        m_base = latency;
        m_limit = std::max(m_limit, m_previous.inFlight());
    } else if (!inUse) {
        m_base += CalmBaseWeight * (latency - m_base);
    } else if (latency < m_base) {
        m_base += FasterBaseWeight * (latency - m_base);
    }
}

void GradientLimit::updateLimit(bool inUse, TimePoint now)
{
    if (m_limitBeforeProbe > 0) {
        setLimit(std::max(m_limit, m_limitBeforeProbe));
        m_limitBeforeProbe = 0;
        m_lastProbe = now;
        return;
    }
    const double headroom = m_settings.tolerance * m_base / m_window.latency();
    if (headroom < 1.0) {
        m_slowStart = false;
        setLimit(m_limit * std::max(m_settings.largestCut, headroom));
    } else if (inUse && !m_slowStart) {
        setLimit(m_limit * m_settings.growth + SmallestGrowth);
    }
    if (!inUse) {
        m_lastProbe = now;
    } else if (m_probeNext || now - m_lastProbe >= m_settings.probeInterval) {
        m_probeNext = false;
        m_limitBeforeProbe = m_limit;
        setLimit(m_limit * m_settings.probeShare);
    }
}

void GradientLimit::reactToShed(const LimitSample &sample, TimePoint now)
{
    setLimit(std::min<double>(m_limit, sample.inFlight) * ShedDecrease);
    m_limitBeforeProbe = 0;
    m_slowStart = false;
    openWindow(now);
}

void GradientLimit::setLimit(double limit)
{
    m_limit = std::clamp<double>(limit, m_settings.smallest, m_settings.largest);
}

} // namespace Pimentohollow
