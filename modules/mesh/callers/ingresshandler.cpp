#include "mesh/callers/ingresshandler.h"

#include "core/logger.h"
#include "http/rules/hopbyhop.h"
#include "mesh/decisions/requestrank.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace Pimentohollow
{

namespace
{

constexpr std::uint16_t FirstClientError = 400;
constexpr std::uint16_t BadRequest = 400;
constexpr std::uint16_t Unauthorized = 401;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t TooManyRequests = 429;
constexpr std::uint16_t BadGateway = 502;
constexpr std::uint16_t ServiceUnavailable = 503;
constexpr std::uint16_t GatewayTimeout = 504;
constexpr std::uint16_t FirstServerError = 500;

/** Used for a request without a deadline header; a shorter timeout of the route takes precedence. */
constexpr std::chrono::seconds DefaultDeadline(30);
constexpr std::chrono::milliseconds MaximumDeadline(600'000);
/** Limit on offers of one request to nodes. A refusal by a node is cheap, but each one costs a round trip. */
constexpr std::size_t MaximumOffers = 6;
/**
 * Ranks added to nested calls, so that they come after callers' requests when retries are scarce: a call tree needs all of its calls to
 * succeed, a request only itself.
 */
constexpr std::uint32_t NestedCallRetryRank = 2;
/** Ranks added to a request with a failed nested call, because the retries of that call have failed too. */
constexpr std::uint32_t FailedCallRetryRank = 4;
/** A retry starts only if at least this multiple of the average response time remains until the deadline. */
constexpr double MinimumRetryTimeFactor = 1.0;
/** Longest time that a request waits for the retry budget. Waiting lets call trees finish whose retries come in clusters. */
constexpr std::chrono::milliseconds MaximumRetryWait(200);
constexpr std::chrono::milliseconds MinimumRetryPollInterval(5);
/** An attempt without a response is retried on another node after this multiple of the average response time. */
constexpr double AttemptTimeoutFactor = 5;
constexpr std::chrono::milliseconds MinimumAttemptTimeout(120);
/** Limits the placement log, which would otherwise be most of a busy node's output. */
constexpr unsigned MaximumPlacementLogsPerSecond = 10;
/** Approximate size of the heads of a request and its response between nodes. */
constexpr std::size_t EstimatedHeadBytes = 450;
/** Weight of one response in the moving averages. */
constexpr double ResponseAverageWeight = 0.05;
/** Retry-After when no upstream has a free slot and none reports a retry time. */
constexpr std::chrono::milliseconds DefaultRetryAfter(300);
/** Retry-After until this node has received its rules. */
constexpr std::chrono::milliseconds RulesUnknownRetryAfter(500);
const Logger Log("entry");

std::optional<std::chrono::milliseconds> parseMilliseconds(const std::string *text)
{
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const char *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
        return std::nullopt;
    }
    return std::min(std::chrono::milliseconds(value), MaximumDeadline);
}

} // namespace

IngressHandler::IngressHandler(Environment environment)
    : m_environment(std::move(environment))
    , m_chooser(m_environment.random)
{
}

HttpResponseMessage IngressHandler::serve(HttpRequestMessage &&request, PendingRequest &pending)
{
    IngressRequest ingress;
    ingress.arrivedAt = m_environment.loop.now();
    HttpResponseMessage response = serve(std::move(request), ingress, pending);
    if (ingress.parent != 0) {
        m_environment.runner.endCall(ingress.parent, response.status >= FirstClientError);
    }
    return response;
}

HttpResponseMessage IngressHandler::serve(HttpRequestMessage &&request, IngressRequest &ingress, PendingRequest &pending)
{
    if (auto answer = prepareRequest(request, ingress)) {
        return std::move(*answer);
    }
    if (auto answer = fitIntoShutdown(ingress)) {
        return std::move(*answer);
    }
    if (auto answer = admit(ingress)) {
        return std::move(*answer);
    }
    return forward(std::move(request), ingress, pending);
}

std::optional<HttpResponseMessage> IngressHandler::prepareRequest(HttpRequestMessage &request, IngressRequest &ingress)
{
    const auto &names = m_environment.headers;
    if (const auto *id = findHeader(request.headers, names.requestId)) {
        ingress.requestId = *id;
    }
    ingress.rules = m_environment.rules();
    if (!ingress.rules) {
        return refuse(ingress, ServiceUnavailable, "rules_unknown", RulesUnknownRetryAfter);
    }
    if (ingress.requestId.empty()) {
        return refuse(ingress, BadRequest, "request_id_missing");
    }
    const auto *host = findHeader(request.headers, "Host");
    ingress.route = host == nullptr ? nullptr : ingress.rules->route(*host, request.target);
    if (ingress.route == nullptr) {
        return refuse(ingress, NotFound, "no_route");
    }
    const auto *key = findHeader(request.headers, names.key);
    if (!ingress.rules->rules().accounts.empty() && !ingress.route->isPublic) {
        ingress.account = key == nullptr ? nullptr : ingress.rules->accountOf(*key);
        if (ingress.account == nullptr) {
            return refuse(ingress, Unauthorized, "key_unknown");
        }
    }
    const auto timeLimit = std::chrono::milliseconds(ingress.route->timeoutMilliseconds);
    const auto requestedTime = parseMilliseconds(findHeader(request.headers, names.deadline));
    Duration allowed = requestedTime ? Duration(*requestedTime) : Duration(DefaultDeadline);
    if (timeLimit.count() > 0) {
        allowed = std::min<Duration>(allowed, timeLimit);
    }
    ingress.deadline = ingress.arrivedAt + allowed;
    ingress.origin.rootRoute = ingress.route->name;
    ingress.origin.rank = requestRank(*ingress.route, ingress.account);
    if (ingress.account == nullptr && requestedTime) {
        if (const auto parent = m_environment.runner.beginCall({ ingress.route->name, *requestedTime, ingress.arrivedAt })) {
            ingress.origin = parent->origin;
            ingress.parent = parent->ticket;
        }
    }
    ingress.fingerprint = RequestFingerprint::of(AccountName(ingress.account == nullptr ? "" : ingress.account->name.text()),
                                                 RouteName(request.method + " " + request.target),
                                                 request.body);
    ingress.requestBodyBytes = request.body.size();
    removeHopByHopHeaders(request.headers);
    for (const auto *it : { &names.key, &names.account, &names.callerService, &names.expectedUpstream, &names.deadline }) {
        removeHeader(request.headers, *it);
    }
    request.headers.push_back({ names.callerService, m_environment.settings.service.text() });
    if (ingress.account != nullptr) {
        request.headers.push_back({ names.account, ingress.account->name.text() });
    }
    return std::nullopt;
}

std::optional<HttpResponseMessage> IngressHandler::fitIntoShutdown(IngressRequest &ingress)
{
    const auto &plan = m_environment.shutdownPlan;
    if (!plan.hasStarted()) {
        return std::nullopt;
    }
    const TimePoint now = m_environment.loop.now();
    const auto found = m_averageResponses.find(ingress.route->name);
    const std::chrono::duration<double> usual(found == m_averageResponses.end() ? 0 : found->second.seconds);
    if (!plan.canFinish(ingress.deadline - now, std::chrono::duration_cast<Duration>(usual), now)) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(plan.end() - now).count();
        return refuse(ingress,
                      ServiceUnavailable,
                      "shutting_down",
                      DefaultRetryAfter,
                      fmt::format("left_ms={} usual_ms={:.0f}", left, usual.count() * 1e3));
    }
    ingress.deadline = std::min(ingress.deadline, plan.end());
    return std::nullopt;
}

std::optional<HttpResponseMessage> IngressHandler::admit(IngressRequest &ingress)
{
    const TimePoint now = m_environment.loop.now();
    if (ingress.account != nullptr) {
        const AccountLimit limit = limitOf(*ingress.account);
        if (const auto wait = m_environment.accountRateLimiter.check(ingress.account->name, limit, now)) {
            const auto &account = ingress.account->name;
            const auto inputs = fmt::format("share={:.3f} level={:.1f} rate={:.1f} burst={:.0f}",
                                            m_environment.accountRateLimiter.share(account, now),
                                            m_environment.accountRateLimiter.level(account),
                                            limit.ratePerSecond,
                                            limit.burst);
            return refuse(ingress, TooManyRequests, "rate_exceeded", *wait, inputs);
        }
    }
    const auto *service = m_split.next(*ingress.route);
    if (service == nullptr) {
        return refuse(ingress, ServiceUnavailable, "no_service", DefaultRetryAfter);
    }
    ingress.service = *service;
    ingress.callTree = RouteName(ingress.route->name.text() + '/' + service->text());
    if (!ingress.origin.nested) {
        if (const auto wait = m_environment.treeAdmission.admit(ingress.callTree, ingress.origin.rank, now)) {
            return refuse(ingress,
                          ServiceUnavailable,
                          "tree_shed",
                          *wait,
                          m_environment.treeAdmission.describe(ingress.callTree, ingress.origin.rank));
        }
    }
    if (ingress.account != nullptr) {
        // Only now, so that a refused request doesn't use up the rate of its account.
        m_environment.accountRateLimiter.consumeToken(ingress.account->name);
    }
    m_environment.retryBudget.recordRequest(ingress.service, now);
    if (ingress.origin.retry) {
        m_environment.retryBudget.charge(ingress.service, now);
    }
    return std::nullopt;
}

HttpResponseMessage IngressHandler::forward(HttpRequestMessage &&request, IngressRequest &ingress, PendingRequest &pending)
{
    AttemptHistory attempts;
    while (attempts.offers < MaximumOffers && !pending.cancelled() && m_environment.loop.clock().now() < ingress.deadline) {
        const auto option = selectUpstream(ingress, attempts);
        if (!option) {
            break;
        }
        const TimePoint startedAt = m_environment.loop.clock().now();
        ++attempts.offers;
        attempts.lastNode = option->node;
        attempts.reportAge = option->link ? startedAt - option->link->loadReportedAt() : Duration{};
        attempts.retryGranted = false;
        attempts.lastReply = runAttempt(*option, request, ingress, pending, attempts);
        recordResult(ingress, attempts.lastReply, startedAt);
        recordAttempt(option->node, attempts);
        if (pending.cancelled()) {
            return finishAbandoned(ingress, attempts);
        }
        if (attempts.lastReply.outcome == RunOutcome::Answered && attempts.lastReply.response.status < FirstServerError) {
            break;
        }
        // Retrying a request whose nested calls failed makes all of them again, although they were retried already. While a service of
        // the call tree is overloaded, that takes capacity from call trees that can still finish.
        const bool wasteful = attempts.lastReply.callFailed && !m_environment.treeAdmission.isUncongested(ingress.callTree);
        if (attempts.lastReply.outcome == RunOutcome::Poisonous || wasteful) {
            break;
        }
        if (attempts.retryGranted) {
            continue;
        }
        const bool reachedUpstream = attempts.lastReply.outcome == RunOutcome::Rejected || !neverRan(attempts.lastReply.outcome);
        if (reachedUpstream && !awaitRetry(ingress, pending, attempts)) {
            break;
        }
        if (reachedUpstream) {
            m_environment.metrics.counter("pimentohollow_repeats_total").add();
            Log.info("repeated",
                     { { "request", ingress.requestId },
                       { "outcome", std::string(RunOutcomeNames.name(attempts.lastReply.outcome)) },
                       { "node", attempts.lastNode.text() },
                       { "may_have_run", attempts.mayHaveRun ? "yes" : "no" } });
        }
    }
    return finishRequest(ingress, std::move(attempts));
}

void IngressHandler::recordAttempt(const NodeName &node, AttemptHistory &attempts)
{
    const bool ran = !neverRan(attempts.lastReply.outcome);
    attempts.mayHaveRun = attempts.mayHaveRun || ran;
    attempts.possibleRuns += ran ? 1 : 0;
    auto &nodes = ran || attempts.lastReply.outcome == RunOutcome::Rejected ? attempts.sentTo : attempts.refusedBy;
    if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
        nodes.push_back(node);
    }
    if (const auto wait = attempts.lastReply.retryAfterMilliseconds; wait > 0) {
        attempts.retryAfterMilliseconds = attempts.retryAfterMilliseconds == 0 ? wait : std::min(wait, attempts.retryAfterMilliseconds);
    }
}

PlacementRequest IngressHandler::placedRequest(const IngressRequest &ingress) const
{
    constexpr double Milli = 1000;
    PlacementRequest placed;
    placed.idempotent = ingress.route->idempotent;
    placed.objectiveSeconds = ingress.route->objectiveMilliseconds / Milli;
    const auto found = m_averageResponses.find(ingress.route->name);
    if (found != m_averageResponses.end()) {
        placed.typicalSeconds = found->second.seconds;
        placed.typicalBytes = found->second.bytes;
    }
    return placed;
}

std::optional<UpstreamOption> IngressHandler::selectUpstream(const IngressRequest &ingress, const AttemptHistory &attempts)
{
    auto options = m_environment.upstreamOptions(ingress.service);
    std::vector<UpstreamCandidate> candidates;
    candidates.reserve(options.size());
    const auto contains = [](const std::vector<NodeName> &nodes, const NodeName &node) {
        return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
    };
    for (auto &it : options) {
        it.candidate.tried = contains(attempts.refusedBy, it.node) || contains(attempts.sentTo, it.node);
        candidates.push_back(it.candidate);
    }
    const PlacementRequest placed = placedRequest(ingress);
    std::optional<std::size_t> index;
    if (attempts.sentTo.size() < std::max(1U, ingress.route->maximumAttempts)) {
        index = m_chooser.choose(candidates, placed);
    }
    if (!index && !attempts.sentTo.empty()) {
        // The route allows no further upstream, or none is left: retry one that rejected the request or failed during it.
        for (std::size_t n = 0; n < options.size(); ++n) {
            candidates[n].tried = contains(attempts.refusedBy, options[n].node) || !contains(attempts.sentTo, options[n].node);
        }
        index = m_chooser.choose(candidates, placed);
    }
    if (!index) {
        return std::nullopt;
    }
    return std::move(options[*index]);
}

RunReply IngressHandler::runAttempt(const UpstreamOption &option,
                                    const HttpRequestMessage &request,
                                    const IngressRequest &ingress,
                                    PendingRequest &pending,
                                    AttemptHistory &attempts)
{
    const bool mayRunAgain = attempts.mayHaveRun;
    RunFrame frame;
    frame.service = ingress.service;
    frame.route = ingress.route->name;
    frame.origin = ingress.origin;
    frame.origin.retry = frame.origin.retry || mayRunAgain;
    frame.idempotent = ingress.route->idempotent;
    const auto remaining =
        std::chrono::duration_cast<std::chrono::microseconds>(ingress.deadline - m_environment.loop.clock().now()).count();
    frame.remainingMicroseconds = static_cast<std::uint32_t>(std::max<std::int64_t>(remaining, 0));
    frame.fingerprint = ingress.fingerprint;
    frame.request = request;

    // Shared with the reply handler, because the result may arrive after this fiber has stopped waiting.
    struct State {
        std::optional<RunReply> result;
        PendingRequest *pending = nullptr;
    };
    const auto state = std::make_shared<State>();
    state->pending = &pending;
    auto done = [state](RunReply &&result) {
        state->result = std::move(result);
        if (state->pending != nullptr) {
            state->pending->wake();
        }
    };
    const std::uint64_t callId =
        option.link ? option.link->call(std::move(frame), std::move(done)) : m_environment.runner.submit(std::move(frame), std::move(done));
    const TimePoint attemptEnd = attemptDeadline(ingress);
    bool awaitsAttemptDeadline = attemptEnd < ingress.deadline;
    while (!state->result && !pending.cancelled()) {
        if (pending.wait(awaitsAttemptDeadline ? attemptEnd : ingress.deadline) == WakeReason::Woken || state->result) {
            continue;
        }
        if (!awaitsAttemptDeadline) {
            break;
        }
        awaitsAttemptDeadline = false;
        const bool mayRetryElsewhere = ingress.route->idempotent && !mayRunAgain && ingress.route->maximumAttempts > 1;
        if (mayRetryElsewhere && !acquireRetry(ingress, false)) {
            m_environment.metrics.counter("pimentohollow_impatient_repeats_total").add();
            attempts.retryGranted = true;
            state->pending = nullptr;
            option.link ? option.link->cancel(callId) : m_environment.runner.cancel(callId);
            return replyWithoutResponse(RunOutcome::TimedOut);
        }
    }
    state->pending = nullptr;
    if (state->result) {
        return std::move(*state->result);
    }
    option.link ? option.link->cancel(callId) : m_environment.runner.cancel(callId);
    return replyWithoutResponse(RunOutcome::TimedOut);
}

std::uint32_t IngressHandler::retryRank(const IngressRequest &ingress, bool callFailed)
{
    return ingress.origin.rank + (ingress.origin.nested ? NestedCallRetryRank : 0) + (callFailed ? FailedCallRetryRank : 0);
}

std::optional<Duration> IngressHandler::acquireRetry(const IngressRequest &ingress, bool callFailed)
{
    const auto found = m_averageResponses.find(ingress.route->name);
    const auto tree = found == m_averageResponses.end() ? std::vector<ServiceCalls>() : found->second.serviceCalls;
    return m_environment.retryBudget.acquireRetry(ingress.service, retryRank(ingress, callFailed), tree, m_environment.loop.now());
}

bool IngressHandler::awaitRetry(const IngressRequest &ingress, PendingRequest &pending, const AttemptHistory &attempts)
{
    const bool allowed = ingress.route->idempotent || attempts.lastReply.outcome == RunOutcome::Rejected;
    if (!allowed || attempts.possibleRuns >= std::max(1U, ingress.route->maximumAttempts)) {
        return false;
    }
    const auto found = m_averageResponses.find(ingress.route->name);
    const std::chrono::duration<double> average(found == m_averageResponses.end() ? 0 : found->second.seconds);
    const auto &clock = m_environment.loop.clock();
    const TimePoint latestStart = ingress.deadline - std::chrono::duration_cast<Duration>(average * MinimumRetryTimeFactor);
    const TimePoint latestGrant = std::min(latestStart, clock.now() + MaximumRetryWait);
    while (!pending.cancelled() && clock.now() <= latestGrant) {
        const auto wait = acquireRetry(ingress, attempts.lastReply.callFailed);
        if (!wait) {
            return true;
        }
        const TimePoint nextTry = clock.now() + std::max<Duration>(*wait, MinimumRetryPollInterval);
        if (nextTry > latestGrant) {
            return false;
        }
        while (!pending.cancelled() && pending.wait(nextTry) == WakeReason::Woken) {
        }
    }
    return false;
}

TimePoint IngressHandler::attemptDeadline(const IngressRequest &ingress) const
{
    const auto found = m_averageResponses.find(ingress.route->name);
    if (found == m_averageResponses.end()) {
        return ingress.deadline;
    }
    const double seconds = found->second.seconds;
    const auto attemptTimeout = std::max<Duration>(
        MinimumAttemptTimeout, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * AttemptTimeoutFactor)));
    const auto average = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    const TimePoint attemptEnd = m_environment.loop.now() + attemptTimeout;
    return attemptEnd + average < ingress.deadline ? attemptEnd : ingress.deadline;
}

HttpResponseMessage IngressHandler::finishRequest(const IngressRequest &ingress, AttemptHistory &&attempts)
{
    m_environment.metrics.counter("pimentohollow_requests_total", { { "outcome", RunOutcomeNames.name(attempts.lastReply.outcome) } })
        .add();
    if (attempts.lastReply.outcome == RunOutcome::Answered) {
        m_environment.metrics.histogram("pimentohollow_request_seconds").record(m_environment.loop.clock().now() - ingress.arrivedAt);
        logPlacement(ingress, attempts);
        return std::move(attempts.lastReply.response);
    }
    const bool notOffered = attempts.offers == 0;
    const auto reason = notOffered ? std::string_view("no_upstream") : RunOutcomeNames.name(attempts.lastReply.outcome);
    const auto inputs = fmt::format("node={} offers={} report_age_ms={} may_have_run={}",
                                    attempts.lastNode.text(),
                                    attempts.offers,
                                    std::chrono::duration_cast<std::chrono::milliseconds>(attempts.reportAge).count(),
                                    attempts.mayHaveRun ? "yes" : "no");
    if (!attempts.mayHaveRun) {
        const Duration wait = attempts.retryAfterMilliseconds == 0 ? Duration(DefaultRetryAfter)
                                                                   : Duration(std::chrono::milliseconds(attempts.retryAfterMilliseconds));
        return refuse(
            ingress, ServiceUnavailable, reason, wait + std::chrono::duration_cast<Duration>(wait * (m_environment.random.unit() / 2)));
    }
    return refuse(ingress, attempts.lastReply.outcome == RunOutcome::TimedOut ? GatewayTimeout : BadGateway, reason, {}, inputs);
}

HttpResponseMessage IngressHandler::finishAbandoned(const IngressRequest &ingress, const AttemptHistory &attempts)
{
    m_environment.metrics.counter("pimentohollow_callers_left_total").add();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_environment.loop.clock().now() - ingress.arrivedAt);
    Log.info("caller_left",
             { { "request", ingress.requestId },
               { "route", ingress.route->name.text() },
               { "service", ingress.service.text() },
               { "node", attempts.lastNode.text() },
               { "offers", std::to_string(attempts.offers) },
               { "held_ms", std::to_string(elapsed.count()) } });
    HttpResponseMessage response;
    response.status = GatewayTimeout;
    return response;
}

void IngressHandler::logPlacement(const IngressRequest &ingress, const AttemptHistory &attempts)
{
    const TimePoint now = m_environment.loop.now();
    if (now - m_placementLogPeriodStart >= std::chrono::seconds(1)) {
        m_placementLogPeriodStart = now;
        m_loggedPlacements = 0;
    }
    if (m_loggedPlacements++ >= MaximumPlacementLogsPerSecond) {
        return;
    }
    Log.info("placed",
             { { "request", ingress.requestId },
               { "status", std::to_string(attempts.lastReply.response.status) },
               { "node", attempts.lastNode.text() },
               { "offers", std::to_string(attempts.offers) },
               { "report_age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(attempts.reportAge).count()) },
               { "rules", std::to_string(ingress.rules->version()) } });
}

HttpResponseMessage IngressHandler::refuse(
    const IngressRequest &ingress, std::uint16_t status, std::string_view reason, Duration retryAfter, const std::string &inputs)
{
    m_environment.metrics.counter("pimentohollow_refusals_total", { { "reason", reason } }).add();
    const auto ms = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    Log.info("refused",
             { { "request", ingress.requestId },
               { "status", std::to_string(status) },
               { "reason", std::string(reason) },
               { "route", ingress.route == nullptr ? "" : ingress.route->name.text() },
               { "account", ingress.account == nullptr ? "" : ingress.account->name.text() },
               { "service", ingress.service.text() },
               { "rank", std::to_string(ingress.origin.rank) },
               { "rules", ingress.rules ? std::to_string(ingress.rules->version()) : "" },
               { "held_ms", ms(m_environment.loop.clock().now() - ingress.arrivedAt) },
               { "retry_after_ms", ms(retryAfter) },
               { "inputs", inputs } });
    HttpResponseMessage response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain" });
    if (!ingress.requestId.empty()) {
        response.headers.push_back({ m_environment.headers.requestId, ingress.requestId });
    }
    if (retryAfter > Duration::zero()) {
        response.headers.push_back({ "Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter).count()) });
    }
    response.body = reason;
    return response;
}

void IngressHandler::recordResult(const IngressRequest &ingress, const RunReply &result, TimePoint startedAt)
{
    if (ingress.parent != 0) {
        m_environment.runner.addCallWork(ingress.parent, result.work);
    }
    if (result.outcome != RunOutcome::Answered || result.response.status >= FirstServerError) {
        return;
    }
    if (!ingress.origin.nested) {
        m_environment.treeAdmission.recordWork(ingress.callTree, result.work);
    }
    const double seconds = std::chrono::duration<double>(m_environment.loop.clock().now() - startedAt).count();
    const auto bytes = static_cast<double>(ingress.requestBodyBytes + result.response.body.size() + EstimatedHeadBytes);
    auto &average = m_averageResponses[ingress.route->name];
    const double weight = average.seconds == 0 ? 1 : ResponseAverageWeight;
    average.seconds += weight * (seconds - average.seconds);
    average.bytes += weight * (bytes - average.bytes);
    for (auto &it : average.serviceCalls) {
        it.calls -= weight * it.calls;
    }
    for (const auto &it : result.work) {
        const auto existing = std::find_if(average.serviceCalls.begin(), average.serviceCalls.end(), [&it](const ServiceCalls &calls) {
            return calls.service == it.service;
        });
        auto &calls = existing == average.serviceCalls.end() ? average.serviceCalls.emplace_back(ServiceCalls{ it.service, 0 }) : *existing;
        calls.calls += weight * it.runs;
    }
}

} // namespace Pimentohollow
