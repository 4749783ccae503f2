#pragma once

#include "core/clock.h"
#include "core/upstreamrecord.h"

#include <cstdint>
#include <optional>

namespace Pimentohollow
{

/** What the upstream says about itself with each `PUT /v1/upstream`. */
struct UpstreamAnnouncement {
    ServiceName service;
    UpstreamState state = UpstreamState::Ready;
    /** Start number of the upstream's process. */
    std::uint64_t incarnation = 0;

    bool operator==(const UpstreamAnnouncement &) const = default;
};

/** What the serving node measures at its upstream. */
struct UpstreamLoad {
    std::uint32_t concurrencyLimit = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint8_t normalAdmittedPercent = 100;
    std::uint8_t importantAdmittedPercent = 100;

    bool operator==(const UpstreamLoad &) const = default;
};

/** The record of the upstream beside this node, from its announcements and from the load that the node measures. */
class LocalUpstream
{
public:
    /** An upstream that announces itself every second may miss two announcements. */
    static constexpr Duration LapseTime = std::chrono::seconds(3);

    /** @param firstSequence above every sequence of an earlier process; the node's incarnation */
    LocalUpstream(NodeName node, DataCentreName dataCentre, std::uint64_t firstSequence);

    /** These return the changed record, or nothing if there is nothing to tell. */
    std::optional<UpstreamRecord> announce(const UpstreamAnnouncement &announcement, TimePoint now);
    std::optional<UpstreamRecord> report(const UpstreamLoad &load);
    /** The node drains: the upstream takes no new work, whatever it announces. */
    std::optional<UpstreamRecord> drain();
    /** Lets a silent upstream lapse. */
    std::optional<UpstreamRecord> tick(TimePoint now);

    /** Nothing before the first announcement. */
    const std::optional<UpstreamRecord> &record() const;

    /** Continues above a sequence that others know of, after the wall clock went back between two processes. */
    std::optional<UpstreamRecord> raiseSequence(std::uint64_t known);

private:
    std::optional<UpstreamRecord> changed();
    static bool worthTelling(const UpstreamRecord &record, const UpstreamLoad &load);

    NodeName m_node;
    DataCentreName m_dataCentre;
    std::uint64_t m_sequence;
    std::optional<UpstreamRecord> m_record;
    TimePoint m_lastAnnounced{};
    bool m_draining = false;
};

} // namespace Pimentohollow
