#include "node/pipeline/servingpipeline.h"

#include "peer/channel/messagechannel.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t RequestIdBytes = 16;

CallResponse refused(const CallRequest &request, RefusalReason reason, std::string detail)
{
    return { request.callId, Refusal{ reason, RunState::NotRun, {}, std::move(detail) }, request.retriesLeft, std::nullopt };
}

WorkResult workResult(const CallResult &result, const InFlightRequest &request)
{
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        return refusal->reason == RefusalReason::DeadlineExceeded ? WorkResult::TimedOut : WorkResult::Failed;
    }
    const std::uint16_t status = std::get<HttpResponseMessage>(result).status;
    if (request.childRefused()) {
        return status < 500 ? WorkResult::Completed : WorkResult::Failed;
    }
    if (status == 429 || status == 503) {
        return WorkResult::Shed;
    }
    return status < 500 ? WorkResult::Completed : WorkResult::Failed;
}

RequestContext contextOf(const CallRequest &request, TimePoint deadline)
{
    return { request.requestId,  request.account, request.service,     request.route, request.priority,
             request.idempotent, deadline,        request.retriesLeft, request.depth };
}

} // namespace

ServingPipeline::ServingPipeline(const Clock &clock,
                                 AnnouncedUpstream &upstream,
                                 AdmissionGate &admission,
                                 InFlightTable &inFlight,
                                 PoisonGuard &poison,
                                 ClaimService *claims,
                                 MetricRegistry &metrics)
    : m_clock(clock)
    , m_upstream(upstream)
    , m_admission(admission)
    , m_inFlight(inFlight)
    , m_poison(poison)
    , m_claims(claims)
    , m_metrics(metrics)
    , m_upstreamTime(metrics.histogram("pimentohollow_upstream_seconds"))
{
    metrics.gauge("pimentohollow_in_flight", [&inFlight] {
        return static_cast<double>(inFlight.count());
    });
}

CallResponse ServingPipeline::handle(CallRequest request, TimePoint deadline, Cancellation &cancellation)
{
    if (!takesCalls()) {
        return refused(request, RefusalReason::Draining, "the serving node takes no new work");
    }
    return serveLocally(std::move(request), deadline, cancellation);
}

void ServingPipeline::beginDrain()
{
    m_draining = true;
}

void ServingPipeline::setTakesCalls(bool takesCalls)
{
    m_takesCalls = takesCalls;
}

bool ServingPipeline::takesCalls() const
{
    return m_takesCalls && !m_draining;
}

CallResponse ServingPipeline::serveLocally(CallRequest request, TimePoint deadline, Cancellation &cancellation)
{
    const auto client = m_upstream.clientFor(request.service);
    if (!client) {
        return refused(request, RefusalReason::NoUpstream, "no upstream of the service takes work here");
    }
    const std::string id = randomHex(RequestIdBytes);
    const std::string traceId = traceIdOf(findHeader(request.request.headers, "traceparent"));
    InFlightTable::Entry entry(m_inFlight, id, std::make_shared<InFlightRequest>(contextOf(request, deadline), traceId));
    setHeader(request.request.headers, RequestIdHeader, id);
    const auto announced = m_upstream.current();
    const std::uint64_t incarnation = announced ? announced->incarnation : 0;
    CallResult result = runAdmitted({ request, entry.request(), *client, incarnation }, cancellation);
    // Taken, not read, so that a child call that arrives now can't spend them a second time.
    return { request.callId, std::move(result), entry.request().takeRetries(), record() };
}

CallResult ServingPipeline::runAdmitted(const UpstreamWork &work, Cancellation &cancellation)
{
    auto slot = m_admission.admit(work.inFlight.context(), cancellation);
    if (!slot) {
        return std::move(slot.error());
    }
    const auto run = [this, &work, &cancellation] {
        return runAtUpstream(work, cancellation);
    };
    const auto runOnce = [&] {
        return ClaimStep::applies(work.request) ? m_claims.run(work, *slot, run, cancellation) : run();
    };
    CallResult result = m_poison.run(work, runOnce);
    slot->finish({ workResult(result, work.inFlight), work.inFlight.childTime() });
    return result;
}

CallResult ServingPipeline::runAtUpstream(const UpstreamWork &work, Cancellation &cancellation)
{
    const TimePoint begin = m_clock.now();
    const TimePoint deadline = work.inFlight.context().deadline;
    const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline - begin).count();
    setHeader(work.request.request.headers, TimeLeftHeader, fmt::format("{}", left));
    auto answer = work.client.send(work.request.request, work.request.idempotent, deadline, cancellation);
    m_upstreamTime.record(m_clock.now() - begin);
    if (!answer) {
        m_metrics.counter("pimentohollow_upstream_failures_total", { { "reason", RefusalReasonNames.name(answer.error().reason) } }).add();
        return std::move(answer.error());
    }
    return std::move(*answer);
}

std::optional<UpstreamRecord> ServingPipeline::record()
{
    const auto announced = m_upstream.current();
    if (!announced) {
        return std::nullopt;
    }
    UpstreamRecord record;
    record.service = announced->service;
    record.state = takesCalls() ? announced->state : UpstreamState::Draining;
    record.incarnation = announced->incarnation;
    m_admission.report(record);
    return record;
}

} // namespace Pimentohollow
