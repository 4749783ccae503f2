#pragma once

#include "async/net/asynclistener.h"
#include "mesh/callers/callersession.h"
#include "mesh/callers/entrypath.h"
#include "mesh/decisions/datacentreduties.h"
#include "mesh/model/fleetstore.h"
#include "mesh/node/peerdirectory.h"
#include "mesh/node/rulesfollower.h"
#include "mesh/node/statusexchange.h"
#include "mesh/upstream/upstreamrunner.h"

#include <map>
#include <memory>
#include <set>

namespace Pimentohollow
{

/**
 * One node of the mesh, on one event loop: the entry for the callers of its VM, the only way to the upstream beside it, and a peer of the
 * other nodes. The store tells it the rules and the other nodes; what changes quickly (load, leaving upstreams, demand) nodes tell each
 * other.
 */
class MeshNode
{
public:
    struct Environment {
        EventLoop &loop;
        MeshSettings settings;
        HeaderNames headers;
        FleetStore &store;
        MetricRegistry &metrics;
        /** The node has ended after shutDown(). */
        std::function<void()> ended;
    };

    explicit MeshNode(Environment environment);
    ~MeshNode();

    /** Opens the listeners and starts to follow the store. Errors: Unavailable if an address can't be bound. */
    Result<void> start();
    /** Stops taking new work, ends when the accepted work is done; at the latest within the grace of the settings. */
    void shutDown();

    /** Closes all listeners and connections at once, as the end of the process would; for tests. */
    void abandon();

    /** Nodes that answer now. */
    std::size_t reachablePeers() const;

    /** Nodes of the directory, this one included. */
    std::size_t knownNodes() const
    {
        return m_peers.nodes();
    }

    /** Rules are known, the way to other nodes is open, and the node isn't ending. */
    bool isReady() const;

    /** Bytes held for others: requests, answers and frames on their way. */
    std::size_t heldBytes() const
    {
        return m_held.reservedBytes();
    }

    /** What the upstream beside this node says; false if it is not of use. */
    bool announce(const UpstreamReport &announcement)
    {
        return m_runner.announce(announcement);
    }

    bool depart(const std::string &upstreamId);
    /**
     * Waits until the store has the end of an upstream, so that a process that is killed right after the acknowledgement doesn't forget it.
     * Not longer than a fixed time: while the store is away, the upstream must be able to leave all the same. False if it isn't written.
     */
    bool awaitDepartureWritten();

    void setShutdownGrace(Duration grace)
    {
        m_environment.settings.shutdownGrace = grace;
    }

    std::uint64_t rulesVersion() const
    {
        return m_rules.version();
    }

private:
    using Inbound = std::shared_ptr<MeshConnection>;

    /** The other end of a connection that another node made. */
    struct InboundPeer {
        /** Tickets of its calls. */
        std::map<std::uint64_t, std::uint64_t> calls;
        /** Nothing until it has sent its hello. */
        std::optional<DataCentreName> dataCentre;
    };

    DirectoryEntry ownEntry() const;
    std::vector<UpstreamWay> ways(const ServiceName &service) const;
    /** Time between the statuses, and between the digests, of a node. */
    Duration statusInterval() const;
    Duration suspectSilence() const;

    void registerGauges();
    DutyCandidate ownDuty() const;
    /** Nodes of the own data centre that are heard, for the division of duties. */
    std::vector<DutyCandidate> neighbours() const;
    bool followsStore() const;
    /** Sends the frame to the nodes of the own data centre, if this node is the first of those that follow the store. */
    void passOn(const MeshFrame &frame);
    /** This process has heard the others for long enough to know what was spent. */
    bool isSettled() const;
    /** Divides what the fleet may spend by the number of its nodes. */
    void shareBudgets();

    void acceptPeer(std::unique_ptr<AsyncSocket> socket);
    void handleInbound(const Inbound &connection, MeshFrame &&frame);
    void runForPeer(const Inbound &connection, RunFrame &&frame);
    void handleStatus(MeshLink &link, const StatusFrame &status);
    void handlePeerFrame(MeshLink &link, MeshFrame &&frame);
    StatusFrame makeStatus();
    /** @param everywhere to the nodes of other data centres as well */
    void sendStatus(bool everywhere);
    void sendFirstStatus(const Inbound &connection, const DataCentreName &dataCentre);
    void sendDigest();
    void handleDigest(DigestFrame &&digest);
    void upstreamChanged();

    void tick();
    void adjustTrees(TimePoint now);
    void finishShutDown();

    Environment m_environment;
    EventLoop &m_loop;
    Random m_random;
    std::uint64_t m_incarnation;
    CrashTracker m_crashes;
    BufferBudget m_held;
    AccountAllowance m_accounts;
    RepeatBudget m_repeats;
    TreeAdmission m_trees;
    StatusExchange m_exchange;
    UpstreamRunner m_runner;
    EntryPath m_entry;
    CallerSession::Environment m_callerEnvironment;
    AsyncListener m_callers;
    std::set<CallerSession *> m_sessions;
    AsyncListener m_peerListener;
    RulesFollower m_rules;
    PeerDirectory m_peers;

    /** Connections that other nodes made. */
    std::map<Inbound, InboundPeer> m_inbound;
    TimePoint m_startedAt;
    /** Known nodes of the own data centre, without this one. */
    std::size_t m_nearPeers = 0;
    TimePoint m_lastStatus{};
    TimePoint m_lastDigest{};
    std::uint64_t m_digests = 0;
    TimePoint m_lastAdjust{};
    bool m_closing = false;
    TimePoint m_closingSince{};
    std::size_t m_activeRequests = 0;
};

} // namespace Pimentohollow
