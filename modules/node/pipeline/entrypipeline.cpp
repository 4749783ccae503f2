#include "node/pipeline/entrypipeline.h"

#include "http/rules/hopbyhop.h"
#include "http/rules/keyremoval.h"
#include "http/rules/problemresponse.h"

#include <charconv>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t RequestIdBytes = 16;
constexpr std::string_view InternalPrefix = "Pimentohollow-";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

Duration deadlineOf(const RouteLimits &limits, const HttpHeaders &headers)
{
    const std::string *text = findHeader(headers, CallerTimeoutHeader);
    std::uint32_t millis = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), millis).ptr != text->data() + text->size()) {
        return limits.deadline;
    }
    return std::min<Duration>(limits.maximumDeadline, std::chrono::milliseconds(millis));
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/** "." or "..", also percent-encoded. */
bool isDotSegment(std::string_view segment)
{
    std::string dots;
    while (!segment.empty()) {
        const bool encoded = segment.starts_with("%2e") || segment.starts_with("%2E");
        if (!encoded && segment.front() != '.') {
            return false;
        }
        dots += '.';
        segment.remove_prefix(encoded ? 3 : 1);
    }
    return dots == "." || dots == "..";
}

Refusal notRun(RefusalReason reason, std::string detail)
{
    return { reason, RunState::NotRun, {}, std::move(detail) };
}

} // namespace

bool isPlainPath(std::string_view path)
{
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        if (isDotSegment(path.substr(0, end))) {
            return false;
        }
        path.remove_prefix(end);
    }
    return true;
}

void removeInternalHeaders(HttpHeaders &headers)
{
    removeHopByHopHeaders(headers);
    std::erase_if(headers, [](const HttpHeader &it) {
        return it.name.size() >= InternalPrefix.size()
            && headerNameEquals(std::string_view(it.name).substr(0, InternalPrefix.size()), InternalPrefix);
    });
}

EntryPipeline::EntryPipeline(const Clock &clock,
                             const RouteSource &routes,
                             const KeySource &keys,
                             QuotaService &quota,
                             Forwarder &forwarder,
                             RetryAfterSource &retryAfter,
                             MetricRegistry &metrics)
    : m_clock(clock)
    , m_routes(routes)
    , m_keys(keys)
    , m_quota(quota)
    , m_forwarder(forwarder)
    , m_retryAfter(retryAfter)
    , m_metrics(metrics)
    , m_requests(metrics.counter("pimentohollow_requests_total"))
    , m_requestTime(metrics.histogram("pimentohollow_request_seconds"))
{
}

HttpResponseMessage EntryPipeline::handle(HttpRequestMessage request, Cancellation &cancellation)
{
    m_requests.add();
    const TimePoint begin = m_clock.now();
    auto prepared = prepare(std::move(request));
    if (!prepared) {
        return refuse(std::move(prepared.error()));
    }
    ForwardedAnswer answer = m_forwarder.forward(*prepared, cancellation);
    m_requestTime.record(m_clock.now() - begin);
    if (auto *refusal = std::get_if<Refusal>(&answer.result)) {
        return refuse(std::move(*refusal));
    }
    return std::get<HttpResponseMessage>(std::move(answer.result));
}

tl::expected<PreparedRequest, Refusal> EntryPipeline::prepare(HttpRequestMessage request) const
{
    if (!m_routes.ready()) {
        return tl::unexpected(
            notRun(RefusalReason::NotReady, "the node has no configuration, or has been cut off for longer than allowed"));
    }
    if (!isPlainPath(pathOf(request.target))) {
        return tl::unexpected(notRun(RefusalReason::BadRequest, "dot segments in the path are not accepted"));
    }
    const auto route = m_routes.match(request.method, pathOf(request.target));
    if (!route) {
        return tl::unexpected(notRun(RefusalReason::NoRoute, "no route matches the request"));
    }
    const auto key = bearerKey(request.headers);
    const auto account = this->account(*route, key);
    if (!account) {
        return tl::unexpected(account.error());
    }
    const std::string *idempotencyKey = findHeader(request.headers, IdempotencyKeyHeader);
    PreparedRequest prepared;
    prepared.idempotencyKey = idempotencyKey == nullptr ? "" : *idempotencyKey;
    prepared.context.requestId = randomHex(RequestIdBytes);
    prepared.context.account = *account;
    prepared.context.service = route->service;
    prepared.context.route = route->route;
    prepared.context.priority = route->priority;
    prepared.context.idempotent = route->idempotent;
    const RouteLimits limits = m_routes.limits(route->route, *account);
    prepared.context.deadline = m_clock.now() + deadlineOf(limits, request.headers);
    prepared.context.retriesLeft = limits.retries;
    if (const auto removed = removeKey(request, key); !removed) {
        return tl::unexpected(notRun(RefusalReason::BadRequest, removed.error()));
    }
    removeInternalHeaders(request.headers);
    // Last, so that a request refused for another reason uses up no part of the rate.
    if (const auto refusal = account->empty() ? std::nullopt : m_quota.take(*account)) {
        return tl::unexpected(*refusal);
    }
    prepared.message = std::move(request);
    return prepared;
}

HttpResponseMessage EntryPipeline::refuse(Refusal refusal) const
{
    constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
    const auto status = refusalStatus(refusal);
    if (refusal.retryAfter == Duration::zero() && (status == 429 || status == 503 || status == 504)) {
        refusal.retryAfter = m_retryAfter.atLeast(DefaultRetryAfter);
    }
    m_metrics
        .counter("pimentohollow_refusals_total",
                 { { "reason", RefusalReasonNames.name(refusal.reason) }, { "ran", RunStateNames.name(refusal.ran) } })
        .add();
    return problemResponse(refusal);
}

tl::expected<AccountName, Refusal> EntryPipeline::account(const RouteMatch &route, const std::optional<std::string> &key) const
{
    if (key) {
        if (auto account = m_keys.accountOf(*key)) {
            return *account;
        }
    }
    if (route.open) {
        return AccountName();
    }
    return tl::unexpected(notRun(RefusalReason::Unauthorized, key ? "the key is unknown or withdrawn" : "a key is required"));
}

} // namespace Pimentohollow
