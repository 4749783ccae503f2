#include "mesh/callers/entrypath.h"

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

constexpr std::uint16_t BadRequest = 400;
constexpr std::uint16_t Unauthorized = 401;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t TooManyRequests = 429;
constexpr std::uint16_t BadGateway = 502;
constexpr std::uint16_t ServiceUnavailable = 503;
constexpr std::uint16_t GatewayTimeout = 504;
constexpr std::uint16_t FirstServerError = 500;

/** Deadline of a request that names none and whose route has no timeout. */
constexpr std::chrono::seconds DefaultDeadline(30);
constexpr std::chrono::milliseconds LongestDeadline(600'000);
/** Times that one request may be offered to nodes; refusals of nodes cost little, but each takes a round trip. */
constexpr std::size_t MostOffers = 6;
/** Ranks by which calls come after requests of callers when repeats are short: a tree needs all of its calls, a request only itself. */
constexpr std::uint32_t CallRepeatRank = 2;
/** Ranks by which requests come after others if a call below them has failed already, and with it the repeats of that call. */
constexpr std::uint32_t FailedCallRank = 4;
/** A repeat starts only if the usual time to an answer is still left. */
constexpr double RepeatTimeShare = 1.0;
/** An attempt without an answer is repeated elsewhere after this many times the usual time to an answer. */
constexpr double PatienceFactor = 5;
constexpr std::chrono::milliseconds LeastPatience(120);
/** Placements that are logged; all of them would be most of a busy node's output. */
constexpr unsigned PlacedLinesPerSecond = 10;
/** Heads of a request and its answer between nodes, about. */
constexpr std::size_t HeadBytes = 450;
/** Weight of one answer in the mean time to an answer. */
constexpr double AnswerWeight = 0.05;
/** Return of a caller that no upstream had room for, if none says when. */
constexpr std::chrono::milliseconds UsualReturn(300);
/** Return of a caller that came before this node knows the rules. */
constexpr std::chrono::milliseconds StartReturn(500);
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
    return std::min(std::chrono::milliseconds(value), LongestDeadline);
}

} // namespace

EntryPath::EntryPath(Environment environment)
    : m_environment(std::move(environment))
    , m_chooser(m_environment.random)
{
}

HttpResponseMessage EntryPath::serve(HttpRequestMessage &&request, PendingRequest &pending)
{
    Entry entry;
    entry.arrivedAt = m_environment.loop.now();
    if (auto answer = identify(request, entry)) {
        return std::move(*answer);
    }
    if (auto answer = admit(entry)) {
        return std::move(*answer);
    }
    return forward(std::move(request), entry, pending);
}

std::optional<HttpResponseMessage> EntryPath::identify(HttpRequestMessage &request, Entry &entry)
{
    const auto &names = m_environment.headers;
    if (const auto *id = findHeader(request.headers, names.requestId)) {
        entry.requestId = *id;
    }
    entry.rules = m_environment.rules();
    if (!entry.rules) {
        return refuse(entry, ServiceUnavailable, "rules_unknown", StartReturn);
    }
    if (entry.requestId.empty()) {
        return refuse(entry, BadRequest, "request_id_missing");
    }
    const auto *host = findHeader(request.headers, "Host");
    entry.route = host == nullptr ? nullptr : entry.rules->route(*host, request.target);
    if (entry.route == nullptr) {
        return refuse(entry, NotFound, "no_route");
    }
    const auto *key = findHeader(request.headers, names.key);
    if (!entry.rules->rules().accounts.empty() && !entry.route->isPublic) {
        entry.account = key == nullptr ? nullptr : entry.rules->accountOf(*key);
        if (entry.account == nullptr) {
            return refuse(entry, Unauthorized, "key_unknown");
        }
    }
    const auto timeLimit = std::chrono::milliseconds(entry.route->timeoutMilliseconds);
    const auto asked = parseMilliseconds(findHeader(request.headers, names.deadline));
    Duration allowed = asked ? Duration(*asked) : Duration(DefaultDeadline);
    if (timeLimit.count() > 0) {
        allowed = std::min<Duration>(allowed, timeLimit);
    }
    entry.deadline = entry.arrivedAt + allowed;
    entry.origin.rootRoute = entry.route->name;
    entry.origin.rank = requestRank(*entry.route, entry.account);
    if (entry.account == nullptr && asked) {
        if (const auto parent = m_environment.runner.parentOfCall(entry.arrivedAt + *asked)) {
            entry.origin = parent->origin;
            entry.parent = parent->ticket;
        }
    }
    entry.fingerprint = RequestFingerprint::of(AccountName(entry.account == nullptr ? "" : entry.account->name.text()),
                                               RouteName(request.method + " " + request.target),
                                               request.body);
    entry.requestBytes = request.body.size();
    removeHopByHopHeaders(request.headers);
    for (const auto *it : { &names.key, &names.account, &names.callerService, &names.expectedUpstream, &names.deadline }) {
        removeHeader(request.headers, *it);
    }
    request.headers.push_back({ names.callerService, m_environment.settings.service.text() });
    if (entry.account != nullptr) {
        request.headers.push_back({ names.account, entry.account->name.text() });
    }
    return std::nullopt;
}

std::optional<HttpResponseMessage> EntryPath::admit(Entry &entry)
{
    const TimePoint now = m_environment.loop.now();
    if (entry.account != nullptr) {
        const AccountLimit limit = limitOf(*entry.account);
        if (const auto wait = m_environment.accounts.admit(entry.account->name, limit, now)) {
            const auto &account = entry.account->name;
            const auto inputs = fmt::format("share={:.3f} level={:.1f} rate={:.1f} burst={:.0f}",
                                            m_environment.accounts.share(account, now),
                                            m_environment.accounts.level(account),
                                            limit.ratePerSecond,
                                            limit.burst);
            return refuse(entry, TooManyRequests, "rate_exceeded", *wait, inputs);
        }
    }
    const auto *service = m_split.next(*entry.route);
    if (service == nullptr) {
        return refuse(entry, ServiceUnavailable, "no_service", UsualReturn);
    }
    entry.service = *service;
    entry.tree = RouteName(entry.route->name.text() + '/' + service->text());
    if (!entry.origin.nested) {
        if (const auto wait = m_environment.trees.admit(entry.tree, entry.origin.rank, now)) {
            return refuse(entry, ServiceUnavailable, "tree_shed", *wait, m_environment.trees.describe(entry.tree, entry.origin.rank));
        }
    }
    m_environment.repeats.recordRequest(entry.service, now);
    if (entry.origin.retry) {
        m_environment.repeats.charge(entry.service, now);
    }
    return std::nullopt;
}

HttpResponseMessage EntryPath::forward(HttpRequestMessage &&request, Entry &entry, PendingRequest &pending)
{
    Attempts attempts;
    while (attempts.offers < MostOffers && !pending.cancelled() && m_environment.loop.clock().now() < entry.deadline) {
        const auto way = choose(entry, attempts);
        if (!way) {
            break;
        }
        const TimePoint startedAt = m_environment.loop.clock().now();
        ++attempts.offers;
        attempts.lastNode = way->node;
        attempts.reportAge = way->link ? startedAt - way->link->loadAt() : Duration{};
        attempts.repeatPaid = false;
        attempts.last = attempt(*way, request, entry, pending, attempts);
        learn(entry, attempts.last, startedAt);
        record(way->node, attempts);
        if (pending.cancelled()) {
            return concludeAbandoned(entry, attempts);
        }
        if (attempts.last.outcome == RunOutcome::Answered && attempts.last.response.status < FirstServerError) {
            break;
        }
        // Repeating a request whose own calls failed makes all of them again, and those calls have had their repeats: while a service of
        // the tree is short, that takes room from trees that can still finish.
        const bool wasteful = attempts.last.callFailed && !m_environment.trees.isUncongested(entry.tree);
        if (attempts.last.outcome == RunOutcome::Poisonous || wasteful) {
            break;
        }
        if (attempts.repeatPaid) {
            continue;
        }
        const bool reached = attempts.last.outcome == RunOutcome::Rejected || !neverRan(attempts.last.outcome);
        if (reached && !mayRepeat(entry, attempts)) {
            break;
        }
        if (reached) {
            m_environment.metrics.counter("pimentohollow_repeats_total").add();
            Log.info("repeated",
                     { { "request", entry.requestId },
                       { "outcome", std::string(RunOutcomeNames.name(attempts.last.outcome)) },
                       { "node", attempts.lastNode.text() },
                       { "may_have_run", attempts.mayHaveRun ? "yes" : "no" } });
        }
    }
    return conclude(entry, std::move(attempts));
}

void EntryPath::record(const NodeName &node, Attempts &attempts)
{
    const bool ran = !neverRan(attempts.last.outcome);
    attempts.mayHaveRun = attempts.mayHaveRun || ran;
    attempts.runs += ran ? 1 : 0;
    auto &nodes = ran || attempts.last.outcome == RunOutcome::Rejected ? attempts.sentTo : attempts.refusedBy;
    if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
        nodes.push_back(node);
    }
    if (const auto wait = attempts.last.retryAfterMilliseconds; wait > 0) {
        attempts.retryAfterMilliseconds = attempts.retryAfterMilliseconds == 0 ? wait : std::min(wait, attempts.retryAfterMilliseconds);
    }
}

PlacementRequest EntryPath::placedRequest(const Entry &entry) const
{
    constexpr double Milli = 1000;
    PlacementRequest placed;
    placed.idempotent = entry.route->idempotent;
    placed.objectiveSeconds = entry.route->objectiveMilliseconds / Milli;
    const auto found = m_answers.find(entry.route->name);
    if (found != m_answers.end()) {
        placed.typicalSeconds = found->second.seconds;
        placed.typicalBytes = found->second.bytes;
    }
    return placed;
}

std::optional<UpstreamWay> EntryPath::choose(const Entry &entry, const Attempts &attempts)
{
    auto ways = m_environment.ways(entry.service);
    std::vector<UpstreamCandidate> candidates;
    candidates.reserve(ways.size());
    const auto contains = [](const std::vector<NodeName> &nodes, const NodeName &node) {
        return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
    };
    for (auto &it : ways) {
        it.candidate.tried = contains(attempts.refusedBy, it.node) || contains(attempts.sentTo, it.node);
        candidates.push_back(it.candidate);
    }
    const PlacementRequest placed = placedRequest(entry);
    std::optional<std::size_t> index;
    if (attempts.sentTo.size() < std::max(1U, entry.route->maximumAttempts)) {
        index = m_chooser.choose(candidates, placed);
    }
    if (!index && !attempts.sentTo.empty()) {
        // The route allows no further upstream, or there is none: one that rejected it or broke off may do better now.
        for (std::size_t n = 0; n < ways.size(); ++n) {
            candidates[n].tried = contains(attempts.refusedBy, ways[n].node) || !contains(attempts.sentTo, ways[n].node);
        }
        index = m_chooser.choose(candidates, placed);
    }
    if (!index) {
        return std::nullopt;
    }
    return std::move(ways[*index]);
}

RunReply EntryPath::attempt(
    const UpstreamWay &way, const HttpRequestMessage &request, const Entry &entry, PendingRequest &pending, Attempts &attempts)
{
    const bool repeat = attempts.mayHaveRun;
    RunFrame frame;
    frame.service = entry.service;
    frame.route = entry.route->name;
    frame.origin = entry.origin;
    frame.origin.retry = frame.origin.retry || repeat;
    frame.idempotent = entry.route->idempotent;
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(entry.deadline - m_environment.loop.clock().now()).count();
    frame.remainingMicroseconds = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
    frame.fingerprint = entry.fingerprint;
    frame.request = request;

    // Owned by the handler as well: the result may come after this fiber has gone on.
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
    const std::uint64_t call =
        way.link ? way.link->call(std::move(frame), std::move(done)) : m_environment.runner.submit(std::move(frame), std::move(done));
    const TimePoint patience = attemptDeadline(entry);
    bool patient = patience < entry.deadline;
    while (!state->result && !pending.cancelled()) {
        if (pending.wait(patient ? patience : entry.deadline) == WakeReason::Woken || state->result) {
            continue;
        }
        if (!patient) {
            break;
        }
        patient = false;
        const bool repeatable = entry.route->idempotent && !repeat && entry.route->maximumAttempts > 1;
        if (repeatable && tryRepeat(entry, false)) {
            m_environment.metrics.counter("pimentohollow_impatient_repeats_total").add();
            attempts.repeatPaid = true;
            state->pending = nullptr;
            way.link ? way.link->cancel(call) : m_environment.runner.cancel(call);
            return replyWithoutResponse(RunOutcome::TimedOut);
        }
    }
    state->pending = nullptr;
    if (state->result) {
        return std::move(*state->result);
    }
    way.link ? way.link->cancel(call) : m_environment.runner.cancel(call);
    return replyWithoutResponse(RunOutcome::TimedOut);
}

std::uint32_t EntryPath::repeatRank(const Entry &entry, bool callFailed)
{
    return entry.origin.rank + (entry.origin.nested ? CallRepeatRank : 0) + (callFailed ? FailedCallRank : 0);
}

bool EntryPath::tryRepeat(const Entry &entry, bool callFailed)
{
    const auto found = m_answers.find(entry.route->name);
    const auto tree = found == m_answers.end() ? std::vector<ServiceCalls>() : found->second.tree;
    return m_environment.repeats.tryAcquireRetry(entry.service, repeatRank(entry, callFailed), tree, m_environment.loop.now());
}

bool EntryPath::mayRepeat(const Entry &entry, const Attempts &attempts)
{
    const bool allowed = entry.route->idempotent || attempts.last.outcome == RunOutcome::Rejected;
    if (!allowed || attempts.runs >= std::max(1U, entry.route->maximumAttempts)) {
        return false;
    }
    const auto found = m_answers.find(entry.route->name);
    const double usual = found == m_answers.end() ? 0 : found->second.seconds;
    const double left = std::chrono::duration<double>(entry.deadline - m_environment.loop.clock().now()).count();
    if (left < usual * RepeatTimeShare) {
        return false;
    }
    return tryRepeat(entry, attempts.last.callFailed);
}

TimePoint EntryPath::attemptDeadline(const Entry &entry) const
{
    const auto found = m_answers.find(entry.route->name);
    if (found == m_answers.end()) {
        return entry.deadline;
    }
    const double seconds = found->second.seconds;
    const auto patience =
        std::max<Duration>(LeastPatience, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * PatienceFactor)));
    const auto usual = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    const TimePoint due = m_environment.loop.now() + patience;
    return due + usual < entry.deadline ? due : entry.deadline;
}

HttpResponseMessage EntryPath::conclude(const Entry &entry, Attempts &&attempts)
{
    const bool failed = attempts.last.outcome != RunOutcome::Answered || attempts.last.response.status >= FirstServerError;
    if (entry.parent != 0 && failed) {
        m_environment.runner.noteFailedCall(entry.parent);
    }
    m_environment.metrics.counter("pimentohollow_requests_total", { { "outcome", RunOutcomeNames.name(attempts.last.outcome) } }).add();
    if (attempts.last.outcome == RunOutcome::Answered) {
        m_environment.metrics.histogram("pimentohollow_request_seconds").record(m_environment.loop.clock().now() - entry.arrivedAt);
        logPlaced(entry, attempts);
        return std::move(attempts.last.response);
    }
    const bool none = attempts.offers == 0;
    const auto reason = none ? std::string_view("no_upstream") : RunOutcomeNames.name(attempts.last.outcome);
    const auto inputs = fmt::format("node={} offers={} report_age_ms={} may_have_run={}",
                                    attempts.lastNode.text(),
                                    attempts.offers,
                                    std::chrono::duration_cast<std::chrono::milliseconds>(attempts.reportAge).count(),
                                    attempts.mayHaveRun ? "yes" : "no");
    if (!attempts.mayHaveRun) {
        const Duration wait = attempts.retryAfterMilliseconds == 0 ? Duration(UsualReturn)
                                                                   : Duration(std::chrono::milliseconds(attempts.retryAfterMilliseconds));
        return refuse(
            entry, ServiceUnavailable, reason, wait + std::chrono::duration_cast<Duration>(wait * (m_environment.random.unit() / 2)));
    }
    return refuse(entry, attempts.last.outcome == RunOutcome::TimedOut ? GatewayTimeout : BadGateway, reason, {}, inputs);
}

HttpResponseMessage EntryPath::concludeAbandoned(const Entry &entry, const Attempts &attempts)
{
    m_environment.metrics.counter("pimentohollow_callers_left_total").add();
    const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(m_environment.loop.clock().now() - entry.arrivedAt);
    Log.info("caller_left",
             { { "request", entry.requestId },
               { "route", entry.route->name.text() },
               { "service", entry.service.text() },
               { "node", attempts.lastNode.text() },
               { "offers", std::to_string(attempts.offers) },
               { "held_ms", std::to_string(held.count()) } });
    HttpResponseMessage response;
    response.status = GatewayTimeout;
    return response;
}

void EntryPath::logPlaced(const Entry &entry, const Attempts &attempts)
{
    const TimePoint now = m_environment.loop.now();
    if (now - m_placedSince >= std::chrono::seconds(1)) {
        m_placedSince = now;
        m_placedLogged = 0;
    }
    if (m_placedLogged++ >= PlacedLinesPerSecond) {
        return;
    }
    Log.info("placed",
             { { "request", entry.requestId },
               { "status", std::to_string(attempts.last.response.status) },
               { "node", attempts.lastNode.text() },
               { "offers", std::to_string(attempts.offers) },
               { "report_age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(attempts.reportAge).count()) },
               { "rules", std::to_string(entry.rules->version()) } });
}

HttpResponseMessage
EntryPath::refuse(const Entry &entry, std::uint16_t status, std::string_view reason, Duration retryAfter, const std::string &inputs)
{
    m_environment.metrics.counter("pimentohollow_refusals_total", { { "reason", reason } }).add();
    const auto ms = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    Log.info("refused",
             { { "request", entry.requestId },
               { "status", std::to_string(status) },
               { "reason", std::string(reason) },
               { "route", entry.route == nullptr ? "" : entry.route->name.text() },
               { "account", entry.account == nullptr ? "" : entry.account->name.text() },
               { "service", entry.service.text() },
               { "rank", std::to_string(entry.origin.rank) },
               { "rules", entry.rules ? std::to_string(entry.rules->version()) : "" },
               { "held_ms", ms(m_environment.loop.clock().now() - entry.arrivedAt) },
               { "retry_after_ms", ms(retryAfter) },
               { "inputs", inputs } });
    HttpResponseMessage response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain" });
    if (!entry.requestId.empty()) {
        response.headers.push_back({ m_environment.headers.requestId, entry.requestId });
    }
    if (retryAfter > Duration::zero()) {
        response.headers.push_back({ "Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter).count()) });
    }
    response.body = reason;
    return response;
}

void EntryPath::learn(const Entry &entry, const RunReply &result, TimePoint startedAt)
{
    if (entry.parent != 0) {
        m_environment.runner.addCallWork(entry.parent, result.work);
    }
    if (result.outcome != RunOutcome::Answered || result.response.status >= FirstServerError) {
        return;
    }
    if (!entry.origin.nested) {
        m_environment.trees.recordWork(entry.tree, result.work);
    }
    const double seconds = std::chrono::duration<double>(m_environment.loop.clock().now() - startedAt).count();
    const auto bytes = static_cast<double>(entry.requestBytes + result.response.body.size() + HeadBytes);
    auto &usual = m_answers[entry.route->name];
    const double weight = usual.seconds == 0 ? 1 : AnswerWeight;
    usual.seconds += weight * (seconds - usual.seconds);
    usual.bytes += weight * (bytes - usual.bytes);
    for (auto &it : usual.tree) {
        it.calls -= weight * it.calls;
    }
    for (const auto &it : result.work) {
        const auto same = std::find_if(usual.tree.begin(), usual.tree.end(), [&it](const ServiceCalls &calls) {
            return calls.service == it.service;
        });
        auto &calls = same == usual.tree.end() ? usual.tree.emplace_back(ServiceCalls{ it.service, 0 }) : *same;
        calls.calls += weight * it.runs;
    }
}

} // namespace Pimentohollow
