#include "mesh/decisions/treeadmission.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Ranks that are told apart; less urgent ones are taken together. */
constexpr double Ranks = 3;
/** The most urgent rank always keeps this share: its refusals at the service itself are then few. */
constexpr double LeastLevel = 0.3;
/** Waits above this mean overload, waits below the other one room. */
constexpr std::chrono::milliseconds LongWait(30);
constexpr std::chrono::milliseconds ShortWait(8);
/** Wait at which the level falls fastest. */
constexpr std::chrono::milliseconds SevereWait(200);
/** Change of the level per adjustment. */
constexpr double SmallestFall = 0.04;
constexpr double GreatestFall = 0.25;
constexpr double Rise = 0.03;
/** Slots that a route must keep busy to count as reaching a service. */
constexpr double LeastBusySlots = 0.02;
/** How long a service counts as reached after its last report. */
constexpr std::chrono::seconds ReachMemory(20);
/** Return of a refused caller: from this time on, longer for less urgent ranks. */
constexpr std::chrono::milliseconds ShortestReturn(250);

} // namespace

TreeAdmission::TreeAdmission(Random &random)
    : m_random(random)
{
}

void TreeAdmission::learnWork(const RouteName &route, const ServiceName &service, double busySlots, TimePoint now)
{
    if (busySlots >= LeastBusySlots) {
        m_reached[route][service] = now;
    }
}

void TreeAdmission::setWait(const ServiceName &service, Duration wait)
{
    auto &it = m_services[service];
    it.wait = wait;
    if (!it.started) {
        it.started = true;
        it.level = Ranks;
    }
}

void TreeAdmission::adjust(TimePoint now)
{
    for (auto &[name, it] : m_services) {
        if (it.wait > LongWait) {
            const double severity = std::clamp(std::chrono::duration<double>(it.wait - LongWait) / (SevereWait - LongWait), 0.0, 1.0);
            it.level -= SmallestFall + severity * (GreatestFall - SmallestFall);
        } else if (it.wait < ShortWait) {
            it.level += Rise;
        }
        it.level = std::clamp(it.level, LeastLevel, Ranks);
    }
    for (auto &[route, services] : m_reached) {
        std::erase_if(services, [now](const auto &it) {
            return now - it.second > ReachMemory;
        });
    }
}

std::optional<Duration> TreeAdmission::admit(const RouteName &route, std::uint32_t rank, TimePoint /*now*/)
{
    const auto found = m_reached.find(route);
    if (found == m_reached.end()) {
        return std::nullopt;
    }
    double share = 1;
    for (const auto &[service, seenAt] : found->second) {
        share = std::min(share, admittedShare(service, rank));
    }
    if (share >= 1 || m_random.unit() < share) {
        return std::nullopt;
    }
    // Spreads the returns over a time that grows with the share that is turned away.
    const double spread = 1 + (1 - share) * 3 * m_random.unit() + static_cast<double>(std::min(rank, 2U));
    return std::chrono::duration_cast<Duration>(ShortestReturn * spread);
}

double TreeAdmission::admittedShare(const ServiceName &service, std::uint32_t rank) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return 1;
    }
    const double below = std::min<double>(rank, Ranks - 1);
    return std::clamp(found->second.level - below, 0.0, 1.0);
}

} // namespace Pimentohollow
