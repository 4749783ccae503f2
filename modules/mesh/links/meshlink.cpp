#include "mesh/links/meshlink.h"

#include "core/logger.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

namespace
{

constexpr std::chrono::milliseconds ConnectTimeout(700);
constexpr std::chrono::milliseconds MinimumReconnectDelay(50);
/** Limits the time until a node that is available again is used. */
constexpr std::chrono::milliseconds MaximumReconnectDelay(800);
/** A link to another data centre that is silent for this long is probed when a call is sent on it. */
constexpr std::chrono::milliseconds ProbeAfterSilence(300);
/** Probe interval of unused links; long because in a fleet of thousands of nodes most links are unused. */
constexpr std::chrono::seconds IdleProbeInterval(10);
/** A node that leaves a probe unanswered for this long is avoided; equal to three status intervals in a small fleet. */
constexpr std::chrono::milliseconds ProbeTimeout(750);
/** A digest confirms a peer for this long. Digests arrive at least twice in this time, and it covers a change of relay. */
constexpr std::chrono::seconds ConfirmationTimeout(2);
/** The load in a digest may be up to two intervals old, so it doesn't replace a more recent one that came with a reply. */
constexpr std::chrono::milliseconds LoadReplacementAge(250);
const Logger Log("mesh");

} // namespace

MeshLink::MeshLink(EventLoop &loop, BufferBudget &bufferBudget, DirectoryEntry entry, DataCentreName ownDataCentre, Handlers handlers)
    : m_loop(loop)
    , m_bufferBudget(bufferBudget)
    , m_entry(std::move(entry))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_handlers(std::move(handlers))
    , m_backoff(MinimumReconnectDelay, MaximumReconnectDelay)
    , m_disconnectedSince(loop.now())
{
}

void MeshLink::start()
{
    if (m_stopped || m_connection || std::exchange(m_connecting, true)) {
        return;
    }
    m_loop.spawn([self = shared_from_this()] {
        self->connect();
    });
}

void MeshLink::stop()
{
    m_stopped = true;
    if (m_connection) {
        m_connection->close();
        m_connection.reset();
    }
    failPendingCalls(RunOutcome::Broken);
}

void MeshLink::setEntry(DirectoryEntry entry)
{
    const bool addressChanged = !(entry.peerAddress == m_entry.peerAddress);
    m_entry = std::move(entry);
    m_backoff.reset();
    if (addressChanged && m_connection) {
        m_connection->close();
        handleDisconnected();
    }
}

std::uint64_t MeshLink::call(RunFrame frame, ResultHandler done)
{
    const std::uint64_t id = ++m_lastCallId;
    if (!m_connection) {
        m_loop.post([done = std::move(done)] {
            done(replyWithoutResponse(RunOutcome::Unreachable));
        });
        return id;
    }
    frame.callId = id;
    m_pendingCalls.emplace(id, std::move(done));
    ++m_callsSinceLoadReport;
    m_connection->send(std::move(frame));
    if (!isLocal()) {
        probe();
    }
    return id;
}

void MeshLink::cancel(std::uint64_t callId)
{
    if (m_pendingCalls.erase(callId) != 0) {
        send(CancelFrame{ callId });
    }
}

void MeshLink::send(const MeshFrame &frame)
{
    if (m_connection) {
        m_connection->send(frame);
    }
}

void MeshLink::sendEncoded(std::string_view bytes)
{
    if (m_connection) {
        m_connection->sendEncoded(bytes);
    }
}

void MeshLink::probe()
{
    if (!m_connection || unansweredProbeSince() || m_loop.now() - m_connection->lastReceivedAt() < ProbeAfterSilence) {
        return;
    }
    m_probedAt = m_loop.now();
    m_connection->send(PingFrame{ true });
}

std::optional<TimePoint> MeshLink::unansweredProbeSince() const
{
    return m_connection && m_probedAt > m_connection->lastReceivedAt() ? std::optional(m_probedAt) : std::nullopt;
}

void MeshLink::confirmAlive(const LoadReport &load)
{
    m_confirmedAt = m_loop.now();
    m_upstreamNotice.applyRelayed(load.notice);
    if (m_connection && m_confirmedAt - m_loadReportedAt > LoadReplacementAge) {
        storeLoad(load);
    }
}

void MeshLink::keepStoredDepartures(const UpstreamDepartures &departures)
{
    if (m_upstreamNotice.applyStored(departures)) {
        send(UpstreamNoticeFrame{ m_upstreamNotice.notice(), false, {} });
    }
}

void MeshLink::storeLoad(const LoadReport &load)
{
    m_load = load;
    m_loadReportedAt = m_loop.now();
    m_callsSinceLoadReport = 0;
}

bool MeshLink::isReachable(TimePoint now, Duration maximumSilence) const
{
    if (!m_connection) {
        return false;
    }
    if (isLocal()) {
        return now - m_connection->lastReceivedAt() <= maximumSilence;
    }
    const auto unansweredSince = unansweredProbeSince();
    return now - std::max(m_confirmedAt, m_connection->lastReceivedAt()) <= ConfirmationTimeout
        && (!unansweredSince || now - *unansweredSince <= ProbeTimeout);
}

void MeshLink::checkLiveness(TimePoint now)
{
    if (!m_connection) {
        return;
    }
    const TimePoint lastReceived = m_connection->lastReceivedAt();
    const auto silentSince = isLocal() ? std::optional(lastReceived) : unansweredProbeSince();
    if (silentSince && now - *silentSince > SilenceTimeout) {
        Log.warning("peer_silent", { { "peer", m_entry.node.text() }, { "address", m_entry.peerAddress.text() } });
        m_connection->close();
        handleDisconnected();
        return;
    }
    if (!isLocal() && (!m_pendingCalls.empty() || now - lastReceived >= IdleProbeInterval)) {
        probe();
    }
}

void MeshLink::connect()
{
    while (!m_stopped) {
        auto socket = AsyncSocket::connect(m_loop, m_entry.peerAddress, m_loop.clock().now() + ConnectTimeout);
        if (m_stopped) {
            break;
        }
        if (socket) {
            const std::weak_ptr<MeshLink> weak = weak_from_this();
            m_connection = std::make_shared<MeshConnection>(std::move(*socket),
                                                            m_bufferBudget,
                                                            MeshConnection::Handlers{ [weak](MeshFrame &&frame) {
                                                                                         if (const auto self = weak.lock()) {
                                                                                             self->handleFrame(std::move(frame));
                                                                                         }
                                                                                     },
                                                                                      [weak] {
                                                                                          if (const auto self = weak.lock()) {
                                                                                              self->handleDisconnected();
                                                                                          }
                                                                                      } });
            m_connection->start();
            HelloFrame hello = m_handlers.makeHello();
            hello.receiverUpstream = m_upstreamNotice.notice();
            m_connection->send(std::move(hello));
            m_disconnectedSince.reset();
            m_backoff.reset();
            Log.info("peer_connected", { { "peer", m_entry.node.text() }, { "address", m_entry.peerAddress.text() } });
            m_handlers.connectionChanged(*this);
            break;
        }
        m_loop.sleepFor(m_backoff.next());
    }
    m_connecting = false;
}

void MeshLink::handleFrame(MeshFrame &&frame)
{
    if (auto *result = std::get_if<RunReplyFrame>(&frame)) {
        setLoad(result->load);
        const auto found = m_pendingCalls.find(result->callId);
        if (found != m_pendingCalls.end()) {
            const auto done = std::move(found->second);
            m_pendingCalls.erase(found);
            done(std::move(result->result));
        }
        return;
    }
    m_handlers.frameReceived(*this, std::move(frame));
}

void MeshLink::handleDisconnected()
{
    m_connection.reset();
    m_disconnectedSince = m_loop.now();
    m_load.accepting = false;
    Log.warning("peer_lost", { { "peer", m_entry.node.text() }, { "pending", std::to_string(m_pendingCalls.size()) } });
    failPendingCalls(RunOutcome::Broken);
    m_handlers.connectionChanged(*this);
    start();
}

void MeshLink::failPendingCalls(RunOutcome outcome)
{
    for (const auto &[id, done] : std::exchange(m_pendingCalls, {})) {
        done(replyWithoutResponse(outcome));
    }
}

} // namespace Pimentohollow
