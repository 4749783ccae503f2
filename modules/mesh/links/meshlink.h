#pragma once

#include "core/backoff.h"
#include "mesh/decisions/upstreamnotices.h"
#include "mesh/links/meshconnection.h"

#include <unordered_map>

namespace Pimentohollow
{

/**
 * Client side of the connection to another node: connects, reconnects when the connection fails or stays silent, and carries calls to the
 * node's upstream.
 *
 * A node in the same data centre sends statuses continuously, so a silent connection is dead. A node in another data centre sends only
 * replies: it is considered alive while the digests of its data centre list it, and the link is probed when a call is sent on a link that
 * has been silent.
 */
class MeshLink : public std::enable_shared_from_this<MeshLink>
{
public:
    /**
     * A connection is closed if no byte arrives for this long although one was due. A peer in the same data centre sends a status at least
     * twice in this time.
     */
    static constexpr std::chrono::seconds SilenceTimeout{ 2 };

    using ResultHandler = std::function<void(RunReply &&)>;

    struct Handlers {
        /** Called for every received frame except replies to calls. */
        std::function<void(MeshLink &, MeshFrame &&)> frameReceived;
        /** Called when the connection is established or lost. */
        std::function<void(MeshLink &)> connectionChanged;
        /** Returns the hello frame of this node; called for each new connection. */
        std::function<HelloFrame()> makeHello;
    };

    /** @param ownDataCentre data centre of this node */
    MeshLink(EventLoop &loop, BufferBudget &bufferBudget, DirectoryEntry entry, DataCentreName ownDataCentre, Handlers handlers);

    /** Connects in the background and reconnects until stop(). */
    void start();
    void stop();
    /** Updates the directory entry: the peer was restarted, or another node took its address. Reconnects if the address differs. */
    void setEntry(DirectoryEntry entry);

    /**
     * Sends a call and returns its id for cancel(). The handler is called once, from the event loop: with Unreachable if the call was not
     * sent, and with Broken if the connection is lost before the reply.
     */
    std::uint64_t call(RunFrame frame, ResultHandler done);
    /** Cancels a call; its handler is not called. */
    void cancel(std::uint64_t callId);
    void send(const MeshFrame &frame);
    /** Sends a frame that appendFrame() has encoded. */
    void sendEncoded(std::string_view bytes);
    /** Sends a ping that requests a reply if the link has been silent and no earlier ping is unanswered. */
    void probe();

    /**
     * True if the link is connected and the peer is alive.
     * @param maximumSilence longest time without a byte from a peer in the same data centre
     */
    bool isReachable(TimePoint now, Duration maximumSilence) const;

    /** True if the peer is in the same data centre as this node. */
    bool isLocal() const
    {
        return m_entry.dataCentre == m_ownDataCentre;
    }

    /** Records that a digest of the peer's data centre lists the peer, with this load. */
    void confirmAlive(const LoadReport &load);

    const DirectoryEntry &entry() const
    {
        return m_entry;
    }

    const LoadReport &load() const
    {
        return m_load;
    }

    /** Time at which load() was reported. */
    TimePoint loadReportedAt() const
    {
        return m_loadReportedAt;
    }

    /** Applies a load that the peer itself has reported. */
    void setLoad(const LoadReport &load)
    {
        storeLoad(load);
        m_upstreamNotice.applyDirect(load.notice);
    }

    /** Keeps a notice of the peer's upstream that the peer itself has sent, and returns all that is kept. */
    const UpstreamNotice &keepNotice(const UpstreamNotice &notice)
    {
        m_upstreamNotice.applyDirect(notice);
        return m_upstreamNotice.notice();
    }

    /** What is kept of the peer's upstream. */
    const UpstreamNotice &keptNotice() const
    {
        return m_upstreamNotice.notice();
    }

    /** Keeps the departures in the store's entry of the peer. A connected peer that may not know them is told at once. */
    void keepStoredDepartures(const UpstreamDepartures &departures);

    /** True if the peer can reach the store, according to its last status. */
    bool watchesStore() const
    {
        return m_watchesStore;
    }

    /** True if the peer can represent its data centre, according to its last status. */
    bool hasWarmedUp() const
    {
        return m_warmedUp;
    }

    void setRoles(bool watchesStore, bool warmedUp)
    {
        m_watchesStore = watchesStore;
        m_warmedUp = warmedUp;
    }

    std::uint32_t callsSinceLoadReport() const
    {
        return m_callsSinceLoadReport;
    }

    std::uint32_t pendingCalls() const
    {
        return static_cast<std::uint32_t>(m_pendingCalls.size());
    }

    /** Time since which there is no connection; std::nullopt while connected. */
    std::optional<TimePoint> disconnectedSince() const
    {
        return m_disconnectedSince;
    }

    /** Closes a connection that stays silent for too long, and probes links to other data centres. Must be called regularly. */
    void checkLiveness(TimePoint now);

private:
    void storeLoad(const LoadReport &load);
    void connect();
    void handleFrame(MeshFrame &&frame);
    void handleDisconnected();
    void failPendingCalls(RunOutcome outcome);
    /** Time of the probe that is still unanswered; std::nullopt if there is none. */
    std::optional<TimePoint> unansweredProbeSince() const;

    EventLoop &m_loop;
    BufferBudget &m_bufferBudget;
    DirectoryEntry m_entry;
    DataCentreName m_ownDataCentre;
    Handlers m_handlers;
    std::shared_ptr<MeshConnection> m_connection;
    bool m_stopped = false;
    bool m_connecting = false;
    Backoff m_backoff;
    std::optional<TimePoint> m_disconnectedSince;
    TimePoint m_probedAt{};
    /** Time at which a digest last listed the peer. */
    TimePoint m_confirmedAt{};
    std::uint64_t m_lastCallId = 0;
    std::unordered_map<std::uint64_t, ResultHandler> m_pendingCalls;
    LoadReport m_load;
    RemoteNotice m_upstreamNotice;
    TimePoint m_loadReportedAt{};
    std::uint32_t m_callsSinceLoadReport = 0;
    bool m_watchesStore = false;
    bool m_warmedUp = false;
};

} // namespace Pimentohollow
