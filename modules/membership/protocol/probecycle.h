#pragma once

#include "core/random.h"
#include "membership/protocol/membershipsettings.h"
#include "membership/table/membertable.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/** A probe that waits for its answer. */
struct Probe {
    std::uint64_t id = 0;
    NodeName target;
    TimePoint sentAt{};
    bool indirect = false;
};

/**
 * Decides whom to probe and when a probe has failed: one member per interval, each once per round in random order, so
 * that a failed member is probed within two rounds.
 */
class ProbeCycle
{
public:
    ProbeCycle(const MembershipTiming &timing, Random &random);

    /** Starts a probe of one of @p candidates if one is due; the previous one must have ended. */
    std::optional<Probe> start(const std::vector<const Member *> &candidates, TimePoint now);

    /** The running probe once its answer is overdue, so that other members are asked to probe; reported once. */
    std::optional<Probe> overdue(TimePoint now);

    /** The target that answered neither directly nor indirectly within the interval; ends the probe. */
    std::optional<NodeName> failed(TimePoint now);

    /** True if @p id was the running probe, which ends. */
    bool answered(std::uint64_t id);

    /** Forgets the running probe, after a pause of this process that made its answer late. */
    void reset(TimePoint now);

    /** A fresh id for a probe outside the cycle. */
    std::uint64_t nextId();

private:
    std::optional<NodeName> nextTarget(const std::vector<const Member *> &candidates);

    const MembershipTiming &m_timing;
    Random &m_random;
    std::uint64_t m_lastId = 0;
    std::vector<NodeName> m_round;
    std::optional<Probe> m_running;
    TimePoint m_nextStart{};
};

} // namespace Pimentohollow
