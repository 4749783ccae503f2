#include "node/poison/poisonstep.h"

namespace Pimentohollow
{

namespace
{

/** An answer that broke off because the process died: it keeps no new connection either. */
bool upstreamCrashed(const CallResult &result, const UpstreamClient &client)
{
    const auto *refusal = std::get_if<Refusal>(&result);
    return refusal != nullptr && refusal->reason == RefusalReason::UpstreamFailed && refusal->ran == RunState::Unknown
        && !client.acceptsConnections();
}

} // namespace

PoisonStep::PoisonStep(PoisonGuard &guard)
    : m_guard(guard)
{
}

CallResult PoisonStep::run(const UpstreamWork &work, const Run &run)
{
    const RequestContext &context = work.inFlight.context();
    const auto fingerprint = RequestFingerprint::of(context.account, context.route, work.request.request.body);
    if (auto refusal = m_guard.begin(fingerprint, context.deadline)) {
        return std::move(*refusal);
    }
    CallResult result = run();
    if (upstreamCrashed(result, work.client)) {
        m_guard.crashed(work.upstreamIncarnation);
    }
    const bool answered = std::holds_alternative<HttpResponseMessage>(result);
    m_guard.end(fingerprint, answered ? PoisonGuard::End::Completed : PoisonGuard::End::WithoutAnswer);
    return result;
}

} // namespace Pimentohollow
