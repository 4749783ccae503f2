#pragma once

#include "async/net/asynclistener.h"
#include "mesh/callers/callersession.h"
#include "mesh/callers/entrypath.h"
#include "mesh/decisions/datacentreduties.h"
#include "mesh/model/fleetstore.h"
#include "mesh/node/peerdirectory.h"
#include "mesh/node/ruleswatcher.h"
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
        std::function<void()> onShutDownFinished;
    };

    explicit MeshNode(Environment environment);
    ~MeshNode();

    /** Opens the listeners and starts to follow the store. Errors: Unavailable if an address can't be bound. */
    Result<void> start();
    /** Stops taking new work, ends when the accepted work is done; at the deadline within the grace of the settings. */
    void shutDown();

    /** Closes all listeners and connections at once, as the end of the process would; for tests. */
    void closeAbruptly();

    /** Nodes that answer now. */
    std::size_t reachablePeerCount() const;

    /** Nodes of the directory, this one included. */
    std::size_t knownNodeCount() const
    {
        return m_peerDirectory.nodeCount();
    }

    /** Rules are known, the way to other nodes is open, and the node isn't ending. */
    bool isReady() const;

    /** Bytes held for others: requests, answers and frames on their way. */
    std::size_t bufferedBytes() const
    {
        return m_bufferBudget.held();
    }

    /** What the upstream beside this node says; false if it is not of use. */
    bool announce(const UpstreamReport &announcement)
    {
        return m_upstreamRunner.announce(announcement);
    }

    bool deregisterUpstream(const std::string &upstreamId);
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
        return m_rulesWatcher.version();
    }

private:
    using InboundConnection = std::shared_ptr<MeshConnection>;

    /** The other end of a connection that another node made. */
    struct InboundPeer {
        /** Tickets of its calls. */
        std::map<std::uint64_t, std::uint64_t> ticketsByCallId;
        /** Nothing until it has sent its hello. */
        std::optional<DataCentreName> dataCentre;
    };

    DirectoryEntry ownEntry() const;
    std::vector<UpstreamWay> upstreamOptions(const ServiceName &service) const;
    /** Time between the statuses, and between the digests, of a node. */
    Duration statusInterval() const;
    Duration suspectTimeout() const;

    void registerGauges();
    DutyCandidate ownRoleCandidate() const;
    /** Nodes of the own data centre that are heard, for the division of duties. */
    std::vector<DutyCandidate> localPeers() const;
    bool watchesStore() const;
    /** Sends the frame to the nodes of the own data centre, if this node is the first of those that follow the store. */
    void forwardToLocalPeers(const MeshFrame &frame);
    /** This process has heard the others for long enough to know what was spent. */
    bool hasWarmedUp() const;
    /** Divides what the fleet may spend by the number of its nodes. */
    void updateFleetSize();

    void acceptPeer(std::unique_ptr<AsyncSocket> socket);
    void handleInboundFrame(const InboundConnection &connection, MeshFrame &&frame);
    void submitPeerRequest(const InboundConnection &connection, RunFrame &&frame);
    void handleStatus(MeshLink &link, const StatusFrame &status);
    void handleLinkFrame(MeshLink &link, MeshFrame &&frame);
    StatusFrame makeStatus();
    /** @param toAllDataCentres to the nodes of other data centres as well */
    void sendStatus(bool toAllDataCentres);
    void sendInitialStatus(const InboundConnection &connection, const DataCentreName &dataCentre);
    void sendDigest();
    void handleDigest(DigestFrame &&digest);
    void handleUpstreamChange();

    void runPeriodicTasks();
    void adjustTreeAdmission(TimePoint now);
    void finishShutDown();

    Environment m_environment;
    EventLoop &m_loop;
    Random m_random;
    std::uint64_t m_incarnation;
    CrashTracker m_crashTracker;
    HeldBytes m_bufferBudget;
    AccountAllowance m_accountRateLimiter;
    RepeatBudget m_retryBudget;
    TreeAdmission m_treeAdmission;
    StatusExchange m_statusExchange;
    UpstreamRunner m_upstreamRunner;
    EntryPath m_entryPath;
    CallerSession::Environment m_callerEnvironment;
    AsyncListener m_callerListener;
    std::set<CallerSession *> m_callerSessions;
    AsyncListener m_peerListener;
    RulesWatcher m_rulesWatcher;
    PeerDirectory m_peerDirectory;

    /** Connections that other nodes made. */
    std::map<InboundConnection, InboundPeer> m_inboundPeers;
    TimePoint m_startedAt;
    /** Known nodes of the own data centre, without this one. */
    std::size_t m_localPeerCount = 0;
    TimePoint m_lastStatusAt{};
    TimePoint m_lastDigestAt{};
    std::uint64_t m_lastDigestSequence = 0;
    TimePoint m_lastAdjustAt{};
    bool m_shuttingDown = false;
    TimePoint m_shutDownStartedAt{};
    std::size_t m_activeRequests = 0;
};

} // namespace Pimentohollow
