#include "node/node.h"

#include "core/logger.h"

#include <fmt/format.h>
#include <thread>

namespace Pimentohollow
{

namespace
{

const Logger Log("node");

/** Room for the headers and the frame around a body of the accepted size. */
constexpr std::size_t FrameOverheadBytes = std::size_t{ 256 } * 1024;

UpstreamLimits upstreamLimits(const NodeOptions &options)
{
    UpstreamLimits limits;
    limits.maximumBodyBytes = options.limits.maximumBodyBytes;
    return limits;
}

AdmissionSettings admissionSettings(RetryAfterSource &retryAfter)
{
    AdmissionSettings settings;
    settings.retryAfter = [&retryAfter](double admittedShare) {
        return retryAfter.forOverload(admittedShare);
    };
    return settings;
}

PeerPoolOptions poolOptions(const Hello &self)
{
    PeerPoolOptions options;
    options.self = self;
    return options;
}

} // namespace

Node::Node(NodeOptions options, const NodeParts &parts)
    : m_options(std::move(options))
    , m_changes(parts.changes)
    , m_codec(m_options.fleetSecret, m_options.limits.maximumBodyBytes + FrameOverheadBytes)
    , m_self{ m_options.node, m_options.incarnation, {} }
    , m_upstream(m_clock, upstreamLimits(m_options))
    , m_retryAfter(m_self.incarnation)
    , m_admission(m_clock, admissionSettings(m_retryAfter))
    , m_poison(m_options.node, m_clock)
    , m_peers(m_codec, poolOptions(m_self))
    , m_serving(m_clock, m_upstream, m_admission, m_inFlight, m_poison, parts.claims, m_metrics)
    , m_forwarder(m_clock, m_options.node, parts.upstreams, m_peers, m_serving, m_metrics)
    , m_entry(m_clock, parts.routes, parts.keys, parts.quota, m_forwarder, m_retryAfter, m_metrics)
    , m_chain(m_clock, parts.routes, m_inFlight, m_entry, m_forwarder)
    , m_announce(m_upstream,
                 [this] {
                     m_admission.restart();
                 })
    , m_admin(m_metrics, [this] {
        return m_ready.load();
    })
{
}

Node::~Node() = default;

Result<void> Node::start()
{
    const ListenerAddresses &addresses = m_options.listeners;
    // The caller listener comes last, so that a request finds everything else in place.
    return startListener(m_adminServer, "admin", listenerOptions(addresses.admin, m_options.adminTls), m_admin)
        .and_then([&] {
            return startPeerServer();
        })
        .and_then([&] {
            return startListener(m_chainServer, "chain", listenerOptions(addresses.chain, std::nullopt), m_chain);
        })
        .and_then([&] {
            return startListener(m_announceServer, "announce", listenerOptions(addresses.announce, std::nullopt), m_announce);
        })
        .and_then([&] {
            return startListener(m_callerServer, "caller", listenerOptions(addresses.caller, m_options.callerTls), m_entry);
        })
        .map([this] {
            addGauges();
        });
}

void Node::setReady(bool ready)
{
    m_ready = ready;
}

void Node::setTakesCalls(bool takesCalls)
{
    m_serving.setTakesCalls(takesCalls);
}

bool Node::takesCalls() const
{
    return m_serving.takesCalls();
}

void Node::addAdminCall(const std::string &method, const std::string &path, AdminHandler::Call call)
{
    m_admin.add(method, path, std::move(call));
}

int Node::peerPort() const
{
    return m_peerServer->port();
}

const Clock &Node::clock() const
{
    return m_clock;
}

MetricRegistry &Node::metrics()
{
    return m_metrics;
}

PeerPool &Node::peers()
{
    return m_peers;
}

AnnouncedUpstream &Node::upstream()
{
    return m_upstream;
}

AdmissionGate &Node::admission()
{
    return m_admission;
}

PoisonGuard &Node::poison()
{
    return m_poison;
}

void Node::addGauges()
{
    m_metrics.gauge("pimentohollow_caller_connections", [this] {
        return static_cast<double>(m_callerServer->connectionCount());
    });
    m_metrics.gauge("pimentohollow_upstream_present", [this] {
        const auto upstream = m_upstream.current();
        return upstream && upstream->state != UpstreamState::Gone ? 1.0 : 0.0;
    });
}

bool Node::shutDown()
{
    Log.info("draining");
    m_ready = false;
    m_serving.beginDrain();
    m_peerServer->beginDrain();
    m_callerServer->beginDrain();
    // Connections that arrive before callers and peers know are still served.
    std::this_thread::sleep_for(m_options.drainGrace);
    const TimePoint deadline = m_clock.now() + m_options.drainTime;
    const bool callersDone = m_callerServer->finishDrain(deadline);
    const bool peersDone = m_peerServer->waitUntilIdle(deadline);
    const bool chainDone = m_chainServer->finishDrain(deadline);
    const bool complete = callersDone && peersDone && chainDone;
    Log.info("drained", { { "complete", complete ? "yes" : "no" } });
    return complete;
}

Result<void> Node::startPeerServer()
{
    PeerServerOptions options;
    options.address = m_options.listeners.peer;
    options.self = m_self;
    options.changes = m_changes;
    auto started = PeerServer::start(options, m_codec, m_serving, m_clock);
    if (!started) {
        return tl::unexpected(started.error());
    }
    m_peerServer = std::move(*started);
    Log.info("listening", { { "listener", "peer" }, { "port", fmt::format("{}", m_peerServer->port()) } });
    return {};
}

Result<void>
Node::startListener(std::unique_ptr<CallerServer> &server, std::string_view name, const ListenerOptions &options, RequestHandler &handler)
{
    auto started = CallerServer::start(options, handler, m_watcher);
    if (!started) {
        return tl::unexpected(started.error());
    }
    server = std::move(*started);
    Log.info("listening", { { "listener", std::string(name) }, { "port", fmt::format("{}", server->port()) } });
    return {};
}

ListenerOptions Node::listenerOptions(const std::string &address, const std::optional<TlsFiles> &tls) const
{
    ListenerOptions options;
    options.address = address;
    options.tls = tls;
    options.limits = m_options.limits;
    options.maximumConnections = m_options.maximumConnections;
    options.idleTimeout = m_options.idleTime;
    return options;
}

} // namespace Pimentohollow
