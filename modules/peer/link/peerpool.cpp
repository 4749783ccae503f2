#include "peer/link/peerpool.h"

#include "core/logger.h"
#include "peer/channel/tcpframechannel.h"

#include <algorithm>
#include <Poco/Exception.h>

namespace Pimentohollow
{

namespace
{

const Logger Log("peer.pool");

Poco::Timespan timespan(Duration duration)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return { std::max<std::int64_t>(micros, 1) };
}

/** The answer to a call that got none. Its retries count as spent if the chain below may have used them. */
CallResponse refused(const CallRequest &request, RefusalReason reason, RunState ran, std::string detail)
{
    const std::uint32_t retriesLeft = ran == RunState::NotRun ? request.retriesLeft : 0;
    return { request.callId, Refusal{ reason, ran, {}, std::move(detail) }, retriesLeft, std::nullopt };
}

CallResponse refusedFor(const CallRequest &request, CallFailure cause)
{
    switch (cause) {
    case CallFailure::NotSent:
        return refused(request, RefusalReason::NoUpstream, RunState::NotRun, "no connection to the serving node");
    case CallFailure::Interrupted:
        return refused(request, RefusalReason::OutcomeLost, RunState::Unknown, "the serving node didn't report the outcome");
    case CallFailure::TimedOut:
        return refused(request, RefusalReason::DeadlineExceeded, RunState::Unknown, "no answer from the serving node in time");
    case CallFailure::Cancelled:
        break;
    }
    return refused(request, RefusalReason::DeadlineExceeded, RunState::Unknown, "the caller is gone");
}

} // namespace

PeerPool::PeerPool(const FrameCodec &codec, PeerPoolOptions options)
    : m_codec(codec)
    , m_options(std::move(options))
{
}

PeerPool::~PeerPool() = default;

CallResponse PeerPool::call(const std::string &address, const CallRequest &request, TimePoint deadline, Cancellation &cancellation)
{
    const LinkPtr link = pick(address, deadline);
    if (!link) {
        return refusedFor(request, CallFailure::NotSent);
    }
    const TimePoint sent = std::chrono::steady_clock::now();
    auto reply = link->call(request, deadline, cancellation);
    if (reply) {
        return std::move(*reply);
    }
    if (reply.error() == CallFailure::Interrupted) {
        return resolve(address, request, *link, sent, deadline, cancellation);
    }
    return refusedFor(request, reply.error());
}

std::shared_ptr<PeerPool::Peer> PeerPool::peerAt(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &peer = m_peers[address];
    if (!peer) {
        peer = std::make_shared<Peer>();
    }
    return peer;
}

PeerPool::LinkPtr PeerPool::pick(const std::string &address, TimePoint deadline)
{
    const auto peer = peerAt(address);
    std::vector<LinkPtr> unusable; // destroyed after the lock is released, because that joins threads
    const std::lock_guard lock(peer->mutex);
    const auto firstUnusable = std::partition(peer->links.begin(), peer->links.end(), [](const LinkPtr &it) {
        return it->usable();
    });
    unusable.assign(firstUnusable, peer->links.end());
    peer->links.erase(firstUnusable, peer->links.end());
    if (peer->links.size() < m_options.linksPerPeer && std::chrono::steady_clock::now() >= peer->pausedUntil) {
        if (auto link = open(address, deadline)) {
            peer->links.push_back(std::move(link));
        } else {
            peer->pausedUntil = std::chrono::steady_clock::now() + m_options.reconnectPause;
        }
    }
    return peer->links.empty() ? nullptr : peer->links[peer->next++ % peer->links.size()];
}

PeerPool::LinkPtr PeerPool::open(const std::string &address, TimePoint deadline)
{
    const TimePoint limit = std::min(deadline, std::chrono::steady_clock::now() + m_options.connectTime);
    auto channel = connect(address, limit);
    if (!channel) {
        Log.warning("connect_failed", { { "reason", channel.error().describe() } });
        return nullptr;
    }
    return std::make_shared<PeerLink>(std::move(*channel), m_options.timings);
}

Result<std::unique_ptr<MessageChannel>> PeerPool::connect(const std::string &address, TimePoint deadline) const
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), timespan(deadline - std::chrono::steady_clock::now()));
        auto frames = std::make_unique<TcpFrameChannel>(socket, m_codec, m_options.sendTime);
        return MessageChannel::connect(std::move(frames), m_codec, m_options.self, deadline);
    } catch (const Poco::Exception &ex) {
        return failure(ErrorKind::Unavailable, "peer.connect", ex.displayText(), address);
    }
}

Result<ChangesResponse> PeerPool::requestChanges(const std::string &address, std::uint64_t afterVersion, TimePoint deadline) const
{
    auto channel = connect(address, deadline);
    if (!channel) {
        return tl::unexpected(channel.error());
    }
    if (auto sent = (*channel)->send(ChangesRequest{ 0, afterVersion }); !sent) {
        return tl::unexpected(sent.error());
    }
    while (true) {
        auto message = (*channel)->receive(deadline);
        if (!message) {
            return tl::unexpected(message.error());
        }
        if (auto *response = std::get_if<ChangesResponse>(&*message)) {
            return std::move(*response);
        }
    }
}

CallResponse PeerPool::resolve(const std::string &address,
                               const CallRequest &request,
                               const PeerLink &broken,
                               TimePoint sent,
                               TimePoint deadline,
                               Cancellation &cancellation)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const TimePoint limit = std::min(deadline, now + m_options.outcomeTime);
    const LinkPtr link = open(address, limit);
    if (!link) {
        return refusedFor(request, CallFailure::Interrupted);
    }
    const auto age = std::chrono::ceil<std::chrono::microseconds>(now - sent);
    const OutcomeRequest question{ 0, request.attemptId, broken.peerIncarnation(), broken.nonce(), age };
    auto reply = link->askOutcome(question, limit, cancellation);
    return reply ? std::move(*reply) : refusedFor(request, CallFailure::Interrupted);
}

} // namespace Pimentohollow
