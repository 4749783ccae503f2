#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/random.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Decides at the entry node whether the tree of calls below a new request may start.
 *
 * The load it answers: the smallest service at the bottom of the trees gets one and a half times what it can do, while those above it have
 * room. Shedding there wastes the work of all services above. So each entry node learns which services the trees of a route reach, and
 * admits a falling share of those trees, the least urgent rank first, while one of these services has a queue. Requests whose trees don't
 * reach it aren't touched. Not thread-safe, no clock.
 */
class TreeAdmission
{
public:
    explicit TreeAdmission(Random &random);

    /** Trees of @p route keep @p busySlots slots of @p service busy, by one of its nodes. */
    void learnWork(const RouteName &route, const ServiceName &service, double busySlots, TimePoint now);
    /** Mean time that requests wait at the upstreams of @p service now. Call it for all services, then adjust(). */
    void setWait(const ServiceName &service, Duration wait);
    /** Moves the admitted shares by the waits set before; call it every AdjustInterval. */
    void adjust(TimePoint now);

    /** Nothing if the tree may start, or when to come back. */
    std::optional<Duration> admit(const RouteName &route, std::uint32_t rank, TimePoint now);

    static constexpr std::chrono::milliseconds AdjustInterval{ 100 };

private:
    struct Service {
        Duration wait{};
        /** Ranks that are admitted: 1.3 admits rank 0 and three tenths of rank 1. */
        double level = 0;
        bool started = false;
    };

    double admittedShare(const ServiceName &service, std::uint32_t rank) const;

    Random &m_random;
    std::unordered_map<ServiceName, Service> m_services;
    /** When a service was last seen below a route. */
    std::unordered_map<RouteName, std::unordered_map<ServiceName, TimePoint>> m_reached;
};

} // namespace Pimentohollow
