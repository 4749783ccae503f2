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
    const RequestContext &context = request.context;
    if (!m_upstreams.admits(context)) {
        return { Refusal{ RefusalReason::Overloaded, RunState::NotRun, {}, "the service is overloaded" }, context.retriesLeft };
    }
    RetryBudget budget(context.retriesLeft);
    {
        const std::lock_guard lock(m_mutex);
        m_ratio.recordFirstAttempt();
    }
    std::vector<NodeName> tried;
    bool mayHaveRun = false;
    while (true) {
        const auto target = m_upstreams.choose(context, tried);
        if (!target) {
            const RunState ran = mayHaveRun ? RunState::Unknown : RunState::NotRun;
            return { Refusal{ RefusalReason::NoUpstream, ran, {}, "no upstream of the service is known" }, budget.left() };
        }
        const TimePoint begin = m_clock.now();
        const std::uint32_t lent = budget.lend();
        CallResponse response = attempt(request, *target, lent, cancellation);
        budget.giveBack(lent, response.retriesLeft);
        m_upstreams.finished(context, *target, response, m_clock.now() - begin);
        auto *refusal = std::get_if<Refusal>(&response.result);
        if (refusal == nullptr) {
            return { std::move(response.result), budget.left() };
        }
        // The answer speaks for the whole request, so an earlier attempt that may have run counts too.
        mayHaveRun = mayHaveRun || refusal->ran == RunState::Unknown;
        tried.push_back(target->node);
        if (cancellation.cancelled() || !mayRetry(context, *refusal, tried, budget)) {
            refusal->ran = mayHaveRun ? RunState::Unknown : RunState::NotRun;
            return { std::move(response.result), budget.left() };
        }
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
    return m_peers.call(target.peerAddress, call, deadline, cancellation);
}

bool Forwarder::mayRetry(const RequestContext &context, const Refusal &refusal, const std::vector<NodeName> &tried, RetryBudget &budget)
{
    const FailedAttempt failed{ refusal.reason, refusal.ran, m_upstreams.hasOther(context, tried), Duration::zero() };
    const std::lock_guard lock(m_mutex);
    const bool retry = std::holds_alternative<RetryElsewhere>(RetryPolicy::decide(context, failed, m_clock.now(), budget, m_ratio));
    if (retry) {
        m_retries.add();
    }
    return retry;
}

} // namespace Pimentohollow
