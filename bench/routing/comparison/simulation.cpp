#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Pimentohollow::Bench
{

using namespace std::chrono_literals;

Simulation::Simulation(const Scenario &scenario, std::uint64_t seed)
    : m_scenario(scenario)
    , m_random(seed)
    , m_servers(scenario.upstreams)
{
    for (std::size_t n = 0; n < scenario.upstreams; ++n) {
        m_entries.push_back(std::make_unique<Strategy>(scenario.strategy, m_clock, seed + n + 1));
        auto &record = m_servers[n].record;
        record.node = NodeName(fmt::format("{}", n));
        record.dataCentre = DataCentreName("here");
        record.service = Strategy::Service;
        record.state = UpstreamState::Ready;
        record.concurrencyLimit = scenario.slots;
    }
    for (std::size_t n = 0; n < scenario.upstreams; ++n) {
        ++m_servers[n].record.sequence;
        for (auto &it : m_entries) {
            it->apply(m_servers[n].record);
        }
        // Nodes publish at different phases.
        push(scenario.lag * (n + 1) / scenario.upstreams, EventKind::Publish, 0, 0, n);
    }
    push(0ns, EventKind::Arrival, 0, 0, 0);
}

Outcome Simulation::run()
{
    while (!m_events.empty()) {
        const auto event = m_events.top();
        m_events.pop();
        m_clock.advance(event.time - m_now);
        m_now = event.time;
        handle(event);
    }
    return summary();
}

void Simulation::push(Duration time, EventKind kind, std::size_t request, std::size_t attempt, std::size_t server)
{
    m_events.push(Event{ time, ++m_order, kind, request, attempt, server });
}

void Simulation::handle(const Event &event)
{
    const bool isCurrent = event.request < m_requests.size() && m_requests[event.request].attempt == event.attempt;
    switch (event.kind) {
    case EventKind::Arrival:
        arrive();
        break;
    case EventKind::Finish:
        if (isCurrent) {
            const bool failed = m_scenario.fault == FaultKind::FailingFast && isFaulty(event.server);
            end(event.request, failed ? AnswerKind::Failure : AnswerKind::Success);
        }
        break;
    case EventKind::Timeout:
        if (isCurrent) {
            end(event.request, AnswerKind::Failure);
        }
        break;
    case EventKind::Publish:
        publish(event.server);
        break;
    case EventKind::Deliver:
        for (auto &it : m_entries) {
            it->apply(m_servers[event.server].inTransit.front());
        }
        m_servers[event.server].inTransit.pop_front();
        break;
    }
}

void Simulation::arrive()
{
    Request request;
    request.arrival = m_now;
    request.entry = m_random.below(m_entries.size());
    m_requests.push_back(std::move(request));
    if (m_now >= FaultStart) {
        ++m_counted;
    }
    attempt(m_requests.size() - 1);
    const double capacity = double(m_scenario.upstreams) * m_scenario.slots / double(ServiceTime.count());
    const Duration gap(static_cast<Duration::rep>(m_random.exponential(1.0 / (capacity * m_scenario.demand))));
    if (m_now + gap < Length) {
        push(m_now + gap, EventKind::Arrival, 0, 0, 0);
    }
}

void Simulation::attempt(std::size_t id)
{
    auto &request = m_requests[id];
    const auto node = m_entries[request.entry]->choose(request.tried);
    if (!node) {
        request.attempt = MostAttempts + 1;
        return;
    }
    ++request.attempt;
    request.tried.push_back(*node);
    request.server = std::stoul(node->text());
    request.attemptStart = m_now;
    m_entries[request.entry]->started(*node);
    auto &server = m_servers[request.server];
    if (server.busy < m_scenario.slots) {
        ++server.busy;
        serve(id);
    } else if (server.queue.size() < m_scenario.slots / 4) {
        request.waiting = true;
        server.queue.push_back(id);
    } else {
        request.waiting = true;
        end(id, AnswerKind::Shed);
        return;
    }
    push(m_now + AttemptTimeout, EventKind::Timeout, id, request.attempt, request.server);
}

void Simulation::serve(std::size_t id)
{
    auto &request = m_requests[id];
    request.waiting = false;
    if (m_scenario.fault == FaultKind::Silent && isFaulty(request.server)) {
        return;
    }
    push(m_now + serviceTime(request.server), EventKind::Finish, id, request.attempt, request.server);
}

void Simulation::startNext(Server &server)
{
    while (!server.queue.empty() && server.busy < m_scenario.slots) {
        const auto id = server.queue.front();
        server.queue.pop_front();
        ++server.busy;
        serve(id);
    }
}

void Simulation::end(std::size_t id, AnswerKind kind)
{
    auto &request = m_requests[id];
    auto &server = m_servers[request.server];
    if (request.waiting) {
        std::erase(server.queue, id);
    } else {
        --server.busy;
    }
    m_entries[request.entry]->ended(server.record.node, kind, m_now - request.attemptStart);
    startNext(server);
    const auto latency = m_now - request.arrival;
    if (kind == AnswerKind::Success) {
        request.attempt = MostAttempts + 1;
        if (request.arrival >= FaultStart && latency <= Deadline) {
            m_latencies.push_back(latency);
        }
        return;
    }
    if (request.attempt < MostAttempts && latency < Deadline) {
        attempt(id);
        return;
    }
    request.attempt = MostAttempts + 1;
}

void Simulation::publish(std::size_t n)
{
    auto &server = m_servers[n];
    ++server.record.sequence;
    server.record.inFlight = server.busy;
    server.record.queued = static_cast<std::uint32_t>(server.queue.size());
    const bool isCold = m_scenario.fault == FaultKind::Cold && isFaulty(n);
    server.record.state = isCold ? UpstreamState::Starting : UpstreamState::Ready;
    server.record.incarnation = isCold ? 2 : 1;
    server.inTransit.push_back(server.record);
    push(m_now + m_scenario.lag, EventKind::Deliver, 0, 0, n);
    if (m_now < Length) {
        push(m_now + m_scenario.lag, EventKind::Publish, 0, 0, n);
    }
}

Duration Simulation::serviceTime(std::size_t server)
{
    double factor = 1.0;
    if (isFaulty(server) && m_scenario.fault == FaultKind::Slow) {
        factor = 5.0;
    } else if (isFaulty(server) && m_scenario.fault == FaultKind::Cold) {
        factor = 1.0 + 4.0 * std::exp(-std::chrono::duration<double>(m_now - FaultStart).count() / 3.0);
    } else if (isFaulty(server) && m_scenario.fault == FaultKind::FailingFast) {
        return 1ms;
    }
    return Duration(static_cast<Duration::rep>(m_random.exponential(double(ServiceTime.count()) * factor)));
}

bool Simulation::isFaulty(std::size_t server) const
{
    return server == 0 && m_now >= FaultStart;
}

Outcome Simulation::summary()
{
    std::sort(m_latencies.begin(), m_latencies.end());
    const auto quantile = [this](double share) {
        return m_latencies.empty() ? Duration() : m_latencies[static_cast<std::size_t>(share * double(m_latencies.size() - 1))];
    };
    return Outcome{ m_counted, m_latencies.size(), quantile(0.5), quantile(0.99) };
}

} // namespace Pimentohollow::Bench
