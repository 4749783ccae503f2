#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "mesh/model/upstreamdepartures.h"
#include "mesh/model/upstreamreport.h"

#include <map>

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
 * Which process of the upstream beside a node is running, which have left, and who else keeps that. The only owner of that state.
 *
 * A departure is recorded whatever is known of its process at that time: messages may be late, and the node may have been restarted.
 * A process that has left receives no requests again, whatever it, or a message that it sent before, reports afterwards.
 *
 * What the node acknowledges has to outlive its process. The store's entry of the node keeps it; while the store can't be written, most of
 * the other nodes do, and tell the node after a restart. Until a new process of the node has heard from the store, or from a node that
 * knows all that the store or an earlier process knew, its upstream isn't used: that a node says nothing of departures is no proof that
 * there were none, because it may have been restarted as well.
 *
 * All of these may fail at once: every process is killed before the store is back, or the store comes back from an older copy. A process
 * of the node therefore doesn't rely on the first reports that it receives, which may have been sent before a departure that an earlier
 * process acknowledged. It uses its upstream only once a process keeps reporting, which a process that has left doesn't.
 *
 * Not thread-safe; the caller passes the time.
 */
class UpstreamLifecycle
{
public:
    /** Number of reports by which a process is known to keep reporting. A restarted node seldom receives more than one late report. */
    static constexpr int ConfirmingReports = 3;
    /** The same for a node that finds no entry of an earlier process in the store. */
    static constexpr int ConfirmingReportsOfNewNode = 2;
    /** Least time that the reports take which confirm a process. Reports that were delayed together arrive together. */
    static constexpr std::chrono::milliseconds ConfirmationTime{ 100 };

    /** @param announceInterval time between the reports of an upstream if they are acknowledged */
    explicit UpstreamLifecycle(Duration announceInterval)
        : m_repetitionTime(announceInterval * 2 / 3)
    {
    }

    /** Applies a report. The departure of a draining process is recorded even if the report has no other effect. */
    ReportEffect apply(const UpstreamReport &report, TimePoint now);
    /**
     * Records the departure of the process that deregisters, and of earlier ones under its id. A message without a start time is taken to
     * be from the known process of that id; if none is known, it applies to all that started before @p receivedAt, by the clock of this VM.
     */
    void deregister(const Deregistration &message, WallTime receivedAt);
    /** Records that the running process leaves, by its own responses. */
    void recordLeaving();
    /** Adds departures that an earlier process of this node recorded; there may be others. */
    void merge(const UpstreamDepartures &departures);
    /** Adds all departures that earlier processes of this node recorded, as the store or another node has kept them. */
    void recall(const UpstreamDepartures &departures);

    /**
     * Records that the store has no entry of an earlier process of this node. There may have been one nevertheless, if it couldn't write
     * its entry or if the store came back from an older copy.
     */
    void expectNoEarlierProcess()
    {
        m_confirmingReports = ConfirmingReportsOfNewNode;
    }

    /** Records that the store's entry of this node has these departures. */
    void setWritten(const UpstreamDepartures &departures)
    {
        m_written = departures;
    }

    /** Records the departures that another node keeps. */
    void setKept(const NodeName &peer, const UpstreamDepartures &departures);
    /** Must be called when the connection of that node is lost, because its process may have ended. */
    void forgetPeer(const NodeName &peer);

    /** True if the store has all departures. */
    bool isWritten() const
    {
        return m_written.includes(m_departures);
    }

    /**
     * True if all departures outlive this process: the store has them, or more than half of the other nodes keep them.
     * @param peers number of the other nodes that are known
     */
    bool isKept(std::size_t peers) const;

    /** True once all that earlier processes of this node recorded is known. */
    bool isRecalled() const
    {
        return m_recalled;
    }

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

    /**
     * True once a process of the upstream is known to keep reporting. Those that report for the first time later were started after this
     * process of the node, which knows of their departures itself, so their first reports are relied on.
     */
    bool isConfirmed() const
    {
        return m_confirmed;
    }

    /** True if a process reports that isn't confirmed yet and isn't known to have left. */
    bool needsFurtherReports() const
    {
        return !m_confirmed && hasRunningProcess();
    }

    /** True if the running process is known and hasn't left, as far as this node has ever acknowledged. */
    bool isUsable() const
    {
        return m_recalled && m_confirmed && hasRunningProcess();
    }

    /** As isUsable(), but by what this process of the node has heard so far. */
    bool hasRunningProcess() const
    {
        return m_known && !m_departures.covers(m_lastReport.id, m_lastReport.startedAt);
    }

    const UpstreamDepartures &departures() const
    {
        return m_departures;
    }

private:
    /**
     * A report within this time of the one before also confirms its process: a running upstream soon repeats a report that isn't
     * acknowledged, while late ones were sent at its announce interval. A third of that is left for differences in their delays.
     */
    Duration m_repetitionTime;
    bool m_known = false;
    bool m_recalled = false;
    bool m_confirmed = false;
    /** Times of the first and the last report of the known process, and number of its reports. */
    TimePoint m_firstReportAt{};
    TimePoint m_lastReportAt{};
    int m_reports = 0;
    /** Number of reports that confirm a process. */
    int m_confirmingReports = ConfirmingReports;
    UpstreamReport m_lastReport;
    UpstreamDepartures m_departures;
    UpstreamDepartures m_written;
    std::map<NodeName, UpstreamDepartures> m_keptByPeers;
};

} // namespace Pimentohollow
