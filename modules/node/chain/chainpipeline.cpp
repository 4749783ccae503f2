#include "node/chain/chainpipeline.h"

#include "http/rules/keyremoval.h"

namespace Pimentohollow
{

namespace
{

constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

Refusal notRun(RefusalReason reason, std::string detail)
{
    return { reason, RunState::NotRun, {}, std::move(detail) };
}

} // namespace

ChainPipeline::ChainPipeline(
    const Clock &clock, const RouteSource &routes, const InFlightTable &inFlight, EntryPipeline &entry, Forwarder &forwarder)
    : m_clock(clock)
    , m_routes(routes)
    , m_inFlight(inFlight)
    , m_entry(entry)
    , m_forwarder(forwarder)
{
}

HttpResponseMessage ChainPipeline::handle(HttpRequestMessage request, Cancellation &cancellation)
{
    const auto parent = parentOf(request.headers);
    return parent ? runChild(*parent, std::move(request), cancellation) : runWithoutParent(std::move(request), cancellation);
}

std::shared_ptr<InFlightRequest> ChainPipeline::parentOf(const HttpHeaders &headers) const
{
    if (const std::string *id = findHeader(headers, RequestIdHeader)) {
        return m_inFlight.find(*id);
    }
    return m_inFlight.findByTrace(traceIdOf(findHeader(headers, "traceparent")));
}

HttpResponseMessage ChainPipeline::runChild(InFlightRequest &parent, HttpRequestMessage request, Cancellation &cancellation)
{
    const RequestContext &above = parent.context();
    const auto route = m_routes.match(request.method, request.target.substr(0, request.target.find('?')));
    if (!route) {
        return m_entry.refuse(notRun(RefusalReason::NoRoute, "no route matches the request"));
    }
    if (!isPlainPath(request.target.substr(0, request.target.find('?')))) {
        return m_entry.refuse(notRun(RefusalReason::BadRequest, "dot segments in the path are not accepted"));
    }
    if (above.depth >= MaximumDepth) {
        return m_entry.refuse(notRun(RefusalReason::BadRequest, "the call chain is too deep"));
    }
    const std::string *idempotencyKey = findHeader(request.headers, IdempotencyKeyHeader);
    PreparedRequest prepared;
    prepared.idempotencyKey = idempotencyKey == nullptr ? "" : *idempotencyKey;
    prepared.context = above;
    prepared.context.service = route->service;
    prepared.context.route = route->route;
    prepared.context.idempotent = route->idempotent;
    prepared.context.deadline = std::min(above.deadline, m_clock.now() + m_routes.limits(route->route, above.account).deadline);
    prepared.context.depth = above.depth + 1;
    if (const auto removed = removeKey(request, bearerKey(request.headers)); !removed) {
        return m_entry.refuse(notRun(RefusalReason::BadRequest, removed.error()));
    }
    removeInternalHeaders(request.headers);
    prepared.message = std::move(request);
    prepared.context.retriesLeft = parent.takeRetries();
    const TimePoint begin = m_clock.now();
    ForwardedAnswer result = m_forwarder.forward(prepared, cancellation);
    parent.returnRetries(result.retriesLeft);
    parent.childFinished(m_clock.now() - begin, std::holds_alternative<Refusal>(result.result));
    return answer(std::move(result));
}

HttpResponseMessage ChainPipeline::runWithoutParent(HttpRequestMessage request, Cancellation &cancellation)
{
    auto prepared = m_entry.prepare(std::move(request));
    if (!prepared) {
        return m_entry.refuse(std::move(prepared.error()));
    }
    RequestContext &context = prepared->context;
    context.retriesLeft = 0;
    context.priority = Priority::Normal;
    context.deadline = std::min(context.deadline, m_inFlight.earliestDeadline().value_or(context.deadline));
    return answer(m_forwarder.forward(*prepared, cancellation));
}

HttpResponseMessage ChainPipeline::answer(ForwardedAnswer answer) const
{
    if (auto *refusal = std::get_if<Refusal>(&answer.result)) {
        return m_entry.refuse(std::move(*refusal));
    }
    return std::get<HttpResponseMessage>(std::move(answer.result));
}

} // namespace Pimentohollow
