/**
 * @file
 * Public parts of the module node: assembly of the listeners, links and pipelines of one node process.
 */
#pragma once

#include "core/systemclock.h"
#include "node/admin/adminhandler.h"
#include "node/chain/chainpipeline.h"
#include "node/fleet/fleetsources.h"
#include "node/nodeoptions.h"
#include "node/pipeline/entrypipeline.h"
#include "node/poison/poisonguard.h"
#include "node/routing/routedupstreams.h"
#include "node/settings/staticsources.h"
#include "node/upstream/announcehandler.h"
#include "peer/peer.h"

namespace Pimentohollow
{

/** One node process: its listeners, links and pipelines. */
class Node
{
public:
    Node(NodeOptions options, const NodeParts &parts);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Opens all listeners and logs their ports. The node isn't ready yet. */
    Result<void> start();

    /** Whether /readyz sends callers here. */
    void setReady(bool ready);

    /** Whether this node runs the calls of other nodes; they are refused as not run otherwise. */
    void setTakesCalls(bool takesCalls);
    bool takesCalls() const;

    /** Adds a call to the admin listener; before start(). */
    void addAdminCall(const std::string &method, const std::string &path, AdminHandler::Call call);

    /** Finishes all requests; false if some were left after the time limit of the options. */
    bool shutDown();

    int peerPort() const;
    const Clock &clock() const;
    MetricRegistry &metrics();
    PeerPool &peers();
    AnnouncedUpstream &upstream();
    AdmissionGate &admission();
    PoisonGuard &poison();

private:
    Result<void> startPeerServer();
    Result<void>
    startListener(std::unique_ptr<CallerServer> &server, std::string_view name, const ListenerOptions &options, RequestHandler &handler);
    ListenerOptions listenerOptions(const std::string &address, const std::optional<TlsFiles> &tls) const;
    void addGauges();

    NodeOptions m_options;
    ChangesHandler *m_changes;
    SystemClock m_clock;
    MetricRegistry m_metrics;
    FrameCodec m_codec;
    Hello m_self;
    std::atomic<bool> m_ready{ false };
    AnnouncedUpstream m_upstream;
    RetryAfterSource m_retryAfter;
    AdmissionGate m_admission;
    PoisonGuard m_poison;
    InFlightTable m_inFlight;
    PeerPool m_peers;
    ServingPipeline m_serving;
    Forwarder m_forwarder;
    EntryPipeline m_entry;
    ChainPipeline m_chain;
    AnnounceHandler m_announce;
    AdminHandler m_admin;
    DisconnectWatcher m_watcher;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<CallerServer> m_adminServer;
    std::unique_ptr<CallerServer> m_announceServer;
    std::unique_ptr<CallerServer> m_chainServer;
    std::unique_ptr<CallerServer> m_callerServer;
};

} // namespace Pimentohollow
