#include "mesh/upstream/upstreamrunner.h"

#include "core/logger.h"
#include "http/server/messagewriter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** A healthy upstream on the same VM accepts within milliseconds. */
constexpr std::chrono::milliseconds ConnectTime(400);
constexpr std::chrono::milliseconds ProbePause(150);
constexpr std::chrono::milliseconds ProbeWait(5);
/** Time after the deadline in which an upstream's own answer to it may still arrive. */
constexpr std::chrono::milliseconds AnswerSlack(15);
/** Idle time of connections of an upstream that doesn't name one; most close theirs after ten seconds. */
constexpr std::chrono::seconds DefaultIdleLimit(4);
/** Kept back from the idle time that an upstream names, so that it doesn't close while a request is on its way. */
constexpr std::chrono::milliseconds IdleMargin(1000);
/** Non-idempotent requests go only on connections used so lately: one that the upstream closes meanwhile can't be repeated. */
constexpr std::chrono::milliseconds FreshIdle(300);
/** Late answers to earlier requests that are skipped on a connection. */
constexpr int MostStaleAnswers = 3;
/** Weight of one request in the averages of quality and run time. */
constexpr double QualityWeight = 0.04;
constexpr double RunWeight = 0.05;
/** A call's deadline is passed on in whole milliseconds and takes a few to arrive. */
constexpr std::chrono::milliseconds CallExpiryError(12);
/** Part of its quality that an upstream is taken to have while it is slow after its start. */
constexpr double ColdQuality = 0.85;
const Logger Log("upstream");

std::string incarnationOf(const UpstreamReport &announcement)
{
    return announcement.id + "@" + std::to_string(announcement.startedAt);
}

double qualityOf(const RunReply &result)
{
    constexpr std::uint16_t FirstServerError = 500;
    constexpr double LateQuality = 0.2;
    if (result.outcome == RunOutcome::TimedOut) {
        return LateQuality;
    }
    return result.outcome == RunOutcome::Answered && result.response.status < FirstServerError ? 1 : 0;
}

} // namespace

UpstreamRunner::UpstreamRunner(Environment environment)
    : m_environment(std::move(environment))
{
}

std::uint64_t UpstreamRunner::submit(RunFrame frame, Done done)
{
    const TimePoint now = m_environment.loop.now();
    auto job = std::make_shared<Job>();
    job->ticket = ++m_nextTicket;
    job->expiry = now + std::chrono::microseconds(frame.remainingMicroseconds);
    job->frame = std::move(frame);
    job->done = std::move(done);
    m_jobs.emplace(job->ticket, job);
    if (!isAccepting() || job->frame.service != m_environment.settings.service) {
        refuse(job->ticket, m_unreachable && m_announced ? RunOutcome::Unreachable : RunOutcome::Leaving);
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
        m_queue.offer({ job->ticket, job->frame.route, job->frame.origin.rank, job->frame.origin.inner, job->expiry }, now);
    if (std::holds_alternative<SlotGranted>(decision)) {
        start(job);
    } else if (const auto *refused = std::get_if<SlotRefused>(&decision)) {
        m_jobs.erase(job->ticket);
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(refused->retryAfter).count();
        m_environment.loop.post([done = std::move(job->done), wait] {
            done(withoutAnswer(RunOutcome::Full, static_cast<std::uint32_t>(wait)));
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
    // The upstream drops a request whose connection closes. One that may run only once is left to end by itself.
    if (job->frame.idempotent && job->connection != nullptr) {
        job->connection->socket().close();
    }
}

bool UpstreamRunner::announce(const UpstreamReport &announcement)
{
    if (announcement.service != m_environment.settings.service) {
        return false;
    }
    const std::string incarnation = incarnationOf(announcement);
    const bool same = m_announced && incarnation == m_incarnation;
    const bool older = m_announced && (announcement.startedAt < m_known.startedAt || (same && announcement.sequence <= m_known.sequence));
    if (older || incarnation == m_departed) {
        return !older || same;
    }
    const bool before = isAccepting();
    if (!same && m_announced) {
        Log.info("upstream_replaced", { { "old", m_incarnation }, { "new", incarnation } });
        m_environment.crashes.crashed({ m_environment.settings.node, static_cast<std::uint64_t>(m_known.startedAt) + m_crashes });
        m_idle.clear();
        m_quality = 1;
    }
    m_incarnation = incarnation;
    m_known = announcement;
    m_coldUntil = m_environment.loop.now() + announcement.coldTime;
    m_announced = true;
    m_replaced = false;
    if (!same) {
        m_unreachable = false;
    }
    applyState();
    if (before != isAccepting() || !same) {
        Log.info("upstream_announced",
                 { { "upstream", incarnation },
                   { "sequence", std::to_string(announcement.sequence) },
                   { "slots", std::to_string(announcement.slots) },
                   { "state", announcement.draining ? "draining" : "ready" } });
    }
    if (announcement.draining) {
        m_departed = incarnation;
    }
    if (before != isAccepting()) {
        m_environment.stateChanged();
    }
    return true;
}

bool UpstreamRunner::depart(const std::string &id)
{
    if (m_announced && m_known.id != id) {
        return false;
    }
    const bool before = isAccepting();
    if (m_announced) {
        m_known.draining = true;
        m_departed = m_incarnation;
    }
    applyState();
    Log.info("upstream_departed", { { "upstream", id } });
    if (before) {
        m_environment.stateChanged();
    }
    return true;
}

void UpstreamRunner::setDeparted(const std::string &incarnation)
{
    m_departed = incarnation;
    if (m_announced && incarnation == m_incarnation) {
        m_known.draining = true;
        applyState();
    }
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
    report.slots = m_queue.usableSlots();
    report.running = static_cast<std::uint32_t>(m_queue.running());
    report.waiting = static_cast<std::uint32_t>(m_queue.waiting());
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.expectedWait()).count();
    report.waitMilliseconds = m_queue.waiting() == 0 ? 0 : static_cast<std::uint32_t>(wait);
    report.runMicroseconds = static_cast<std::uint32_t>(m_runSeconds * 1e6);
    constexpr double QualityScale = 255;
    const double cold = m_environment.loop.now() < m_coldUntil ? ColdQuality : 1;
    report.quality = static_cast<std::uint8_t>(std::lround(m_quality * cold * QualityScale));
    return report;
}

void UpstreamRunner::tick()
{
    if (m_queue.waiting() > 0) {
        apply(m_queue.schedule(m_environment.loop.now()), RunOutcome::Full);
    }
}

std::optional<UpstreamRunner::ParentRun> UpstreamRunner::parentOfCall(TimePoint expiry) const
{
    const Job *best = nullptr;
    Duration bestDistance = Duration::max();
    const Job *later = nullptr;
    for (const auto &[ticket, job] : m_jobs) {
        if (!job->running) {
            continue;
        }
        const Duration distance = job->expiry > expiry ? job->expiry - expiry : expiry - job->expiry;
        if (distance < bestDistance) {
            bestDistance = distance;
            best = job.get();
        }
        if (job->expiry >= expiry && (later == nullptr || job->expiry < later->expiry)) {
            later = job.get();
        }
    }
    const Job *parent = bestDistance <= CallExpiryError ? best : later;
    if (parent == nullptr) {
        return std::nullopt;
    }
    ParentRun run{ parent->ticket, parent->frame.origin };
    run.origin.inner = true;
    return run;
}

void UpstreamRunner::noteFailedCall(std::uint64_t parent)
{
    const auto found = m_jobs.find(parent);
    if (found != m_jobs.end()) {
        found->second->callFailed = true;
    }
}

void UpstreamRunner::addCallWork(std::uint64_t parent, const std::vector<ServiceWork> &work)
{
    const auto found = m_jobs.find(parent);
    if (found == m_jobs.end()) {
        return;
    }
    auto &sums = found->second->callWork;
    for (const auto &it : work) {
        const auto same = std::find_if(sums.begin(), sums.end(), [&it](const ServiceWork &sum) {
            return sum.service == it.service;
        });
        if (same == sums.end()) {
            sums.push_back(it);
        } else {
            same->microseconds += it.microseconds;
            same->runs += it.runs;
        }
    }
}

bool UpstreamRunner::isAccepting() const
{
    return m_announced && !m_closed && !m_known.draining && !m_unreachable && !m_replaced;
}

void UpstreamRunner::applyState()
{
    if (isAccepting()) {
        m_queue.setSlots(m_known.slots);
        apply(m_queue.schedule(m_environment.loop.now()), RunOutcome::Full);
        return;
    }
    m_queue.setSlots(0);
    apply(m_queue.refuseAll(), m_unreachable ? RunOutcome::Unreachable : RunOutcome::Leaving);
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
        examineFailure();
    }
    learn(*job, result);
    finish(job, std::move(result));
}

RunReply UpstreamRunner::exchange(Job &job)
{
    auto &loop = m_environment.loop;
    auto connection = takeIdle(job.frame.idempotent);
    if (!connection) {
        auto socket = AsyncSocket::connect(loop, m_environment.settings.upstream, std::min(job.expiry, loop.clock().now() + ConnectTime));
        if (!socket) {
            return withoutAnswer(RunOutcome::Unreachable);
        }
        connection = std::make_unique<HttpConnection>(std::move(*socket));
        connection->countIn(m_environment.held);
    }
    if (job.cancelled) {
        keep(std::move(connection), std::nullopt);
        return withoutAnswer(RunOutcome::Leaving);
    }
    bool reusable = false;
    std::optional<Duration> idleLimit;
    job.connection = connection.get();
    auto result = exchangeOn(*connection, job, reusable, idleLimit);
    job.connection = nullptr;
    if (reusable) {
        keep(std::move(connection), idleLimit);
    }
    return result;
}

RunReply UpstreamRunner::exchangeOn(HttpConnection &connection, Job &job, bool &reusable, std::optional<Duration> &idleLimit)
{
    const TimePoint deadline = job.expiry + AnswerSlack;
    const auto sent = connection.socket().writeAll(requestBytes(job), deadline);
    if (!sent && sent.error().kind == ErrorKind::Timeout) {
        return withoutAnswer(RunOutcome::TimedOut);
    }
    const std::string *requestId = findHeader(job.frame.request.headers, m_environment.headers.requestId);
    for (int n = 0; n <= MostStaleAnswers; ++n) {
        auto response = connection.readResponse(job.frame.request.method == "HEAD", m_environment.held.limit(), true, deadline);
        if (!response) {
            // The connection of a cancelled job was closed by this node.
            if (!job.cancelled) {
                Log.info("answer_unreadable",
                         { { "request", requestId == nullptr ? "" : *requestId },
                           { "fault", std::string(ReadErrorNames.name(response.error())) },
                           { "held_bytes", std::to_string(m_environment.held.reservedBytes()) } });
            }
            return withoutAnswer(response.error() == ReadError::Timeout ? RunOutcome::TimedOut : RunOutcome::Broken);
        }
        bool stale = false;
        const bool keepsOpen = response->reusable && n == 0;
        const auto limit = response->idleLimit;
        auto result = judge(std::move(*response), requestId == nullptr ? std::string() : *requestId, stale);
        if (!stale) {
            reusable = keepsOpen && result.outcome != RunOutcome::Broken;
            idleLimit = limit;
            return result;
        }
        Log.warning("stale_answer", { { "request", requestId == nullptr ? "" : *requestId } });
    }
    return withoutAnswer(RunOutcome::Broken);
}

std::string UpstreamRunner::requestBytes(Job &job)
{
    const auto &names = m_environment.headers;
    auto &headers = job.frame.request.headers;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(job.expiry - m_environment.loop.clock().now()).count();
    setHeader(headers, names.deadline, std::to_string(std::max<std::int64_t>(left, 1)));
    setHeader(headers, names.expectedUpstream, m_known.id);
    return serializeRequest(job.frame.request, m_environment.settings.upstream.text());
}

RunReply UpstreamRunner::judge(ReceivedResponse &&response, const std::string &requestId, bool &stale)
{
    constexpr std::uint16_t Misdirected = 421;
    constexpr std::uint16_t FirstRedirect = 300;
    const auto &names = m_environment.headers;
    auto &message = response.message;
    const auto *echoed = findHeader(message.headers, names.requestId);
    if (echoed != nullptr && *echoed != requestId) {
        stale = true;
        return {};
    }
    if (message.status == Misdirected) {
        Log.warning("upstream_misdirected", { { "expected", m_incarnation } });
        m_replaced = true;
        applyState();
        m_environment.stateChanged();
        return withoutAnswer(RunOutcome::Rejected);
    }
    if (findHeader(message.headers, names.notRun) != nullptr) {
        return withoutAnswer(RunOutcome::Rejected);
    }
    const bool encoded = findHeader(message.headers, "Content-Encoding") != nullptr;
    const bool unsignedSuccess = message.status < FirstRedirect && findHeader(message.headers, names.stamp) == nullptr;
    if (echoed == nullptr || encoded || unsignedSuccess) {
        return withoutAnswer(RunOutcome::Broken);
    }
    return { RunOutcome::Answered, 0, std::move(message), {}, false };
}

std::unique_ptr<HttpConnection> UpstreamRunner::takeIdle(bool idempotent)
{
    const TimePoint now = m_environment.loop.now();
    while (!m_idle.empty()) {
        auto &last = m_idle.back();
        const bool fresh = idempotent || now - last.idleSince <= FreshIdle;
        if (!fresh) {
            return nullptr;
        }
        auto connection = std::move(last.connection);
        const bool usable = now < last.usableUntil && connection->isIdle();
        m_idle.pop_back();
        if (usable) {
            return connection;
        }
    }
    return nullptr;
}

void UpstreamRunner::keep(std::unique_ptr<HttpConnection> connection, std::optional<Duration> idleLimit)
{
    const TimePoint now = m_environment.loop.now();
    const Duration limit = idleLimit.value_or(DefaultIdleLimit) - IdleMargin;
    if (limit <= Duration::zero() || m_idle.size() > m_known.slots) {
        return;
    }
    // The list is ordered by age: the oldest, at the front, expire first.
    const auto expired = std::find_if(m_idle.begin(), m_idle.end(), [now](const IdleConnection &it) {
        return now < it.usableUntil;
    });
    m_idle.erase(m_idle.begin(), expired);
    m_idle.push_back({ std::move(connection), now + limit, now });
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
    const auto held = std::chrono::duration_cast<std::chrono::microseconds>(now - job->startedAt).count();
    result.work = std::move(job->callWork);
    result.callFailed = job->callFailed;
    result.work.push_back({ m_environment.settings.service, static_cast<std::uint32_t>(held), 1 });
    m_jobs.erase(job->ticket);
    std::optional<Duration> runTime;
    if (result.outcome == RunOutcome::Answered) {
        runTime = now - job->startedAt;
    }
    const auto schedule = m_queue.finished(job->ticket, runTime, now);
    if (job->done) {
        job->done(std::move(result));
    }
    apply(schedule, RunOutcome::Full);
}

void UpstreamRunner::learn(const Job &job, const RunReply &result)
{
    if (result.outcome == RunOutcome::Leaving) {
        return;
    }
    if (result.outcome != RunOutcome::Answered) {
        const std::string *id = findHeader(job.frame.request.headers, m_environment.headers.requestId);
        const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(m_environment.loop.clock().now() - job.startedAt).count();
        Log.info("run_failed",
                 { { "request", id == nullptr ? std::string() : *id },
                   { "outcome", std::string(RunOutcomeNames.name(result.outcome)) },
                   { "upstream", m_incarnation },
                   { "run_ms", std::to_string(held) },
                   { "running", std::to_string(m_queue.running()) },
                   { "waiting", std::to_string(m_queue.waiting()) } });
    }
    m_quality += QualityWeight * (qualityOf(result) - m_quality);
    if (result.outcome == RunOutcome::Answered || result.outcome == RunOutcome::TimedOut) {
        const double seconds = std::chrono::duration<double>(m_environment.loop.clock().now() - job.startedAt).count();
        m_runSeconds = m_runSeconds == 0 ? seconds : m_runSeconds + RunWeight * (seconds - m_runSeconds);
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
            done(withoutAnswer(outcome));
        });
    }
}

void UpstreamRunner::apply(const SlotSchedule &schedule, RunOutcome refusal)
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

void UpstreamRunner::examineFailure()
{
    auto &loop = m_environment.loop;
    // All requests that failed together stay in flight until the probe tells whether the upstream crashed.
    while (m_probing) {
        loop.sleepFor(ProbeWait);
    }
    if (m_unreachable) {
        return;
    }
    m_probing = true;
    const auto socket = AsyncSocket::connect(loop, m_environment.settings.upstream, loop.clock().now() + ConnectTime);
    m_probing = false;
    if (socket || m_unreachable) {
        return;
    }
    // Refused or silent right after a failure: the process is gone, and whatever ran there is suspected of having caused it.
    Log.warning("upstream_unreachable", { { "upstream", m_incarnation }, { "error", socket.error().describe() } });
    m_unreachable = true;
    m_environment.crashes.crashed({ m_environment.settings.node, static_cast<std::uint64_t>(m_known.startedAt) + m_crashes++ });
    m_idle.clear();
    applyState();
    m_environment.stateChanged();
    loop.spawn([this] {
        watchUnreachable();
    });
}

void UpstreamRunner::watchUnreachable()
{
    auto &loop = m_environment.loop;
    while (m_unreachable && !m_closed) {
        loop.sleepFor(ProbePause);
        if (AsyncSocket::connect(loop, m_environment.settings.upstream, loop.clock().now() + ConnectTime)) {
            Log.info("upstream_reachable", { { "upstream", m_incarnation } });
            m_unreachable = false;
            applyState();
            m_environment.stateChanged();
        }
    }
}

} // namespace Pimentohollow
