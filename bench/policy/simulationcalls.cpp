// The part of Simulation that follows one call: choice of the target, admission, work in the upstream, answer, retry.
#include "simulation.h"

namespace Pimentohollow
{

namespace
{

constexpr Duration SameDataCentreHop = std::chrono::microseconds(100);
constexpr Duration OtherDataCentreHop = std::chrono::microseconds(1500);
/** Retries of one hop when the chain has no common budget. */
constexpr std::uint32_t UnboundedHopRetries = 2;
/** Part of the own time that is the same for all requests; the rest is exponential. */
constexpr double FixedTimeShare = 0.5;

} // namespace

Duration Simulation::hop()
{
    // One target per data centre; the caller of a call is in any of four.
    return m_random.below(4) == 0 ? SameDataCentreHop : OtherDataCentreHop;
}

Duration Simulation::drawOwnTime(std::uint32_t level)
{
    const bool slow = level + 1 == m_services.size() && m_now >= WarmUp && m_now < WarmUp + TriggerLength;
    const double mean = static_cast<double>(OwnTime.count()) * (slow ? m_experiment.scenario.deepSlowdown : 1.0);
    return Duration(static_cast<Duration::rep>(FixedTimeShare * mean + m_random.exponential((1.0 - FixedTimeShare) * mean)));
}

RequestContext Simulation::context(const Request &request, std::uint32_t level) const
{
    static const RouteName Route("route");
    RequestContext context;
    context.account = m_accounts[request.caller.account];
    context.route = Route;
    context.priority = request.caller.priority;
    context.idempotent = request.caller.priority == Priority::Normal;
    context.deadline = timePoint(request.deadline);
    context.retriesLeft = request.budget.left();
    context.depth = level;
    return context;
}

std::optional<std::uint32_t> Simulation::chooseTarget(std::uint32_t level, std::uint32_t tried)
{
    std::vector<std::uint32_t> untried;
    for (std::uint32_t n = 0; n < m_nodes[level].size(); ++n) {
        if ((tried & (1U << n)) == 0) {
            untried.push_back(n);
        }
    }
    if (untried.empty()) {
        return std::nullopt;
    }
    const std::uint32_t first = untried[m_random.below(untried.size())];
    const std::uint32_t second = untried[m_random.below(untried.size())];
    const auto load = [&](std::uint32_t target) {
        const auto &controller = node(level, target).controller;
        return controller.inFlight() + controller.queued();
    };
    return load(first) <= load(second) ? first : second;
}

void Simulation::callNextLevel(std::uint32_t index, std::uint32_t level)
{
    m_requests[index].calls[level] = Call{};
    RetryRatio &ratio = level == 0 ? m_entryRatio : node(level - 1, m_requests[index].calls[level - 1].target).ratio;
    ratio.recordFirstAttempt();
    dispatch(index, level);
}

bool Simulation::dispatch(std::uint32_t index, std::uint32_t level)
{
    Call &call = m_requests[index].calls[level];
    const auto target = chooseTarget(level, call.tried);
    if (!target) {
        return false;
    }
    call.target = *target;
    call.tried |= 1U << *target;
    call.state = CallState::OnTheWay;
    push(EventKind::CallArrives, m_now + hop(), index, level);
    return true;
}

void Simulation::callArrives(std::uint32_t index, std::uint32_t level)
{
    Request &request = m_requests[index];
    Call &call = request.calls[level];
    call.ticket = (AdmissionTicket(index) << 32U) | ((++request.serial & 0xffffffU) << 8U) | level;
    const std::uint32_t target = call.target;
    const Submission submission = node(level, target).controller.submit(call.ticket, context(request, level), timePoint(m_now));
    if (const auto *refusal = std::get_if<Refusal>(&submission.decision)) {
        refuseCall(index, level, refusal->reason, refusal->ran);
    } else if (std::holds_alternative<Queued>(submission.decision)) {
        call.state = CallState::WaitsAtNode;
    } else {
        enterUpstream(index, level);
    }
    apply(level, target, submission.others);
}

void Simulation::apply(std::uint32_t level, std::uint32_t target, const Schedule &schedule)
{
    for (const auto &it : schedule.refuse) {
        refuseCall(requestOf(it.ticket), level, it.refusal.reason, it.refusal.ran);
    }
    for (const AdmissionTicket it : schedule.start) {
        enterUpstream(requestOf(it), level);
    }
    scheduleExpire(level, target);
}

void Simulation::scheduleExpire(std::uint32_t level, std::uint32_t target)
{
    Node &it = node(level, target);
    const auto next = it.controller.nextExpiry();
    if (!next) {
        return;
    }
    const Duration at = std::max(m_now, *next - timePoint(Duration::zero()));
    if (at < it.nextExpire) {
        it.nextExpire = at;
        push(EventKind::Expire, at, target, level);
    }
}

void Simulation::enterUpstream(std::uint32_t index, std::uint32_t level)
{
    Request &request = m_requests[index];
    Call &call = request.calls[level];
    if (request.caller.priority == Priority::Normal) {
        m_measures.normalStarted(m_now, level);
    }
    switch (node(level, call.target).upstream.enter(call.ticket)) {
    case FakeUpstream::Entry::Runs:
        return work(index, level);
    case FakeUpstream::Entry::Waits:
        call.state = CallState::WaitsInUpstream;
        return;
    case FakeUpstream::Entry::Refused:
        refuseCall(index, level, RefusalReason::UpstreamFailed, RunState::NotRun);
        apply(level, call.target, node(level, call.target).controller.finished(call.ticket, { WorkResult::Shed, {} }, timePoint(m_now)));
    }
}

void Simulation::work(std::uint32_t index, std::uint32_t level)
{
    Call &call = m_requests[index].calls[level];
    const bool hasChild = level + 1 < m_services.size();
    if (!call.childDone) {
        call.ownWork = drawOwnTime(level);
    }
    call.state = CallState::Working;
    call.workStarted = m_now;
    // Half of the own work is done before the child call, the rest after it.
    push(EventKind::OwnWorkDone, m_now + (hasChild ? call.ownWork / 2 : call.ownWork), index, level);
}

void Simulation::ownWorkDone(std::uint32_t index, std::uint32_t level)
{
    Request &request = m_requests[index];
    Call &call = request.calls[level];
    request.ownWork += m_now - call.workStarted;
    const bool hasChild = level + 1 < m_services.size();
    if (hasChild && !call.childDone) {
        call.state = CallState::WaitsForChild;
        call.childSince = m_now;
        callNextLevel(index, level + 1);
        return;
    }
    call.state = CallState::Answering;
    push(EventKind::CallAnswered, m_now + hop(), index, level);
    leaveUpstream(index, level, WorkResult::Completed);
}

void Simulation::leaveUpstream(std::uint32_t index, std::uint32_t level, WorkResult result)
{
    const Call call = m_requests[index].calls[level];
    m_requests[index].calls[level].state = CallState::Answering;
    Node &serving = node(level, call.target);
    if (const AdmissionTicket next = serving.upstream.leave(); next != 0) {
        work(requestOf(next), level);
    }
    apply(level, call.target, serving.controller.finished(call.ticket, { result, call.childTime }, timePoint(m_now)));
}

void Simulation::callAnswered(std::uint32_t index, std::uint32_t level)
{
    Request &request = m_requests[index];
    if (level == 0) {
        m_measures.workDone(m_now, request.ownWork, !request.abandoned);
        if (!request.abandoned) {
            m_measures.ended(request.caller.firstSent, m_now, request.caller.account, true);
        }
        release(index);
        return;
    }
    Call &parent = request.calls[level - 1];
    parent.childTime += m_now - parent.childSince;
    parent.childDone = true;
    work(index, level - 1);
}

void Simulation::refuseCall(std::uint32_t index, std::uint32_t level, RefusalReason reason, RunState ran)
{
    Call &call = m_requests[index].calls[level];
    call.state = CallState::Answering;
    call.failure = reason;
    call.ran = ran;
    push(EventKind::CallRefused, m_now + hop(), index, level);
}

bool Simulation::retries(std::uint32_t index, std::uint32_t level)
{
    Request &request = m_requests[index];
    Call &call = request.calls[level];
    if (!m_experiment.policy.boundedRetries) {
        const bool again = call.hopRetries < UnboundedHopRetries && dispatch(index, level);
        call.hopRetries += again ? 1 : 0;
        request.retries += again ? 1 : 0;
        return again;
    }
    bool otherAdmits = false;
    for (std::uint32_t n = 0; n < m_nodes[level].size(); ++n) {
        const bool tried = (call.tried & (1U << n)) != 0;
        otherAdmits |= !tried && node(level, n).controller.shares(timePoint(m_now)).of(request.caller.priority) >= 1.0;
    }
    RetryRatio &ratio = level == 0 ? m_entryRatio : node(level - 1, request.calls[level - 1].target).ratio;
    const FailedAttempt attempt{ call.failure, call.ran, otherAdmits, OwnTime };
    const auto decision = RetryPolicy::decide(context(request, level), attempt, timePoint(m_now), request.budget, ratio);
    if (std::holds_alternative<GiveUp>(decision)) {
        return false;
    }
    ++request.retries;
    return dispatch(index, level);
}

void Simulation::callRefused(std::uint32_t index, std::uint32_t level)
{
    if (retries(index, level)) {
        return;
    }
    Request &request = m_requests[index];
    const Call &call = request.calls[level];
    // A parent whose child call was shed has run; only the service that refused the call has shed it.
    const bool shed = call.ran == RunState::NotRun && call.failure != RefusalReason::DeadlineExceeded;
    if (shed && request.caller.priority == Priority::Important) {
        m_measures.importantShed(m_now, level);
    }
    if (level == 0) {
        failed(index);
        return;
    }
    Call &parent = request.calls[level - 1];
    parent.childTime += m_now - parent.childSince;
    leaveUpstream(index, level - 1, WorkResult::Failed);
    refuseCall(index, level - 1, RefusalReason::DownstreamOverloaded, RunState::Unknown);
}

} // namespace Pimentohollow
