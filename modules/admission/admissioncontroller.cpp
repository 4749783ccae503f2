#include "admission/admissioncontroller.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Pimentohollow
{

namespace
{

/** Weight of a new measurement in the time of a route. */
constexpr double RouteTimeWeight = 0.1;
/** Mean deviations above the mean within which most requests finish, as in the retransmission timeout of TCP (RFC 6298). */
constexpr double LikelyDeviations = 2.0;
/** A time without new measurements is halved at this interval; otherwise a slow-down would refuse all requests for ever. */
constexpr Duration RouteTimeHalfLife = std::chrono::milliseconds(500);

std::uint8_t percent(double share)
{
    // Rounded up: 10.5 % rounded down would leave a twentieth of the capacity idle.
    return static_cast<std::uint8_t>(std::ceil(std::clamp(share, 0.0, 1.0) * 100.0));
}

} // namespace

AdmissionController::AdmissionController(AdmissionSettings settings)
    : m_settings(std::move(settings))
    , m_limit(m_settings.limit)
    , m_queue(m_settings.queue)
    , m_shares(m_settings.shares)
{
}

Submission AdmissionController::submit(AdmissionTicket ticket, const RequestContext &context, TimePoint now)
{
    assert(!m_requests.contains(ticket));
    m_shares.arrived(context.priority, context.depth > 0, now);
    if (const auto reason = reasonToRefuse(context, now)) {
        Refusal refused = refusal(*reason, context.priority, now);
        if (*reason == RefusalReason::DownstreamOverloaded) {
            refused.retryAfter = m_settings.retryAfter(m_gate.shares(context.route).of(context.priority));
        }
        return { refused, {} };
    }
    if (m_queue.size() == 0 && m_inFlight < limit()) {
        Request &request = m_requests[ticket];
        request = { context.account, context.route, context.priority, context.deadline };
        start(request, now);
        return { Admitted{}, {} };
    }
    return enqueue(ticket, context, now);
}

std::optional<RefusalReason> AdmissionController::reasonToRefuse(const RequestContext &context, TimePoint now)
{
    if (now + expectedTime(context.route, now) >= context.deadline) {
        return RefusalReason::DeadlineExceeded;
    }
    if (context.depth == 0 && !m_gate.admit(context.route, context.account, context.priority, now)) {
        return RefusalReason::DownstreamOverloaded;
    }
    if (m_settings.queue.priorities && context.priority == Priority::Normal && now < m_normalClosedUntil) {
        return RefusalReason::Overloaded;
    }
    return std::nullopt;
}

Submission AdmissionController::enqueue(AdmissionTicket ticket, const RequestContext &context, TimePoint now)
{
    Submission result{ Queued{}, {} };
    std::optional<AdmissionTicket> displaced;
    bool refused = waitsTooLong(context, now);
    if (!refused && queueFull(context.priority)) {
        displaced = m_queue.displaceFor(context.account, context.priority);
        refused = !displaced;
    }
    if (refused) {
        result.decision = refusal(RefusalReason::Overloaded, context.priority, now);
        if (context.priority == Priority::Important) {
            shedImportant(result.others, now);
        }
        return result;
    }
    if (displaced) {
        refuseWaiting(*displaced, RefusalReason::Overloaded, result.others, now);
    }
    m_requests[ticket] = { context.account, context.route, context.priority, context.deadline };
    TimePoint latestStart = context.deadline - expectedTime(context.route, now);
    if (context.priority == Priority::Normal) {
        latestStart = std::min(latestStart, now + m_settings.longestWait);
    }
    m_queue.push({ ticket, context.account, context.priority, latestStart });
    return result;
}

void AdmissionController::started(AdmissionTicket ticket, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    if (found != m_requests.end() && found->second.state == State::Running) {
        found->second.startedAt = now;
    }
}

Schedule AdmissionController::finished(AdmissionTicket ticket, const WorkOutcome &outcome, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end() || found->second.state != State::Running) {
        return {};
    }
    const Request request = std::move(found->second);
    m_requests.erase(found);
    const std::uint32_t inFlightAtEnd = m_inFlight--;
    const Duration time = now - request.startedAt;
    const Duration ownTime = std::max(Duration::zero(), time - outcome.childTime);
    m_limit.record({ outcome.result, request.startedAt, ownTime, request.inFlightAtStart, inFlightAtEnd }, now);
    if (outcome.result == WorkResult::Completed) {
        learnTime(request.route, time, now);
        m_shares.completed(now);
    }
    return schedule(now);
}

CancelResult AdmissionController::cancel(AdmissionTicket ticket)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end()) {
        return CancelResult::Unknown;
    }
    if (found->second.state == State::Running) {
        return CancelResult::Running;
    }
    m_queue.remove(ticket);
    m_requests.erase(found);
    return CancelResult::Removed;
}

Schedule AdmissionController::expire(TimePoint now)
{
    return schedule(now);
}

std::optional<TimePoint> AdmissionController::nextExpiry() const
{
    return m_queue.nextExpiry();
}

Schedule AdmissionController::pause(AdmissionTicket ticket, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end() || found->second.state != State::Running) {
        return {};
    }
    found->second.state = State::Paused;
    --m_inFlight;
    return schedule(now);
}

Submission AdmissionController::resume(AdmissionTicket ticket, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    assert(found != m_requests.end() && found->second.state == State::Paused);
    Request &request = found->second;
    const TimePoint latestStart = request.deadline - expectedTime(request.route, now);
    if (now >= latestStart) {
        const Priority priority = request.priority;
        m_requests.erase(found);
        return { refusal(RefusalReason::DeadlineExceeded, priority, now), {} };
    }
    if (m_inFlight < limit()) {
        start(request, now);
        return { Admitted{}, {} };
    }
    request.state = State::Waiting;
    request.resumed = true;
    m_queue.pushFront({ ticket, request.account, request.priority, latestStart });
    return { Queued{}, {} };
}

void AdmissionController::setWeight(const AccountName &account, double weight)
{
    m_queue.setWeight(account, weight);
    m_gate.setWeight(account, weight);
}

void AdmissionController::setDownstreamShares(const RouteName &route, AdmittedShares shares)
{
    m_gate.setShares(route, shares);
}

void AdmissionController::restart(TimePoint now)
{
    m_limit.restart(now);
    m_routeTimes.clear();
}

AdmittedShares AdmissionController::shares(TimePoint now)
{
    return m_shares.shares(now);
}

void AdmissionController::report(UpstreamRecord &record, TimePoint now)
{
    const AdmittedShares current = shares(now);
    record.concurrencyLimit = limit();
    record.inFlight = m_inFlight;
    record.queued = static_cast<std::uint32_t>(m_queue.size());
    record.normalAdmittedPercent = percent(current.normal);
    record.importantAdmittedPercent = percent(current.important);
}

std::uint32_t AdmissionController::limit() const
{
    return m_limit.limit();
}

std::uint32_t AdmissionController::inFlight() const
{
    return m_inFlight;
}

std::size_t AdmissionController::queued() const
{
    return m_queue.size();
}

void AdmissionController::start(Request &request, TimePoint now)
{
    request.state = State::Running;
    request.startedAt = now;
    request.inFlightAtStart = ++m_inFlight;
}

Schedule AdmissionController::schedule(TimePoint now)
{
    Schedule result;
    refuseExpired(result, now);
    while (m_inFlight < limit()) {
        const auto ticket = m_queue.pop();
        if (!ticket) {
            break;
        }
        start(m_requests.at(*ticket), now);
        result.start.push_back(*ticket);
    }
    return result;
}

void AdmissionController::refuseExpired(Schedule &schedule, TimePoint now)
{
    for (const auto &it : m_queue.takeExpired(now)) {
        const Request &request = m_requests.at(it.ticket);
        const bool beforeDeadline = now + expectedTime(request.route, now) < request.deadline;
        const bool shed = request.priority == Priority::Important && !request.resumed;
        refuseWaiting(it.ticket, beforeDeadline ? RefusalReason::Overloaded : RefusalReason::DeadlineExceeded, schedule, now);
        if (shed) {
            shedImportant(schedule, now);
        }
    }
}

void AdmissionController::shedImportant(Schedule &schedule, TimePoint now)
{
    if (!m_settings.queue.priorities) {
        return;
    }
    m_normalClosedUntil = now + m_settings.importantShedHold;
    for (const AdmissionTicket it : m_queue.takeAll(Priority::Normal)) {
        refuseWaiting(it, RefusalReason::Overloaded, schedule, now);
    }
}

Refusal AdmissionController::refusal(RefusalReason reason, Priority priority, TimePoint now)
{
    // A refusal for a deeper service doesn't count: it says nothing about the load here.
    if (reason == RefusalReason::Overloaded) {
        m_shares.refused(now);
    }
    const double share = m_shares.shares(now).of(priority);
    return { reason, RunState::NotRun, m_settings.retryAfter(share), "refused before it was sent to an upstream" };
}

void AdmissionController::refuseWaiting(AdmissionTicket ticket, RefusalReason reason, Schedule &schedule, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    const Priority priority = found->second.priority;
    m_requests.erase(found);
    schedule.refuse.push_back({ ticket, refusal(reason, priority, now) });
}

bool AdmissionController::waitsTooLong(const RequestContext &context, TimePoint now) const
{
    const auto rate = m_shares.completionRate();
    if (!rate || *rate <= 0) {
        return false;
    }
    const double ahead = static_cast<double>(m_queue.position(context.account, context.priority));
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / *rate));
    return now + wait + expectedTime(context.route, now) >= context.deadline;
}

bool AdmissionController::queueFull(Priority priority) const
{
    if (m_queue.size() < queueCapacity(m_settings.queueTime)) {
        return false;
    }
    // An important request first displaces normal ones and only then lengthens the queue.
    const bool mayLengthen = priority == Priority::Important && m_queue.size(Priority::Normal) == 0;
    return !mayLengthen || m_queue.size() >= queueCapacity(m_settings.importantQueueTime);
}

std::size_t AdmissionController::queueCapacity(Duration queueTime) const
{
    const auto rate = m_shares.completionRate();
    const double wanted = rate ? *rate * std::chrono::duration<double>(queueTime).count() : limit();
    return std::clamp(static_cast<std::size_t>(wanted), m_settings.shortestQueue, m_settings.longestQueue);
}

Duration AdmissionController::expectedTime(const RouteName &route, TimePoint now) const
{
    const auto found = m_routeTimes.find(route);
    if (found == m_routeTimes.end()) {
        return Duration::zero();
    }
    const double idle = std::chrono::duration<double>(now - found->second.updated) / std::chrono::duration<double>(RouteTimeHalfLife);
    const double likely = found->second.mean + LikelyDeviations * found->second.deviation;
    return Duration(static_cast<Duration::rep>(likely * std::exp2(-idle)));
}

void AdmissionController::learnTime(const RouteName &route, Duration time, TimePoint now)
{
    RouteTime &it = m_routeTimes[route];
    const auto measured = static_cast<double>(time.count());
    if (it.mean == 0) {
        it.mean = measured;
    }
    it.deviation += RouteTimeWeight * (std::abs(measured - it.mean) - it.deviation);
    it.mean += RouteTimeWeight * (measured - it.mean);
    it.updated = now;
}

} // namespace Pimentohollow
