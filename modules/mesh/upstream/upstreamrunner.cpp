#include "mesh/upstream/upstreamrunner.h"

#include "core/logger.h"
#include "http/server/messagewriter.h"
#include "mesh/upstream/responsenotice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** A healthy upstream on the same VM accepts within milliseconds. */
constexpr std::chrono::milliseconds ConnectTimeout(400);
constexpr std::chrono::milliseconds ReconnectProbeInterval(150);
constexpr std::chrono::milliseconds ProbeResultPollInterval(5);
/** Extra time after the deadline for the upstream's own timeout response to arrive. */
constexpr std::chrono::milliseconds ResponseGracePeriod(15);
/** Idle timeout assumed for an upstream that doesn't announce one; most close idle connections after ten seconds. */
constexpr std::chrono::seconds DefaultIdleTimeout(4);
/** Subtracted from the upstream's idle timeout, so that it doesn't close the connection while a request is in transit. */
constexpr std::chrono::milliseconds IdleTimeoutMargin(1000);
/** Longest idle time of a connection for a non-idempotent request: if the upstream closes the connection, such a request can't be retried.
 */
constexpr std::chrono::milliseconds MaximumNonIdempotentIdle(300);
/** Late responses to earlier requests that are skipped on a connection. */
constexpr int MaximumStaleResponses = 3;
/** Bounds the ids that a connection keeps; a connection with more refusals is closed. */
constexpr std::size_t MaximumRefusalsPerConnection = 32;
/** Weight of one request in the averages of quality and run time. */
constexpr double QualityWeight = 0.04;
constexpr double RunTimeWeight = 0.05;
/** Factor on the reported quality of an upstream during its slow phase after a start. */
constexpr double ColdStartQualityFactor = 0.85;
const Logger Log("upstream");

std::string incarnationOf(const UpstreamReport &announcement)
{
    return announcement.id + "@" + std::to_string(announcement.startedAt);
}

double qualityOf(const RunReply &result)
{
    constexpr std::uint16_t FirstServerError = 500;
    constexpr double TimedOutQuality = 0.2;
    if (result.outcome == RunOutcome::TimedOut) {
        return TimedOutQuality;
    }
    return result.outcome == RunOutcome::Answered && result.response.status < FirstServerError ? 1 : 0;
}

} // namespace

UpstreamRunner::UpstreamRunner(Environment environment)
    : m_environment(std::move(environment))
    , m_lifecycle(m_environment.settings.announceInterval)
{
}

std::uint64_t UpstreamRunner::submit(RunFrame frame, ReplyHandler done)
{
    const TimePoint now = m_environment.loop.now();
    auto job = std::make_shared<Job>();
    job->ticket = ++m_nextTicket;
    job->expiry = now + std::chrono::microseconds(frame.remainingMicroseconds);
    job->frame = std::move(frame);
    job->done = std::move(done);
    m_jobs.emplace(job->ticket, job);
    if (!isAccepting() || job->frame.service != m_environment.settings.service) {
        refuse(job->ticket, m_unreachable && m_lifecycle.isKnown() ? RunOutcome::Unreachable : RunOutcome::Leaving);
        return job->ticket;
    }
    const Duration usual = m_queue.runTime(job->frame.route);
    if (!m_environment.shutdownPlan.canFinish(
            job->expiry - now, usual > Duration::zero() ? usual + m_queue.expectedWait() : Duration::zero(), now)) {
        refuse(job->ticket, RunOutcome::Leaving);
        return job->ticket;
    }
    const auto verdict = m_environment.crashes.check(job->frame.fingerprint, m_environment.settings.node);
    if (verdict == PoisonVerdict::Refuse || verdict == PoisonVerdict::Wait) {
        Log.warning(
            "request_suspected",
            { { "fingerprint", job->frame.fingerprint.hex() }, { "verdict", verdict == PoisonVerdict::Refuse ? "refuse" : "wait" } });
        refuse(job->ticket, verdict == PoisonVerdict::Refuse ? RunOutcome::Poisonous : RunOutcome::Full);
        return job->ticket;
    }
    const auto decision =
        m_queue.offer({ job->ticket, job->frame.route, job->frame.origin.rank, job->frame.origin.nested, job->expiry }, now);
    if (std::holds_alternative<SlotGranted>(decision)) {
        start(job);
    } else if (const auto *refused = std::get_if<SlotRefused>(&decision)) {
        m_jobs.erase(job->ticket);
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(refused->retryAfter).count();
        m_environment.loop.post([done = std::move(job->done), wait] {
            done(replyWithoutResponse(RunOutcome::Full, static_cast<std::uint32_t>(wait)));
        });
    }
    return job->ticket;
}

void UpstreamRunner::cancel(std::uint64_t ticket)
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end()) {
        return;
    }
    const JobPointer job = found->second;
    job->done = nullptr;
    job->cancelled = true;
    if (m_queue.remove(ticket)) {
        m_jobs.erase(ticket);
        return;
    }
    // The upstream drops a request whose connection closes. A non-idempotent request is left to finish.
    if (job->frame.idempotent && job->connection != nullptr) {
        job->connection->socket().close();
    }
}

bool UpstreamRunner::announce(const UpstreamReport &announcement)
{
    const auto &settings = m_environment.settings;
    if (announcement.service != settings.service || announcement.address != settings.upstream) {
        Log.warning("announcement_of_another_vm",
                    { { "upstream", incarnationOf(announcement) },
                      { "service", announcement.service.text() },
                      { "address", announcement.address.text() } });
        return false;
    }
    ReportEffect effect = ReportEffect::Outdated;
    const bool wasConfirmed = m_lifecycle.isConfirmed();
    updateLifecycle([&] {
        const UpstreamReport previous = m_lifecycle.lastReport();
        effect = m_lifecycle.apply(announcement, m_environment.loop.now());
        if (effect != ReportEffect::Started && effect != ReportEffect::Updated) {
            return;
        }
        if (effect == ReportEffect::Started) {
            if (!m_incarnation.empty()) {
                recordReplacement(previous);
            }
            m_incarnation = incarnationOf(announcement);
            m_unreachable = false;
            m_notices.setIncarnation(m_incarnation);
            m_queue.setRateLimit(m_notices.requestsPerSecond(), m_environment.loop.now());
        }
        m_coldStartUntil = m_environment.loop.now() + announcement.coldTime;
        m_replaced = false;
    });
    if (effect == ReportEffect::Started) {
        Log.info("upstream_announced",
                 { { "upstream", m_incarnation },
                   { "sequence", std::to_string(announcement.sequence) },
                   { "slots", std::to_string(announcement.slots) },
                   { "state", announcement.draining ? "draining" : "ready" },
                   { "confirmed", wasConfirmed ? "yes" : "no" } });
    }
    if (m_lifecycle.isConfirmed() && !wasConfirmed) {
        Log.info("upstream_confirmed", { { "upstream", m_incarnation }, { "sequence", std::to_string(announcement.sequence) } });
    }
    return effect != ReportEffect::Outdated || announcement.draining;
}

void UpstreamRunner::deregister(const Deregistration &message)
{
    updateLifecycle([&] {
        m_lifecycle.deregister(message, m_environment.loop.clock().wallNow());
    });
}

void UpstreamRunner::recallDepartures(const UpstreamDepartures &departures, std::string_view source)
{
    if (!m_lifecycle.isRecalled()) {
        Log.info("departures_recalled", { { "departures", departures.text() }, { "source", std::string(source) } });
    }
    updateLifecycle([&] {
        m_lifecycle.recall(departures);
    });
}

void UpstreamRunner::updateLifecycle(const std::function<void()> &change)
{
    const bool wasAccepting = isAccepting();
    const UpstreamDepartures before = m_lifecycle.departures();
    change();
    applyState();
    const bool departed = m_lifecycle.departures() != before;
    if (departed) {
        Log.info("upstream_departed",
                 { { "departures", m_lifecycle.departures().text() },
                   { "upstream", m_incarnation },
                   { "in_use", m_lifecycle.isUsable() ? "yes" : "no" } });
    }
    if (departed || wasAccepting != isAccepting()) {
        m_environment.upstreamChanged();
    }
}

void UpstreamRunner::recordReplacement(const UpstreamReport &previous)
{
    Log.info("upstream_replaced", { { "old", m_incarnation } });
    m_environment.crashes.crashed({ m_environment.settings.node, static_cast<std::uint64_t>(previous.startedAt) + m_crashCount });
    m_idleConnections.clear();
    m_averageQuality = 1;
}

void UpstreamRunner::close()
{
    m_closed = true;
    applyState();
}

LoadReport UpstreamRunner::load() const
{
    LoadReport report;
    report.accepting = isAccepting();
    report.slots = m_queue.sustainableSlots();
    report.running = static_cast<std::uint32_t>(m_queue.running());
    report.waiting = static_cast<std::uint32_t>(m_queue.waiting());
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.expectedWait()).count();
    report.waitMilliseconds = m_queue.waiting() == 0 ? 0 : static_cast<std::uint32_t>(wait);
    const double occupancySeconds = std::chrono::duration<double>(m_queue.occupancyTime()).count();
    report.runMicroseconds = static_cast<std::uint32_t>(std::max(m_averageRunSeconds, occupancySeconds) * 1e6);
    report.notice = m_notices.notice();
    report.notice.departures = m_lifecycle.departures();
    report.notice.departuresComplete = m_lifecycle.isRecalled();
    constexpr double QualityScale = 255;
    const double coldStartFactor = m_environment.loop.now() < m_coldStartUntil ? ColdStartQualityFactor : 1;
    report.quality = static_cast<std::uint8_t>(std::lround(m_averageQuality * coldStartFactor * QualityScale));
    return report;
}

void UpstreamRunner::updateQueue()
{
    if (m_queue.waiting() > 0) {
        applySchedule(m_queue.schedule(m_environment.loop.now()), RunOutcome::Full);
    }
}

std::optional<UpstreamRunner::ParentRequest> UpstreamRunner::beginCall(const NestedCall &call)
{
    const auto running = runningRequests();
    const auto found = m_parentFinder.find(call, running);
    if (!found) {
        return std::nullopt;
    }
    auto &parent = *m_jobs.at(running[*found].ticket);
    ++parent.openCalls;
    ParentRequest request{ parent.ticket, parent.frame.origin };
    request.origin.nested = true;
    return request;
}

void UpstreamRunner::endCall(std::uint64_t parent, bool failed)
{
    const auto found = m_jobs.find(parent);
    if (found == m_jobs.end()) {
        return;
    }
    auto &job = *found->second;
    --job.openCalls;
    job.lastCallEndedAt = m_environment.loop.clock().now();
    job.callFailed = job.callFailed || failed;
}

void UpstreamRunner::addCallWork(std::uint64_t parent, const std::vector<ServiceWork> &work)
{
    const auto found = m_jobs.find(parent);
    if (found == m_jobs.end()) {
        return;
    }
    auto &sums = found->second->callWork;
    for (const auto &it : work) {
        const auto existing = std::find_if(sums.begin(), sums.end(), [&it](const ServiceWork &sum) {
            return sum.service == it.service;
        });
        if (existing == sums.end()) {
            sums.push_back(it);
        } else {
            existing->microseconds += it.microseconds;
            existing->runs += it.runs;
        }
    }
}

std::vector<RunningRequest> UpstreamRunner::runningRequests() const
{
    std::vector<RunningRequest> running;
    for (const auto &[ticket, job] : m_jobs) {
        if (job->running && job->sentExpiry != TimePoint{}) {
            const TimePoint activeAt = std::max(job->startedAt, job->lastCallEndedAt);
            running.push_back({ ticket, job->frame.route, job->sentExpiry, activeAt, job->openCalls });
        }
    }
    return running;
}

bool UpstreamRunner::isAccepting() const
{
    return m_lifecycle.isUsable() && !m_closed && !m_unreachable && !m_replaced;
}

void UpstreamRunner::applyState()
{
    if (isAccepting()) {
        m_queue.setSlots(m_lifecycle.lastReport().slots);
        applySchedule(m_queue.schedule(m_environment.loop.now()), RunOutcome::Full);
        return;
    }
    m_queue.setSlots(0);
    applySchedule(m_queue.refuseAll(), m_unreachable ? RunOutcome::Unreachable : RunOutcome::Leaving);
}

void UpstreamRunner::start(const JobPointer &job)
{
    job->running = true;
    job->startedAt = m_environment.loop.now();
    m_environment.crashes.started(job->frame.fingerprint, m_environment.settings.node);
    m_environment.loop.spawn([this, job] {
        run(job);
    });
}

void UpstreamRunner::run(const JobPointer &job)
{
    auto result = exchange(*job);
    if (job->cancelled && result.outcome != RunOutcome::Answered) {
        finish(job, std::move(result));
        return;
    }
    if (result.outcome == RunOutcome::Broken || result.outcome == RunOutcome::Unreachable) {
        probeAfterFailure();
    }
    recordResult(*job, result);
    finish(job, std::move(result));
}

std::optional<UpstreamRunner::UpstreamConnection> UpstreamRunner::openConnection(const Job &job)
{
    auto &loop = m_environment.loop;
    auto socket = AsyncSocket::connect(loop, m_environment.settings.upstream, std::min(job.expiry, loop.clock().now() + ConnectTimeout));
    if (!socket) {
        return std::nullopt;
    }
    UpstreamConnection connection;
    connection.http = std::make_unique<HttpConnection>(std::move(*socket));
    connection.http->countIn(m_environment.bufferBudget);
    return connection;
}

RunReply UpstreamRunner::exchange(Job &job)
{
    auto available = takeIdleConnection(job);
    if (!available) {
        available = openConnection(job);
    }
    if (!available) {
        return replyWithoutResponse(RunOutcome::Unreachable);
    }
    UpstreamConnection connection = std::move(*available);
    if (job.cancelled) {
        returnIdleConnection(std::move(connection), std::nullopt);
        return replyWithoutResponse(RunOutcome::Leaving);
    }
    bool reusable = false;
    std::optional<Duration> idleLimit;
    job.connection = connection.http.get();
    auto result = exchangeOn(connection, job, reusable, idleLimit);
    job.connection = nullptr;
    connection.used = true;
    if (result.outcome == RunOutcome::Rejected) {
        connection.refusedRequests.push_back(requestIdOf(job));
    }
    if (reusable && connection.refusedRequests.size() <= MaximumRefusalsPerConnection) {
        returnIdleConnection(std::move(connection), idleLimit);
    }
    return result;
}

RunReply UpstreamRunner::exchangeOn(UpstreamConnection &connection, Job &job, bool &reusable, std::optional<Duration> &idleLimit)
{
    const TimePoint deadline = job.expiry + ResponseGracePeriod;
    const auto sent = connection.http->socket().writeAll(serializeJobRequest(job), deadline);
    if (!sent && sent.error().kind == ErrorKind::Timeout) {
        return replyWithoutResponse(RunOutcome::TimedOut);
    }
    for (int n = 0; n <= MaximumStaleResponses; ++n) {
        auto response =
            connection.http->readResponse(job.frame.request.method == "HEAD", m_environment.bufferBudget.limit(), true, deadline);
        if (!response) {
            // The connection of a cancelled job was closed by this node, so the read error is expected.
            if (!job.cancelled) {
                Log.info("answer_unreadable",
                         { { "request", requestIdOf(job) },
                           { "fault", std::string(ReadErrorNames.name(response.error())) },
                           { "connection_error", connection.http->socket().failureText() },
                           { "held_bytes", std::to_string(m_environment.bufferBudget.reservedBytes()) } });
            }
            return replyWithoutResponse(response.error() == ReadError::Timeout ? RunOutcome::TimedOut : RunOutcome::Broken);
        }
        bool stale = false;
        const bool keepsOpen = sent && response->reusable && n == 0;
        const auto limit = response->idleLimit;
        auto result = classifyResponse(std::move(*response), job, connection.used, stale);
        if (!stale) {
            reusable = keepsOpen && result.outcome != RunOutcome::Broken;
            idleLimit = limit;
            return result;
        }
        Log.warning("stale_answer", { { "request", requestIdOf(job) } });
    }
    return replyWithoutResponse(RunOutcome::Broken);
}

std::string UpstreamRunner::serializeJobRequest(Job &job)
{
    const auto &names = m_environment.headers;
    auto &headers = job.frame.request.headers;
    const TimePoint now = m_environment.loop.clock().now();
    const auto remaining = std::max(std::chrono::floor<std::chrono::milliseconds>(job.expiry - now), std::chrono::milliseconds(1));
    const auto &route = job.frame.route;
    const auto allowed = m_parentFinder.allowedTime(route, remaining, m_queue.runTime(route), runningRequests(), now);
    job.sentExpiry = now + allowed;
    job.sentAt = now;
    job.incarnation = m_incarnation;
    setHeader(headers, names.deadline, std::to_string(allowed.count()));
    setHeader(headers, names.expectedUpstream, m_lifecycle.lastReport().id);
    return serializeRequest(job.frame.request, m_environment.settings.upstream.text());
}

RunReply UpstreamRunner::classifyResponse(ReceivedResponse &&response, const Job &job, bool mayBeLate, bool &stale)
{
    constexpr std::uint16_t Misdirected = 421;
    constexpr std::uint16_t FirstRedirect = 300;
    const auto &names = m_environment.headers;
    auto &message = response.message;
    const auto *echoedId = findHeader(message.headers, names.requestId);
    if (echoedId != nullptr && *echoedId != requestIdOf(job)) {
        stale = true;
        return {};
    }
    if (echoedId == nullptr && mayBeLate) {
        // It may be the refusal of an earlier request; this request may be running.
        return replyWithoutResponse(RunOutcome::Broken);
    }
    if (message.status == Misdirected) {
        Log.warning("upstream_misdirected", { { "expected", m_incarnation } });
        m_replaced = true;
        applyState();
        m_environment.upstreamChanged();
        return replyWithoutResponse(RunOutcome::Rejected);
    }
    recordNotice(message.headers, job);
    if (findHeader(message.headers, names.notRun) != nullptr) {
        return replyWithoutResponse(RunOutcome::Rejected);
    }
    const bool encoded = findHeader(message.headers, "Content-Encoding") != nullptr;
    const bool unsignedSuccess = message.status < FirstRedirect && findHeader(message.headers, names.stamp) == nullptr;
    if (echoedId == nullptr || encoded || unsignedSuccess) {
        return replyWithoutResponse(RunOutcome::Broken);
    }
    return { RunOutcome::Answered, 0, std::move(message), {}, false };
}

void UpstreamRunner::recordNotice(const std::vector<HttpHeader> &headers, const Job &job)
{
    if (job.incarnation != m_incarnation) {
        return;
    }
    const auto response = parseResponseNotice(headers, m_environment.headers);
    if (!response) {
        Log.warning("upstream_notice_invalid", { { "upstream", m_incarnation }, { "error", response.error().describe() } });
        return;
    }
    const UpstreamNotice previous = m_notices.notice();
    m_notices.recordResponse(*response, job.sentAt, m_environment.loop.clock().now());
    applyNotice(previous, "response");
    if (response->leaving && m_lifecycle.hasRunningProcess()) {
        Log.info("upstream_leaving", { { "upstream", m_incarnation }, { "request", requestIdOf(job) } });
        updateLifecycle([this] {
            m_lifecycle.recordLeaving();
        });
    }
}

void UpstreamRunner::applyKeptNotice(const NodeName &peer, const UpstreamNotice &notice)
{
    m_lifecycle.setKept(peer, notice.departures);
    if (notice.departuresComplete) {
        recallDepartures(notice.departures, peer.text());
    } else {
        updateLifecycle([&] {
            m_lifecycle.merge(notice.departures);
        });
    }
    const UpstreamNotice previous = m_notices.notice();
    m_notices.applyReport(notice);
    if (m_lifecycle.isKnown()) {
        applyNotice(previous, "peer");
    }
}

void UpstreamRunner::applyNotice(const UpstreamNotice &previous, std::string_view source)
{
    const UpstreamNotice current = m_notices.notice();
    if (current.milliLimit != previous.milliLimit) {
        Log.info(current.milliLimit == 0 ? "upstream_limit_ended" : "upstream_limit_named",
                 { { "upstream", m_incarnation },
                   { "milli_requests_per_s", std::to_string(current.milliLimit) },
                   { "previous", std::to_string(previous.milliLimit) },
                   { "source", std::string(source) } });
        m_queue.setRateLimit(m_notices.requestsPerSecond(), m_environment.loop.now());
    }
    if ((current.milliLimit == 0) != (previous.milliLimit == 0)) {
        m_environment.upstreamChanged();
    }
}

std::string UpstreamRunner::requestIdOf(const Job &job) const
{
    const auto *id = findHeader(job.frame.request.headers, m_environment.headers.requestId);
    return id == nullptr ? std::string() : *id;
}

std::optional<UpstreamRunner::UpstreamConnection> UpstreamRunner::takeIdleConnection(const Job &job)
{
    const TimePoint now = m_environment.loop.now();
    const std::string requestId = requestIdOf(job);
    while (!m_idleConnections.empty()) {
        auto &last = m_idleConnections.back();
        const bool mayBeReused = job.frame.idempotent || now - last.idleSince <= MaximumNonIdempotentIdle;
        const auto &refused = last.connection.refusedRequests;
        if (!mayBeReused || std::find(refused.begin(), refused.end(), requestId) != refused.end()) {
            return std::nullopt;
        }
        auto connection = std::move(last.connection);
        const bool usable = now < last.usableUntil && connection.http->isIdle();
        m_idleConnections.pop_back();
        if (usable) {
            return connection;
        }
    }
    return std::nullopt;
}

void UpstreamRunner::returnIdleConnection(UpstreamConnection connection, std::optional<Duration> idleLimit)
{
    const TimePoint now = m_environment.loop.now();
    const Duration limit = idleLimit.value_or(DefaultIdleTimeout) - IdleTimeoutMargin;
    if (limit <= Duration::zero() || m_idleConnections.size() > m_lifecycle.lastReport().slots) {
        return;
    }
    // The list is ordered by age, so the oldest connections, at the front, expire first.
    const auto expired = std::find_if(m_idleConnections.begin(), m_idleConnections.end(), [now](const IdleConnection &it) {
        return now < it.usableUntil;
    });
    m_idleConnections.erase(m_idleConnections.begin(), expired);
    m_idleConnections.push_back({ std::move(connection), now + limit, now });
}

void UpstreamRunner::finish(const JobPointer &job, RunReply &&result)
{
    const TimePoint now = m_environment.loop.clock().now();
    auto &crashes = m_environment.crashes;
    if (result.outcome == RunOutcome::Answered) {
        crashes.completed(job->frame.fingerprint, m_environment.settings.node);
    } else {
        crashes.ended(job->frame.fingerprint, m_environment.settings.node);
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - job->startedAt).count();
    result.work = std::move(job->callWork);
    result.callFailed = job->callFailed;
    result.work.push_back({ m_environment.settings.service, static_cast<std::uint32_t>(elapsed), neverRan(result.outcome) ? 0U : 1U });
    m_jobs.erase(job->ticket);
    std::optional<Duration> runTime;
    if (result.outcome == RunOutcome::Answered) {
        runTime = now - job->startedAt;
    }
    const auto schedule = m_queue.release(job->ticket, runTime, now);
    if (job->done) {
        job->done(std::move(result));
    }
    applySchedule(schedule, RunOutcome::Full);
}

void UpstreamRunner::recordResult(const Job &job, const RunReply &result)
{
    if (result.outcome == RunOutcome::Leaving) {
        return;
    }
    if (result.outcome != RunOutcome::Answered) {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_environment.loop.clock().now() - job.startedAt).count();
        Log.info("run_failed",
                 { { "request", requestIdOf(job) },
                   { "outcome", std::string(RunOutcomeNames.name(result.outcome)) },
                   { "upstream", m_incarnation },
                   { "run_ms", std::to_string(elapsed) },
                   { "running", std::to_string(m_queue.running()) },
                   { "waiting", std::to_string(m_queue.waiting()) } });
    }
    m_averageQuality += QualityWeight * (qualityOf(result) - m_averageQuality);
    if (result.outcome == RunOutcome::Answered || result.outcome == RunOutcome::TimedOut) {
        const double seconds = std::chrono::duration<double>(m_environment.loop.clock().now() - job.startedAt).count();
        m_averageRunSeconds = m_averageRunSeconds == 0 ? seconds : m_averageRunSeconds + RunTimeWeight * (seconds - m_averageRunSeconds);
        m_environment.metrics.histogram("pimentohollow_upstream_run_seconds").record(m_environment.loop.clock().now() - job.startedAt);
    }
    m_environment.metrics.counter("pimentohollow_upstream_runs_total", { { "outcome", RunOutcomeNames.name(result.outcome) } }).add();
}

void UpstreamRunner::refuse(std::uint64_t ticket, RunOutcome outcome)
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end()) {
        return;
    }
    const JobPointer job = found->second;
    m_jobs.erase(found);
    if (job->done) {
        m_environment.loop.post([done = std::move(job->done), outcome] {
            done(replyWithoutResponse(outcome));
        });
    }
}

void UpstreamRunner::applySchedule(const SlotSchedule &schedule, RunOutcome refusal)
{
    for (const auto ticket : schedule.refuse) {
        refuse(ticket, refusal);
    }
    for (const auto ticket : schedule.start) {
        const auto found = m_jobs.find(ticket);
        if (found != m_jobs.end()) {
            start(found->second);
        }
    }
}

void UpstreamRunner::probeAfterFailure()
{
    auto &loop = m_environment.loop;
    // Requests that failed together stay in flight until the probe shows whether the upstream crashed.
    while (m_probing) {
        loop.sleepFor(ProbeResultPollInterval);
    }
    if (m_unreachable) {
        return;
    }
    m_probing = true;
    const auto socket = AsyncSocket::connect(loop, m_environment.settings.upstream, loop.clock().now() + ConnectTimeout);
    m_probing = false;
    if (socket || m_unreachable) {
        return;
    }
    // A refused or unanswered connection right after a failure means that the process is gone. All requests that ran there are suspects.
    Log.warning("upstream_unreachable", { { "upstream", m_incarnation }, { "error", socket.error().describe() } });
    m_unreachable = true;
    m_environment.crashes.crashed(
        { m_environment.settings.node, static_cast<std::uint64_t>(m_lifecycle.lastReport().startedAt) + m_crashCount++ });
    m_idleConnections.clear();
    applyState();
    m_environment.upstreamChanged();
    loop.spawn([this] {
        probeUntilReachable();
    });
}

void UpstreamRunner::probeUntilReachable()
{
    auto &loop = m_environment.loop;
    while (m_unreachable && !m_closed) {
        loop.sleepFor(ReconnectProbeInterval);
        if (AsyncSocket::connect(loop, m_environment.settings.upstream, loop.clock().now() + ConnectTimeout)) {
            Log.info("upstream_reachable", { { "upstream", m_incarnation } });
            m_unreachable = false;
            applyState();
            m_environment.upstreamChanged();
        }
    }
}

} // namespace Pimentohollow
