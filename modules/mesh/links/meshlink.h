#pragma once

#include "core/backoff.h"
#include "mesh/links/meshconnection.h"

#include <unordered_map>

namespace Pimentohollow
{

/**
 * This node's way to another node: dials it, redials when the connection fails or falls silent, and carries calls to its upstream.
 *
 * A node of the own data centre sends statuses all the time, so that its silence shows that the link is dead. One of another data centre
 * sends nothing but replies: it counts as alive while the digests of its data centre list it, and the link is asked for an answer when a
 * call meets a quiet link.
 */
class MeshLink : public std::enable_shared_from_this<MeshLink>
{
public:
    /**
     * A connection without a byte for this long, although one was due, is given up. In the own data centre the other side sends a status at
     * least twice in that time.
     */
    static constexpr std::chrono::seconds DeadSilence{ 2 };

    using ResultHandler = std::function<void(RunReply &&)>;

    struct Handlers {
        /** Status, rules and hello frames of the other node. */
        std::function<void(MeshLink &, MeshFrame &&)> frame;
        /** The connection was made or lost. */
        std::function<void(MeshLink &)> changed;
        /** The hello of this node, made anew for each connection. */
        std::function<HelloFrame()> hello;
    };

    /** @param ownDataCentre that of this node */
    MeshLink(EventLoop &loop, BufferBudget &held, DirectoryEntry entry, DataCentreName ownDataCentre, Handlers handlers);

    /** Starts to dial, and goes on until stop(). */
    void start();
    void stop();
    /** The other node was restarted, or another one took its address. */
    void setEntry(DirectoryEntry entry);

    /**
     * Sends a call; the id is for cancel(). The handler is called once, from the loop: with Unreachable if the call was not sent, and with
     * Broken if the connection is lost before the result.
     */
    std::uint64_t call(RunFrame frame, ResultHandler done);
    /** The result isn't wanted any more; the handler is not called. */
    void cancel(std::uint64_t call);
    void send(const MeshFrame &frame);
    /** Sends a frame that appendFrame() has encoded. */
    void sendEncoded(std::string_view bytes);
    /** Asks the other node for a byte if the link is quiet. */
    void probe();

    /** Connected, and the other node is alive. @param silence longest time without a byte from a node of the own data centre */
    bool isReachable(TimePoint now, Duration silence) const;

    /** The node is of the same data centre as this one. */
    bool isNear() const
    {
        return m_entry.dataCentre == m_ownDataCentre;
    }

    /** A digest of the other node's data centre lists it, with this load. */
    void vouch(const LoadReport &load);

    const DirectoryEntry &entry() const
    {
        return m_entry;
    }

    const LoadReport &load() const
    {
        return m_load;
    }

    /** When load() was reported. */
    TimePoint loadAt() const
    {
        return m_loadAt;
    }

    void setLoad(const LoadReport &load)
    {
        m_load = load;
        m_loadAt = m_loop.now();
        m_sentSinceLoad = 0;
    }

    /** The store answers the other node, by its last status. */
    bool followsStore() const
    {
        return m_followsStore;
    }

    /** The other node can speak for its data centre, by its last status. */
    bool isSettled() const
    {
        return m_settled;
    }

    void setDuties(bool followsStore, bool settled)
    {
        m_followsStore = followsStore;
        m_settled = settled;
    }

    std::uint32_t sentSinceLoad() const
    {
        return m_sentSinceLoad;
    }

    std::uint32_t pending() const
    {
        return static_cast<std::uint32_t>(m_pending.size());
    }

    /** When the connection was lost, or never made, since; nothing while it is open. */
    std::optional<TimePoint> downSince() const
    {
        return m_downSince;
    }

    /** Closes a connection that is silent for too long, and keeps a live one busy. Call it regularly. */
    void checkLiveness(TimePoint now);

private:
    void dial();
    void handleFrame(MeshFrame &&frame);
    void handleLost();
    void failPending(RunOutcome outcome);
    /** Since when an answer is missing that was asked for; nothing if none is. */
    std::optional<TimePoint> unansweredSince() const;

    EventLoop &m_loop;
    BufferBudget &m_held;
    DirectoryEntry m_entry;
    DataCentreName m_ownDataCentre;
    Handlers m_handlers;
    std::shared_ptr<MeshConnection> m_connection;
    bool m_stopped = false;
    bool m_dialling = false;
    Backoff m_backoff;
    std::optional<TimePoint> m_downSince;
    TimePoint m_askedAt{};
    /** When a digest last listed the node. */
    TimePoint m_vouchedAt{};
    std::uint64_t m_nextCall = 0;
    std::unordered_map<std::uint64_t, ResultHandler> m_pending;
    LoadReport m_load;
    TimePoint m_loadAt{};
    std::uint32_t m_sentSinceLoad = 0;
    bool m_followsStore = false;
    bool m_settled = false;
};

} // namespace Pimentohollow
