#include "node/pipeline/forwarder.h"

namespace Pimentohollow
{

namespace
{

constexpr std::size_t AttemptIdBytes = 16;

CallRequest callRequest(const PreparedRequest &request, std::uint32_t retriesLeft, Duration left)
{
    const RequestContext &context = request.context;
    CallRequest call;
    call.attemptId = randomHex(AttemptIdBytes);
    call.requestId = context.requestId;
    call.account = context.account;
    call.service = context.service;
    call.route = context.route;
    call.priority = context.priority;
    call.idempotent = context.idempotent;
    call.remaining = std::chrono::floor<std::chrono::microseconds>(left);
    call.retriesLeft = retriesLeft;
    call.depth = context.depth;
    call.idempotencyKey = request.idempotencyKey;
    call.request = request.message;
    return call;
}

} // namespace

Forwarder::Forwarder(
    const Clock &clock, NodeName self, UpstreamSource &upstreams, PeerPool &peers, ServingPipeline &serving, MetricRegistry &metrics)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_upstreams(upstreams)
    , m_peers(peers)
    , m_serving(serving)
    , m_attempts(metrics.counter("pimentohollow_attempts_total"))
    , m_retries(metrics.counter("pimentohollow_retries_total"))
{
}

ForwardedAnswer Forwarder::forward(const PreparedRequest &request, Cancellation &cancellation)
{
    std::uint32_t retriesLeft = request.context.retriesLeft;
    std::vector<NodeName> tried;
    bool mayHaveRun = false;
    while (true) {
        const auto target = m_upstreams.choose(request.context.service, tried);
        if (!target) {
            const RunState ran = mayHaveRun ? RunState::Unknown : RunState::NotRun;
            return { Refusal{ RefusalReason::NoUpstream, ran, {}, "no upstream of the service is known" }, retriesLeft };
        }
        const TimePoint begin = m_clock.now();
        CallResponse response = attempt(request, *target, retriesLeft, cancellation);
        m_upstreams.finished(request.context.service, *target, response, m_clock.now() - begin);
        retriesLeft = std::min(retriesLeft, response.retriesLeft);
        if (auto *refusal = std::get_if<Refusal>(&response.result)) {
            // The answer speaks for the whole request, so an earlier attempt that may have run counts too.
            mayHaveRun = mayHaveRun || refusal->ran == RunState::Unknown;
            refusal->ran = mayHaveRun ? RunState::Unknown : RunState::NotRun;
        }
        if (retriesLeft == 0 || !mayRetry(request, response, cancellation)) {
            return { std::move(response.result), retriesLeft };
        }
        --retriesLeft;
        m_retries.add();
        tried.push_back(target->node);
    }
}

CallResponse
Forwarder::attempt(const PreparedRequest &request, const UpstreamTarget &target, std::uint32_t retriesLeft, Cancellation &cancellation)
{
    m_attempts.add();
    const TimePoint deadline = request.context.deadline;
    CallRequest call = callRequest(request, retriesLeft, deadline - m_clock.now());
    if (target.node == m_self) {
        return m_serving.serveLocally(std::move(call), deadline, cancellation);
    }
    return m_peers.call(target.peerAddress, std::move(call), deadline, cancellation);
}

bool Forwarder::mayRetry(const PreparedRequest &request, const CallResponse &response, Cancellation &cancellation) const
{
    const auto *refusal = std::get_if<Refusal>(&response.result);
    if (refusal == nullptr || cancellation.cancelled() || m_clock.now() >= request.context.deadline) {
        return false;
    }
    const bool repeatable = refusal->reason == RefusalReason::NoUpstream || refusal->reason == RefusalReason::UpstreamFailed
        || refusal->reason == RefusalReason::Draining || refusal->reason == RefusalReason::Overloaded
        || refusal->reason == RefusalReason::OutcomeLost;
    return repeatable && (refusal->ran == RunState::NotRun || request.context.idempotent);
}

} // namespace Pimentohollow
