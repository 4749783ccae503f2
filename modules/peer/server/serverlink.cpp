#include "peer/server/serverlink.h"

#include "core/logger.h"

namespace Pimentohollow
{

namespace
{

/** The calling side sends heartbeats far more often, so a link without any message for this long is dead. */
constexpr Duration IdleTime = std::chrono::seconds(30);
const Logger Log("peer.server");

} // namespace

ServerLink::ServerLink(std::unique_ptr<MessageChannel> channel, const ServerLinkEnvironment &environment)
    : m_channel(std::move(channel))
    , m_environment(environment)
{
}

void ServerLink::run()
{
    while (true) {
        const auto message = m_channel->receive(std::chrono::steady_clock::now() + IdleTime);
        if (!message) {
            Log.debug("link_closed", { { "reason", message.error().describe() } });
            break;
        }
        receive(*message);
    }
    m_channel->close();
}

void ServerLink::revoke()
{
    const std::lock_guard lock(m_mutex);
    m_revoked = true;
    m_channel->close();
}

void ServerLink::goAway()
{
    m_channel->send(GoAway{});
}

void ServerLink::close()
{
    m_channel->close();
}

const std::string &ServerLink::nonce() const
{
    return m_channel->peerHello().nonce;
}

std::size_t ServerLink::runningCalls() const
{
    const std::lock_guard lock(m_mutex);
    return m_running.size();
}

void ServerLink::receive(const PeerMessage &message)
{
    if (const auto *call = std::get_if<CallRequest>(&message)) {
        start(*call);
    } else if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        m_channel->send(*heartbeat);
    } else if (const auto *cancelled = std::get_if<CancelCall>(&message)) {
        cancel(cancelled->callId);
    } else if (const auto *question = std::get_if<OutcomeRequest>(&message)) {
        answerOutcome(*question);
    } else if (const auto *changes = std::get_if<ChangesRequest>(&message)) {
        answerChanges(*changes);
    }
}

void ServerLink::start(const CallRequest &request)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + request.remaining;
    auto cancellation = std::make_shared<Cancellation>();
    {
        // One step with the check of m_revoked, so that a revoked link can't begin a call reported as not run.
        const std::lock_guard lock(m_mutex);
        if (m_revoked || !m_environment.registry.begin(request.attemptId)) {
            return;
        }
        m_running.emplace(request.callId, cancellation);
    }
    const auto self = shared_from_this();
    const bool accepted = m_environment.workers.run([self, request, deadline, cancellation] {
        self->runCall(request, deadline, *cancellation);
    });
    if (!accepted) {
        const Refusal refusal{ RefusalReason::Overloaded, RunState::NotRun, {}, "the serving node has no free thread" };
        finish(request, { request.callId, refusal, request.retriesLeft, std::nullopt });
    }
}

void ServerLink::runCall(const CallRequest &request, TimePoint deadline, Cancellation &cancellation)
{
    CallResponse response;
    try {
        response = m_environment.handler.handle(request, deadline, cancellation);
    } catch (const std::exception &ex) {
        Log.error("call_failed", { { "error", ex.what() } });
        response.result = Refusal{ RefusalReason::UpstreamFailed, RunState::Unknown, {}, "internal error" };
    }
    finish(request, std::move(response));
}

void ServerLink::finish(const CallRequest &request, CallResponse response)
{
    response.callId = request.callId;
    m_environment.registry.finish(request.attemptId, response);
    // A failure doesn't matter: the entry node notices the broken link and asks for the outcome.
    m_channel->send(response);
    const std::lock_guard lock(m_mutex);
    m_running.erase(request.callId);
}

void ServerLink::answerOutcome(const OutcomeRequest &question)
{
    const auto send = [self = shared_from_this(), callId = question.callId](CallResponse response) {
        response.callId = callId;
        self->m_channel->send(response);
    };
    if (question.incarnation != m_environment.incarnation) {
        const Refusal refusal{ RefusalReason::OutcomeLost, RunState::Unknown, {}, "the serving node was restarted" };
        send({ question.callId, refusal, 0, std::nullopt });
        return;
    }
    m_environment.revokeLink(question.brokenLink);
    m_environment.registry.query(question.attemptId, question.age, send);
}

void ServerLink::answerChanges(const ChangesRequest &question)
{
    ChangesResponse response;
    if (m_environment.changes) {
        response = m_environment.changes->changesAfter(question.afterVersion);
    }
    response.callId = question.callId;
    m_channel->send(response);
}

void ServerLink::cancel(std::uint64_t callId)
{
    std::shared_ptr<Cancellation> cancellation;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_running.find(callId);
        if (it == m_running.end()) {
            return;
        }
        cancellation = it->second;
    }
    cancellation->cancel();
}

} // namespace Pimentohollow
