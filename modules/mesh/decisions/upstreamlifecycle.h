#pragma once

#include "core/clock.h"
#include "mesh/model/upstreamdepartures.h"
#include "mesh/model/upstreamreport.h"

namespace Pimentohollow
{

/** What a report says that wasn't known. */
enum class ReportEffect : std::uint8_t {
    Outdated, ///< it comes from a process that another one has replaced
    Late, ///< a later report of the same process is known
    Updated, ///< it is the last one of the known process
    Started, ///< it is the first one of a process that wasn't known
};

/**
 * Which process of the upstream beside a node is running, and which have left. The only owner of that state.
 *
 * A departure is recorded whatever is known of its process at that time: messages may be late, and the node may have been restarted.
 * A process that has left receives no requests again, whatever it, or a message that it sent before, reports afterwards.
 *
 * Not thread-safe; the caller passes the time.
 */
class UpstreamLifecycle
{
public:
    /** Applies a report. The departure of a draining process is recorded even if the report has no other effect. */
    ReportEffect apply(const UpstreamReport &report);
    /**
     * Records the departure of the process that deregisters. If no process of its id is known, it applies to all that started before
     * @p receivedAt, by the clock of this VM.
     */
    void deregister(const std::string &id, WallTime receivedAt);
    /** Records that the running process leaves, by its own responses. */
    void recordLeaving();
    /** Adds departures that an earlier process of this node, or another node, recorded. */
    void applyDepartures(const UpstreamDepartures &departures);

    /** True if a report is known. */
    bool isKnown() const
    {
        return m_known;
    }

    /** The last report of the running process; its id is empty if none is known. */
    const UpstreamReport &lastReport() const
    {
        return m_lastReport;
    }

    /** True if the running process is known and hasn't left. */
    bool isUsable() const
    {
        return m_known && !m_departures.covers(m_lastReport.id, m_lastReport.startedAt);
    }

    const UpstreamDepartures &departures() const
    {
        return m_departures;
    }

private:
    bool m_known = false;
    UpstreamReport m_lastReport;
    UpstreamDepartures m_departures;
};

} // namespace Pimentohollow
