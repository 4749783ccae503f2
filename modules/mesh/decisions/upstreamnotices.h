#pragma once

#include "core/clock.h"
#include "mesh/model/upstreamnotice.h"

#include <map>

namespace Pimentohollow
{

/**
 * The limit that an upstream names in its responses, as the node beside it knows it.
 *
 * All requests to the upstream pass through this node, so its own observations are authoritative. They are lost when its process restarts.
 * Each node that uses the upstream therefore keeps the last notice that it received (RemoteNotice) and sends it before its first request
 * on a new connection, so that no request of a node outruns what this node was told. Not thread-safe; the caller passes the time.
 */
class UpstreamNotices
{
public:
    /** Starts a new incarnation of the upstream; only what other nodes reported of this incarnation still applies. */
    void setIncarnation(const std::string &incarnation);

    /**
     * Records a response to a request of the current incarnation. A limit ends with the first response without one to a request that was
     * sent after the limit was last named; responses to earlier requests may have been written before.
     * @param sentAt time at which the request was sent
     */
    void recordResponse(const ResponseNotice &response, TimePoint sentAt, TimePoint now);

    /**
     * Applies the limit that another node keeps of the upstream, possibly before its incarnation has announced itself, and only until
     * the first response to this process; the lowest reported one applies, because the reports may be of different age.
     */
    void applyReport(const UpstreamNotice &report);

    /** Limit of the current incarnation; nothing if it names none. */
    std::optional<double> requestsPerSecond() const;

    /** The limit to report to other nodes, without departures; before the upstream has announced itself, what others reported. */
    UpstreamNotice notice() const;

private:
    std::string m_incarnation;
    UpstreamNotice m_current;
    bool m_responded = false;
    TimePoint m_limitNamedAt{};
    /** Reports of incarnations that haven't announced themselves, by incarnation. */
    std::map<std::string, UpstreamNotice> m_reports;
};

/** The notice of another node's upstream that this node keeps, to report it to that node after a restart. */
class RemoteNotice
{
public:
    /** Applies the notice in a frame that came from the node itself. A restarted node may not know yet of earlier departures. */
    void applyDirect(const UpstreamNotice &notice);
    /** Applies the notice in a digest, which may be older than the last direct one; its limit is used only if it names one. */
    void applyRelayed(const UpstreamNotice &notice);
    /** Adds the departures in the store's entry of the node. Returns true if the notice says more than before. */
    bool applyStored(const UpstreamDepartures &departures);

    const UpstreamNotice &notice() const
    {
        return m_notice;
    }

private:
    void mergeDepartures(const UpstreamNotice &notice);

    UpstreamNotice m_notice;
};

} // namespace Pimentohollow
