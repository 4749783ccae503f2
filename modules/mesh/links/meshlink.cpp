#include "mesh/links/meshlink.h"

#include "core/logger.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

namespace
{

constexpr std::chrono::milliseconds ConnectTime(700);
constexpr std::chrono::milliseconds ShortestPause(50);
/** Bounds the time until a node that has come back is used again. */
constexpr std::chrono::milliseconds LongestPause(800);
/** A link to another data centre without a byte for this long is asked for an answer before a call relies on it. */
constexpr std::chrono::milliseconds QuietTime(300);
/** An unused link is asked this seldom: in a fleet of thousands most links are unused. */
constexpr std::chrono::seconds IdleProbeInterval(10);
/** A node that doesn't answer for this long is avoided; as long as three statuses of a small fleet. */
constexpr std::chrono::milliseconds AnswerTime(750);
/** Digests come at least twice in this time; it outlasts the change of a relay. */
constexpr std::chrono::seconds VouchTime(2);
/** The load of a digest was true up to two intervals ago; one that came with a reply since then is better. */
constexpr std::chrono::milliseconds LoadFreshTime(250);
const Logger Log("mesh");

} // namespace

MeshLink::MeshLink(EventLoop &loop, BufferBudget &held, DirectoryEntry entry, DataCentreName ownDataCentre, Handlers handlers)
    : m_loop(loop)
    , m_held(held)
    , m_entry(std::move(entry))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_handlers(std::move(handlers))
    , m_backoff(ShortestPause, LongestPause)
    , m_downSince(loop.now())
{
}

void MeshLink::start()
{
    if (m_stopped || m_connection || std::exchange(m_dialling, true)) {
        return;
    }
    m_loop.spawn([self = shared_from_this()] {
        self->dial();
    });
}

void MeshLink::stop()
{
    m_stopped = true;
    if (m_connection) {
        m_connection->close();
        m_connection.reset();
    }
    failPending(RunOutcome::Broken);
}

void MeshLink::setEntry(DirectoryEntry entry)
{
    const bool moved = !(entry.peerAddress == m_entry.peerAddress);
    m_entry = std::move(entry);
    m_backoff.reset();
    if (moved && m_connection) {
        m_connection->close();
        handleLost();
    }
}

std::uint64_t MeshLink::call(RunFrame frame, ResultHandler done)
{
    const std::uint64_t id = ++m_nextCall;
    if (!m_connection) {
        m_loop.post([done = std::move(done)] {
            done(withoutAnswer(RunOutcome::Unreachable));
        });
        return id;
    }
    frame.call = id;
    m_pending.emplace(id, std::move(done));
    ++m_sentSinceLoad;
    m_connection->send(std::move(frame));
    if (!isNear()) {
        probe();
    }
    return id;
}

void MeshLink::cancel(std::uint64_t call)
{
    if (m_pending.erase(call) != 0) {
        send(CancelFrame{ call });
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
    if (!m_connection || unansweredSince() || m_loop.now() - m_connection->lastReceived() < QuietTime) {
        return;
    }
    m_askedAt = m_loop.now();
    m_connection->send(PingFrame{ true });
}

std::optional<TimePoint> MeshLink::unansweredSince() const
{
    return m_connection && m_askedAt > m_connection->lastReceived() ? std::optional(m_askedAt) : std::nullopt;
}

void MeshLink::vouch(const LoadReport &load)
{
    m_vouchedAt = m_loop.now();
    if (m_connection && m_vouchedAt - m_loadAt > LoadFreshTime) {
        setLoad(load);
    }
}

bool MeshLink::isReachable(TimePoint now, Duration silence) const
{
    if (!m_connection) {
        return false;
    }
    if (isNear()) {
        return now - m_connection->lastReceived() <= silence;
    }
    const auto unanswered = unansweredSince();
    return now - std::max(m_vouchedAt, m_connection->lastReceived()) <= VouchTime && (!unanswered || now - *unanswered <= AnswerTime);
}

void MeshLink::checkLiveness(TimePoint now)
{
    if (!m_connection) {
        return;
    }
    const TimePoint lastReceived = m_connection->lastReceived();
    const auto silentSince = isNear() ? std::optional(lastReceived) : unansweredSince();
    if (silentSince && now - *silentSince > DeadSilence) {
        Log.warning("peer_silent", { { "peer", m_entry.node.text() }, { "address", m_entry.peerAddress.text() } });
        m_connection->close();
        handleLost();
        return;
    }
    if (!isNear() && (!m_pending.empty() || now - lastReceived >= IdleProbeInterval)) {
        probe();
    }
}

void MeshLink::dial()
{
    while (!m_stopped) {
        auto socket = AsyncSocket::connect(m_loop, m_entry.peerAddress, m_loop.clock().now() + ConnectTime);
        if (m_stopped) {
            break;
        }
        if (socket) {
            const std::weak_ptr<MeshLink> weak = weak_from_this();
            m_connection = std::make_shared<MeshConnection>(std::move(*socket),
                                                            m_held,
                                                            MeshConnection::Handlers{ [weak](MeshFrame &&frame) {
                                                                                         if (const auto self = weak.lock()) {
                                                                                             self->handleFrame(std::move(frame));
                                                                                         }
                                                                                     },
                                                                                      [weak] {
                                                                                          if (const auto self = weak.lock()) {
                                                                                              self->handleLost();
                                                                                          }
                                                                                      } });
            m_connection->start();
            m_connection->send(m_handlers.hello());
            m_downSince.reset();
            m_backoff.reset();
            Log.info("peer_connected", { { "peer", m_entry.node.text() }, { "address", m_entry.peerAddress.text() } });
            m_handlers.changed(*this);
            break;
        }
        m_loop.sleepFor(m_backoff.next());
    }
    m_dialling = false;
}

void MeshLink::handleFrame(MeshFrame &&frame)
{
    if (auto *result = std::get_if<RunReplyFrame>(&frame)) {
        setLoad(result->load);
        const auto found = m_pending.find(result->call);
        if (found != m_pending.end()) {
            const auto done = std::move(found->second);
            m_pending.erase(found);
            done(std::move(result->result));
        }
        return;
    }
    m_handlers.frame(*this, std::move(frame));
}

void MeshLink::handleLost()
{
    m_connection.reset();
    m_downSince = m_loop.now();
    m_load.accepting = false;
    Log.warning("peer_lost", { { "peer", m_entry.node.text() }, { "pending", std::to_string(m_pending.size()) } });
    failPending(RunOutcome::Broken);
    m_handlers.changed(*this);
    start();
}

void MeshLink::failPending(RunOutcome outcome)
{
    for (const auto &[id, done] : std::exchange(m_pending, {})) {
        done(withoutAnswer(outcome));
    }
}

} // namespace Pimentohollow
