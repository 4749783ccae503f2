#include "mesh/decisions/slotqueue.h"

#include <algorithm>
#include <cmath>

namespace Pimentohollow
{

namespace
{

/** Fraction of the announced slots that is used: upstreams slow down when nearly all slots are in use. */
constexpr double UsableShare = 0.95;
/** Weight of one run in the exponential moving averages. */
constexpr double RunWeight = 0.05;
/** Fraction of the mean run time that must be left for a request that finds a free slot; it displaces no other request. */
constexpr double MinimumRunTimeFraction = 0.6;
/**
 * Mean deviations beyond the mean run time that must be left for a queued request: in a queue that stays full, all requests start at this
 * limit, and with the mean alone every second run would end too late.
 */
constexpr double QueuedDeviations = 2;
/** Maximum number of requests per slot that may wait ahead of a new one, whatever their deadlines. */
constexpr std::size_t MaximumWaitingPerSlot = 8;
constexpr std::chrono::milliseconds MinimumRetryAfter(50);
constexpr std::chrono::seconds MaximumRetryAfter(2);

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void SlotQueue::setSlots(std::uint32_t slots)
{
    m_usableSlots = slots == 0 ? 0 : std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::floor(slots * UsableShare)));
}

void SlotQueue::setRateLimit(std::optional<double> requestsPerSecond, TimePoint now)
{
    m_pacer.setLimit(requestsPerSecond, now);
}

std::uint32_t SlotQueue::sustainableSlots() const
{
    if (!m_pacer.limit() || m_usableSlots == 0) {
        return m_usableSlots;
    }
    const double busy = std::floor(*m_pacer.limit() * m_meanRunTime);
    return static_cast<std::uint32_t>(std::clamp<double>(busy, 1, m_usableSlots));
}

Duration SlotQueue::occupancyTime() const
{
    return m_pacer.limit() ? fromSeconds(sustainableSlots() / *m_pacer.limit()) : Duration{};
}

bool SlotQueue::tryStart(const SlotRequest &request, TimePoint now)
{
    if (m_running.size() >= m_usableSlots || !m_pacer.tryStart(now)) {
        return false;
    }
    m_running.emplace(request.ticket, request.route);
    return true;
}

SlotDecision SlotQueue::offer(const SlotRequest &request, TimePoint now)
{
    const std::int64_t urgency = static_cast<std::int64_t>(request.rank) - (request.nested ? 1 : 0);
    const Position position{ urgency, ++m_nextPosition };
    if (m_waiting.empty() && canFinish(request, now, false) && tryStart(request, now)) {
        return SlotGranted{};
    }
    const auto ahead = static_cast<std::size_t>(std::distance(m_waiting.begin(), m_waiting.lower_bound(position)));
    const Duration wait = expectedWait(ahead);
    if (ahead >= MaximumWaitingPerSlot * m_usableSlots || !canFinish(request, now + wait, true)) {
        return SlotRefused{ std::clamp<Duration>(expectedWait(m_waiting.size()), MinimumRetryAfter, MaximumRetryAfter) };
    }
    m_waiting.emplace(position, request);
    m_positions.emplace(request.ticket, position);
    return SlotQueued{};
}

SlotSchedule SlotQueue::release(std::uint64_t ticket, std::optional<Duration> runTime, TimePoint now)
{
    const auto found = m_running.find(ticket);
    if (found != m_running.end()) {
        if (runTime) {
            const double seconds = std::chrono::duration<double>(*runTime).count();
            auto &statistics = m_runTimeStatistics[found->second];
            if (statistics.mean == 0) {
                statistics = { seconds, seconds / 4 };
            }
            statistics.meanDeviation += RunWeight * (std::abs(seconds - statistics.mean) - statistics.meanDeviation);
            statistics.mean += RunWeight * (seconds - statistics.mean);
            m_meanRunTime = m_meanRunTime == 0 ? seconds : m_meanRunTime + RunWeight * (seconds - m_meanRunTime);
        }
        m_running.erase(found);
    }
    return schedule(now);
}

bool SlotQueue::remove(std::uint64_t ticket)
{
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end()) {
        return false;
    }
    m_waiting.erase(found->second);
    m_positions.erase(found);
    return true;
}

SlotSchedule SlotQueue::schedule(TimePoint now)
{
    SlotSchedule result;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const SlotRequest &request = it->second;
        if (!canFinish(request, now, true)) {
            result.refuse.push_back(request.ticket);
        } else if (tryStart(request, now)) {
            result.start.push_back(request.ticket);
        } else {
            ++it;
            continue;
        }
        m_positions.erase(request.ticket);
        it = m_waiting.erase(it);
    }
    return result;
}

SlotSchedule SlotQueue::refuseAll()
{
    SlotSchedule result;
    for (const auto &[position, request] : m_waiting) {
        result.refuse.push_back(request.ticket);
    }
    m_waiting.clear();
    m_positions.clear();
    return result;
}

Duration SlotQueue::expectedWait() const
{
    return expectedWait(m_waiting.size());
}

Duration SlotQueue::runTime(const RouteName &route) const
{
    const auto found = m_runTimeStatistics.find(route);
    return found == m_runTimeStatistics.end() ? Duration{} : fromSeconds(found->second.mean);
}

bool SlotQueue::canFinish(const SlotRequest &request, TimePoint start, bool queued) const
{
    const auto found = m_runTimeStatistics.find(request.route);
    if (found == m_runTimeStatistics.end()) {
        return start < request.expiry;
    }
    const auto &statistics = found->second;
    const double seconds =
        queued ? statistics.mean + statistics.meanDeviation * QueuedDeviations : statistics.mean * MinimumRunTimeFraction;
    return start + fromSeconds(seconds) < request.expiry;
}

Duration SlotQueue::expectedWait(std::size_t ahead) const
{
    if (m_usableSlots == 0) {
        return std::chrono::hours(1);
    }
    const Duration limitWait = m_pacer.expectedWait(ahead);
    if (m_running.size() < m_usableSlots && ahead == 0) {
        return limitWait;
    }
    return std::max(limitWait, fromSeconds(static_cast<double>(ahead + 1) * m_meanRunTime / m_usableSlots));
}

} // namespace Pimentohollow
