/**
 * @file
 * Public parts of the module node: assembly of the tasks of one node process.
 */
#pragma once

#include "core/systemclock.h"
#include "node/admin/adminhandler.h"
#include "node/chain/chainpipeline.h"
#include "node/pipeline/entrypipeline.h"
#include "node/settings/staticsources.h"
#include "node/upstream/announcehandler.h"
#include "peer/peer.h"

namespace Pimentohollow
{

/** One node process: its listeners, links and pipelines. */
class Node
{
public:
    explicit Node(LocalSettings settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Opens all listeners and logs their ports. */
    Result<void> start();

    /** Finishes all requests; false if some were left after the time limit of the settings. */
    bool shutDown();

private:
    Result<void> startPeerServer();
    Result<void>
    startListener(std::unique_ptr<CallerServer> &server, std::string_view name, ListenerOptions options, RequestHandler &handler);
    ListenerOptions loopbackOptions(const std::string &address) const;

    LocalSettings m_settings;
    SystemClock m_clock;
    MetricRegistry m_metrics;
    FrameCodec m_codec;
    Hello m_self;
    std::atomic<bool> m_ready{ false };
    StaticRoutes m_routes;
    StaticKeys m_keys;
    UnlimitedQuota m_quota;
    StaticUpstreams m_upstreams;
    AnnouncedUpstream m_upstream;
    RetryAfterSource m_retryAfter;
    AdmissionGate m_admission;
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
