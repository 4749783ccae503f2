#include "peer/link/peerlink.h"

#include "core/logger.h"

namespace Pimentohollow
{

namespace
{

const Logger Log("peer.link");

} // namespace

PeerLink::PeerLink(std::unique_ptr<MessageChannel> channel, const LinkTimings &timings)
    : m_channel(std::move(channel))
    , m_timings(timings)
    , m_reader([this] {
        receiveLoop();
    })
{
}

PeerLink::~PeerLink()
{
    m_channel->close();
    m_reader.join();
}

tl::expected<CallResponse, CallFailure> PeerLink::call(CallRequest request, TimePoint deadline, Cancellation &cancellation)
{
    request.callId = m_nextCallId++;
    const std::uint64_t callId = request.callId;
    auto reply = run(callId, std::move(request), deadline, cancellation);
    if (!reply && (reply.error() == CallFailure::TimedOut || reply.error() == CallFailure::Cancelled)) {
        // A failure doesn't matter: the serving node knows the deadline itself.
        m_channel->send(CancelCall{ callId });
    }
    return reply;
}

tl::expected<CallResponse, CallFailure> PeerLink::askOutcome(OutcomeRequest request, TimePoint deadline, Cancellation &cancellation)
{
    request.callId = m_nextCallId++;
    const std::uint64_t callId = request.callId;
    return run(callId, std::move(request), deadline, cancellation);
}

bool PeerLink::usable() const
{
    const std::lock_guard lock(m_mutex);
    return !m_goingAway && !m_broken;
}

std::size_t PeerLink::pendingCalls() const
{
    const std::lock_guard lock(m_mutex);
    return m_pending.size();
}

std::uint64_t PeerLink::peerIncarnation() const
{
    return m_channel->peerHello().incarnation;
}

const std::string &PeerLink::nonce() const
{
    return m_channel->ownHello().nonce;
}

std::uint64_t PeerLink::droppedAnswers() const
{
    return m_droppedAnswers;
}

std::shared_ptr<PeerLink::ReplyMailbox> PeerLink::enlist(std::uint64_t callId)
{
    const std::lock_guard lock(m_mutex);
    if (m_broken) {
        return nullptr;
    }
    // Holds the answer and a cancellation, whichever comes first.
    auto mailbox = std::make_shared<ReplyMailbox>(2);
    m_pending.emplace(callId, mailbox);
    return mailbox;
}

void PeerLink::remove(std::uint64_t callId)
{
    const std::lock_guard lock(m_mutex);
    m_pending.erase(callId);
}

PeerLink::Reply PeerLink::run(std::uint64_t callId, const PeerMessage &message, TimePoint deadline, Cancellation &cancellation)
{
    const auto mailbox = enlist(callId);
    if (!mailbox) {
        return tl::unexpected(CallFailure::NotSent);
    }
    if (!m_channel->send(message)) {
        remove(callId);
        return tl::unexpected(CallFailure::NotSent);
    }
    const auto subscription = cancellation.onCancel([&mailbox] {
        mailbox->post(tl::unexpected(CallFailure::Cancelled));
    });
    auto reply = mailbox->take(deadline);
    remove(callId);
    return reply ? std::move(*reply) : tl::unexpected(CallFailure::TimedOut);
}

void PeerLink::receiveLoop()
{
    int silent = 0;
    std::uint64_t heartbeats = 0;
    while (true) {
        const auto message = m_channel->receive(std::chrono::steady_clock::now() + m_timings.heartbeatInterval);
        if (message) {
            silent = 0;
            receive(*message);
            continue;
        }
        if (message.error().kind != ErrorKind::Timeout) {
            Log.info("link_closed", { { "reason", message.error().describe() } });
            break;
        }
        if (++silent >= m_timings.silentIntervals) {
            Log.warning("link_silent", { { "peer", m_channel->peer() } });
            break;
        }
        // Not sent while a call thread is sending: waiting here for a stuck connection would hide its silence.
        m_channel->trySend(Heartbeat{ ++heartbeats });
    }
    breakLink();
}

void PeerLink::receive(const PeerMessage &message)
{
    if (const auto *response = std::get_if<CallResponse>(&message)) {
        deliver(*response);
    } else if (std::holds_alternative<GoAway>(message)) {
        const std::lock_guard lock(m_mutex);
        m_goingAway = true;
    }
}

void PeerLink::deliver(const CallResponse &response)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_pending.find(response.callId);
    if (it == m_pending.end()) {
        ++m_droppedAnswers;
        return;
    }
    it->second->post(response);
    m_pending.erase(it);
}

void PeerLink::breakLink()
{
    m_channel->close();
    const std::lock_guard lock(m_mutex);
    m_broken = true;
    for (const auto &[id, mailbox] : m_pending) {
        mailbox->post(tl::unexpected(CallFailure::Interrupted));
    }
    m_pending.clear();
}

} // namespace Pimentohollow
