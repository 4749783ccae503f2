#include "node/node.h"

#include "core/logger.h"

#include <fmt/format.h>
#include <random>
#include <thread>

namespace Pimentohollow
{

namespace
{

const Logger Log("node");

/** Room for the headers and the frame around a body of the accepted size. */
constexpr std::size_t FrameOverheadBytes = 256 * 1024;

std::uint64_t randomIncarnation()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

UpstreamLimits upstreamLimits(const LocalSettings &settings)
{
    UpstreamLimits limits;
    limits.maximumBodyBytes = settings.limits.maximumBodyBytes;
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

Node::Node(LocalSettings settings)
    : m_settings(std::move(settings))
    , m_codec(m_settings.fleetSecret, m_settings.limits.maximumBodyBytes + FrameOverheadBytes)
    , m_self{ m_settings.node, randomIncarnation(), {} }
    , m_routes(m_settings.routes)
    , m_keys(m_settings.accountsByKey)
    , m_upstreams(m_settings.upstreams)
    , m_upstream(m_clock, upstreamLimits(m_settings))
    , m_retryAfter(m_self.incarnation)
    , m_admission(m_clock, admissionSettings(m_retryAfter))
    , m_peers(m_codec, poolOptions(m_self))
    , m_serving(m_clock, m_upstream, m_admission, m_inFlight, nullptr, m_metrics)
    , m_forwarder(m_clock, m_settings.node, m_upstreams, m_peers, m_serving, m_metrics)
    , m_entry(m_clock, m_routes, m_keys, m_quota, m_forwarder, m_retryAfter, m_metrics)
    , m_chain(m_clock, m_routes, m_inFlight, m_entry, m_forwarder)
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
    ListenerOptions caller = loopbackOptions(m_settings.listeners.caller);
    caller.tls = m_settings.tls;
    ListenerOptions admin = loopbackOptions(m_settings.listeners.admin);
    admin.tls = m_settings.tls;
    const ListenerOptions chain = loopbackOptions(m_settings.listeners.chain);
    const ListenerOptions announce = loopbackOptions(m_settings.listeners.announce);
    // The caller listener comes last, so that a request finds everything else in place.
    return startListener(m_adminServer, "admin", admin, m_admin)
        .and_then([&] {
            return startPeerServer();
        })
        .and_then([&] {
            return startListener(m_chainServer, "chain", chain, m_chain);
        })
        .and_then([&] {
            return startListener(m_announceServer, "announce", announce, m_announce);
        })
        .and_then([&] {
            return startListener(m_callerServer, "caller", caller, m_entry);
        })
        .map([this] {
            m_metrics.gauge("pimentohollow_caller_connections", [this] {
                return static_cast<double>(m_callerServer->connectionCount());
            });
            m_metrics.gauge("pimentohollow_upstream_present", [this] {
                const auto upstream = m_upstream.current();
                return upstream && upstream->state != UpstreamState::Gone ? 1.0 : 0.0;
            });
            m_ready = true;
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
    std::this_thread::sleep_for(m_settings.drainGrace);
    const TimePoint deadline = m_clock.now() + m_settings.drainTime;
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
    options.address = m_settings.listeners.peer;
    options.self = m_self;
    auto started = PeerServer::start(options, m_codec, m_serving, m_clock);
    if (!started) {
        return tl::unexpected(started.error());
    }
    m_peerServer = std::move(*started);
    Log.info("listening", { { "listener", "peer" }, { "port", fmt::format("{}", m_peerServer->port()) } });
    return {};
}

Result<void>
Node::startListener(std::unique_ptr<CallerServer> &server, std::string_view name, ListenerOptions options, RequestHandler &handler)
{
    auto started = CallerServer::start(options, handler, m_watcher);
    if (!started) {
        return tl::unexpected(started.error());
    }
    server = std::move(*started);
    Log.info("listening", { { "listener", std::string(name) }, { "port", fmt::format("{}", server->port()) } });
    return {};
}

ListenerOptions Node::loopbackOptions(const std::string &address) const
{
    ListenerOptions options;
    options.address = address;
    options.limits = m_settings.limits;
    return options;
}

} // namespace Pimentohollow
