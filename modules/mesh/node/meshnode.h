#pragma once

#include "async/net/asynclistener.h"
#include "mesh/callers/callersession.h"
#include "mesh/callers/ingresshandler.h"
#include "mesh/decisions/datacentreroles.h"
#include "mesh/model/fleetstore.h"
#include "mesh/node/eracheckedstore.h"
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
 * One node of the mesh, running on one event loop. It accepts requests from the callers on its VM, is the only route to the upstream beside
 * it, and is a peer of the other nodes. Rules and the list of nodes come from the store; state that changes quickly (load, departing
 * upstreams, demand) is exchanged directly between nodes.
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
        /** Called when the shutdown started by shutDown() is complete. */
        std::function<void()> onShutDownFinished;
    };

    explicit MeshNode(Environment environment);
    ~MeshNode();

    /** Opens the listeners and starts watching the store. Errors: Unavailable if an address can't be bound. */
    Result<void> start();
    /** Stops accepting new work and ends when the accepted work is done, at the latest after the shutdown grace of the settings. */
    void shutDown();

    /** Closes all listeners and connections immediately, as a process exit would. For tests. */
    void closeAbruptly();

    /** Number of reachable nodes, excluding this one. */
    std::size_t reachablePeerCount() const;

    /** Number of known nodes, including this one. */
    std::size_t knownNodeCount() const
    {
        return m_peerDirectory.nodeCount();
    }

    /** True if rules are known, half of the peers are reachable or had time to connect, and the node isn't shutting down. */
    bool isReady() const;

    /** Bytes buffered for requests, responses and frames in transit. */
    std::size_t bufferedBytes() const
    {
        return m_bufferBudget.reservedBytes();
    }

    /** Handles a report of the upstream beside this node; returns false if the report is not applicable. */
    bool announce(const UpstreamReport &announcement)
    {
        return m_upstreamRunner.announce(announcement);
    }

    /** True if the upstream is used only after further reports. Those before must not be acknowledged, so that it reports again soon. */
    bool needsFurtherReports() const
    {
        return m_upstreamRunner.lifecycle().needsFurtherReports();
    }

    /** Records that an upstream has deregistered; true of any upstream id, also before the upstream has announced itself. */
    void deregisterUpstream(const Deregistration &message);
    /**
     * Waits until all departures of upstreams are kept outside this process: the store has them, written by this node or by one that
     * reaches the store, or most of the other nodes keep them while none can write them. Returns false if nobody does in the time that an
     * upstream waits for an acknowledgement. The departure binds later processes of this node all the same: they use an
     * upstream only once it keeps reporting, which one that has left doesn't.
     */
    bool awaitDeparturesKept();

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

    /** State of a connection opened by another node. */
    struct InboundPeer {
        /** Tickets of the peer's running calls, by call id. */
        std::map<std::uint64_t, std::uint64_t> ticketsByCallId;
        /** Neither is set until the peer has sent its hello frame. */
        std::optional<DataCentreName> dataCentre;
        NodeName node;
    };

    DirectoryEntry ownEntry() const;
    bool upstreamHasLeft() const;
    std::vector<UpstreamOption> upstreamOptions(const ServiceName &service) const;
    /** Interval between the statuses, and between the digests, of a node. */
    Duration statusInterval() const;
    /** Silence of a peer after which it counts as unreachable. */
    Duration suspectTimeout() const;

    void registerGauges();
    RoleCandidate ownRoleCandidate() const;
    /** Reachable nodes of the own data centre, for the assignment of roles. */
    std::vector<RoleCandidate> localPeers() const;
    bool watchesStore() const;
    /** Sends the frame to the nodes of the own data centre if this node is the first of those that watch the store. */
    void forwardToLocalPeers(const MeshFrame &frame);
    /** True if this process has received statuses for long enough to know the usage of the fleet, and isn't shutting down. */
    bool hasWarmedUp() const;
    /** Passes the current number of nodes and the status interval on to the decisions. */
    void updateFleetSize();

    void acceptPeer(std::unique_ptr<AsyncSocket> socket);
    void handleInboundFrame(const InboundConnection &connection, MeshFrame &&frame);
    void submitPeerRequest(const InboundConnection &connection, RunFrame &&frame);
    void handleStatus(MeshLink &link, const StatusFrame &status);
    void handleLinkFrame(MeshLink &link, MeshFrame &&frame);
    StatusFrame makeStatus();
    /** @param toAllDataCentres true to send a summary to the nodes of other data centres as well */
    void sendStatus(bool toAllDataCentres);
    void handleHello(const InboundConnection &connection, const HelloFrame &hello);
    void sendInitialStatus(const InboundConnection &connection, const DataCentreName &dataCentre);
    /** Asks all connected nodes to keep what this node must not lose in a restart, and those that watch the store to write it there. */
    void askPeersToKeepNotice();
    /** Applies the answer, or what a node has learned from the store. */
    void applyKeptNotice(const NodeName &peer, const UpstreamNoticeFrame &kept);
    /** Adds the departures that are kept for a peer to its entry in the store, if this node watches the store, and tells the peer. */
    void storeDeparturesOf(MeshLink &peer);
    /** True if another node says that it reaches the store. */
    bool peerReachesStore() const;
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
    BufferBudget m_bufferBudget;
    AccountRateLimiter m_accountRateLimiter;
    ServiceRetryBudget m_retryBudget;
    CallTreeAdmission m_treeAdmission;
    StatusExchange m_statusExchange;
    ShutdownPlan m_shutdownPlan;
    UpstreamRunner m_upstreamRunner;
    IngressHandler m_ingressHandler;
    CallerSession::Environment m_callerEnvironment;
    AsyncListener m_callerListener;
    std::set<CallerSession *> m_callerSessions;
    AsyncListener m_peerListener;
    EraCheckedStore m_store;
    RulesWatcher m_rulesWatcher;
    PeerDirectory m_peerDirectory;

    /** Connections opened by other nodes. */
    std::map<InboundConnection, InboundPeer> m_inboundPeers;
    TimePoint m_startedAt;
    /** Keys of the peers whose departures are being added to their entries. */
    std::set<std::string> m_storingDeparturesOf;
    /** Time at which a departure was last to be written to the store. */
    TimePoint m_publishRequestedAt{};
    /** Number of known nodes of the own data centre, excluding this one. */
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
