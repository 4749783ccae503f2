#include "simulation.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

constexpr Duration RunLength = WarmUp + TriggerLength + AfterTrigger;
/** Interval at which the nodes learn the shares of deeper services; they are one interval old by then. */
constexpr Duration SharesInterval = std::chrono::milliseconds(100);

} // namespace

Simulation::Simulation(const Experiment &experiment)
    : m_experiment(experiment)
    , m_random(experiment.seed)
    , m_services(chainOf(experiment.deployment, experiment.chain))
    , m_callers(experiment, m_random)
    , m_measures(experiment, experiment.chain)
    , m_nodes(m_services.size())
    , m_lastShares(m_services.size())
{
    for (std::size_t n = 0; n < AccountRates.size(); ++n) {
        m_accounts.emplace_back("account-" + std::to_string(n));
    }
    for (std::size_t level = 0; level < m_services.size(); ++level) {
        AdmissionSettings settings = experiment.policy.admission;
        if (auto *limit = std::get_if<StaticLimitSettings>(&settings.limit)) {
            limit->limit = m_services[level].slots;
        }
        for (std::uint32_t target = 0; target < m_services[level].targets; ++target) {
            m_nodes[level].push_back(std::make_unique<Node>(settings, m_services[level]));
            for (std::size_t n = 0; n < AccountRates.size(); ++n) {
                m_nodes[level].back()->controller.setWeight(m_accounts[n], AccountRates[n]);
            }
        }
    }
}

Report Simulation::run()
{
    for (std::uint32_t account = 0; account < AccountRates.size(); ++account) {
        push(EventKind::Arrival, m_callers.gap(account, m_now), account, 0);
    }
    push(EventKind::SpreadShares, SharesInterval, 0, 0);
    while (!m_events.empty()) {
        const Event event = m_events.pop();
        if (event.at >= RunLength) {
            break;
        }
        m_now = event.at;
        handle(event);
    }
    return m_measures.report();
}

void Simulation::handle(const Event &event)
{
    const bool forRequest = event.kind != EventKind::Arrival && event.kind != EventKind::Resend && event.kind != EventKind::Expire
        && event.kind != EventKind::SpreadShares;
    if (forRequest && m_requests[event.index].generation != event.generation) {
        return;
    }
    switch (event.kind) {
    case EventKind::Arrival:
        return arrive(event.index);
    case EventKind::CallArrives:
        return callArrives(event.index, event.level);
    case EventKind::CallRefused:
        return callRefused(event.index, event.level);
    case EventKind::CallAnswered:
        return callAnswered(event.index, event.level);
    case EventKind::OwnWorkDone:
        return ownWorkDone(event.index, event.level);
    case EventKind::Deadline:
        return deadlinePassed(event.index);
    case EventKind::Resend:
        return send(m_resends[event.index]);
    case EventKind::Expire:
        node(event.level, event.index).nextExpire = Duration::max();
        return apply(event.level, event.index, node(event.level, event.index).controller.expire(timePoint(m_now)));
    case EventKind::SpreadShares:
        return spreadShares();
    }
}

void Simulation::arrive(std::size_t account)
{
    push(EventKind::Arrival, m_now + m_callers.gap(account, m_now), static_cast<std::uint32_t>(account), 0);
    const CallerRequest caller = m_callers.newRequest(account, m_now);
    m_measures.sent(m_now, account, caller.priority);
    send(caller);
}

void Simulation::send(const CallerRequest &caller)
{
    if (m_free.empty()) {
        m_free.push_back(static_cast<std::uint32_t>(m_requests.size()));
        m_requests.emplace_back().calls.resize(m_services.size());
    }
    const std::uint32_t index = m_free.back();
    m_free.pop_back();
    Request &request = m_requests[index];
    request.live = true;
    request.abandoned = false;
    request.caller = caller;
    request.deadline = m_now + deadlineOf(m_experiment.chain);
    request.budget = RetryBudget();
    request.retries = 0;
    request.ownWork = {};
    std::fill(request.calls.begin(), request.calls.end(), Call{});
    push(EventKind::Deadline, request.deadline, index, 0);
    callNextLevel(index, 0);
}

void Simulation::deadlinePassed(std::uint32_t index)
{
    Request &request = m_requests[index];
    const CallerRequest caller = request.caller;
    if (m_experiment.policy.cancels) {
        withdraw(index);
        m_measures.workDone(m_now, request.ownWork, false);
        release(index);
    } else {
        request.abandoned = true;
    }
    callerFailed(caller);
}

void Simulation::failed(std::uint32_t index)
{
    const CallerRequest caller = m_requests[index].caller;
    const bool abandoned = m_requests[index].abandoned;
    m_measures.workDone(m_now, m_requests[index].ownWork, false);
    release(index);
    if (!abandoned) {
        callerFailed(caller);
    }
}

void Simulation::callerFailed(const CallerRequest &caller)
{
    const auto delay = m_callers.resendDelay(caller);
    if (!delay) {
        m_measures.ended(caller.firstSent, m_now, caller.account, false);
        return;
    }
    CallerRequest again = caller;
    ++again.resends;
    m_resends.push_back(again);
    push(EventKind::Resend, m_now + *delay, static_cast<std::uint32_t>(m_resends.size() - 1), 0);
}

void Simulation::release(std::uint32_t index)
{
    Request &request = m_requests[index];
    m_measures.attempts(1 + request.retries);
    request.live = false;
    ++request.generation;
    m_free.push_back(index);
}

void Simulation::withdraw(std::uint32_t index)
{
    Request &request = m_requests[index];
    for (auto level = static_cast<std::uint32_t>(request.calls.size()); level-- > 0;) {
        Call &call = request.calls[level];
        Node &serving = node(level, call.target);
        switch (call.state) {
        case CallState::WaitsAtNode:
            serving.controller.cancel(call.ticket);
            break;
        case CallState::WaitsInUpstream:
            serving.upstream.removeWaiting(call.ticket);
            call.state = CallState::Answering;
            apply(level, call.target, serving.controller.finished(call.ticket, { WorkResult::TimedOut, {} }, timePoint(m_now)));
            break;
        case CallState::Working:
        case CallState::WaitsForChild:
            request.ownWork += call.state == CallState::Working ? m_now - call.workStarted : Duration::zero();
            call.childTime += call.state == CallState::WaitsForChild ? m_now - call.childSince : Duration::zero();
            leaveUpstream(index, level, WorkResult::TimedOut);
            break;
        default:
            break;
        }
        call.state = CallState::Idle;
    }
}

void Simulation::spreadShares()
{
    push(EventKind::SpreadShares, m_now + SharesInterval, 0, 0);
    if (!m_experiment.policy.propagation) {
        return;
    }
    AdmittedShares below;
    for (std::size_t level = 1; level < m_nodes.size(); ++level) {
        below.normal = std::min(below.normal, m_lastShares[level].normal);
        below.important = std::min(below.important, m_lastShares[level].important);
    }
    for (const auto &it : m_nodes[0]) {
        it->controller.setDownstreamShares(RouteName("route"), below);
    }
    for (std::size_t level = 1; level < m_nodes.size(); ++level) {
        AdmittedShares mean{ 0, 0 };
        for (const auto &it : m_nodes[level]) {
            UpstreamRecord record;
            it->controller.report(record, timePoint(m_now));
            mean.normal += record.normalAdmittedPercent / 100.0 / static_cast<double>(m_nodes[level].size());
            mean.important += record.importantAdmittedPercent / 100.0 / static_cast<double>(m_nodes[level].size());
        }
        m_lastShares[level] = mean;
    }
}

Simulation::Node &Simulation::node(std::uint32_t level, std::uint32_t target)
{
    return *m_nodes[level][target];
}

TimePoint Simulation::timePoint(Duration at) const
{
    // An hour's offset, so that no time is the epoch.
    return TimePoint(std::chrono::hours(1) + at);
}

void Simulation::push(EventKind kind, Duration at, std::uint32_t index, std::uint32_t level)
{
    const bool forRequest =
        kind != EventKind::Arrival && kind != EventKind::Resend && kind != EventKind::Expire && kind != EventKind::SpreadShares;
    m_events.push({ at, 0, kind, index, forRequest ? m_requests[index].generation : 0, level, 0 });
}

std::uint32_t Simulation::requestOf(AdmissionTicket ticket)
{
    return static_cast<std::uint32_t>(ticket >> 32U);
}

std::uint32_t Simulation::levelOf(AdmissionTicket ticket)
{
    return static_cast<std::uint32_t>(ticket & 0xffU);
}

} // namespace Pimentohollow
