#include "membership/protocol/probecycle.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

ProbeCycle::ProbeCycle(const MembershipTiming &timing, Random &random)
    : m_timing(timing)
    , m_random(random)
{
}

std::optional<Probe> ProbeCycle::start(const std::vector<const Member *> &candidates, TimePoint now)
{
    if (now < m_nextStart || m_running) {
        return std::nullopt;
    }
    if (m_nextStart == TimePoint{}) {
        // Spreads the probes of nodes that started together over the interval.
        m_nextStart = now + Duration(m_random.below(static_cast<std::uint64_t>(m_timing.probeInterval.count())));
        return std::nullopt;
    }
    m_nextStart = std::max(m_nextStart + m_timing.probeInterval, now);
    const auto target = nextTarget(candidates);
    if (!target) {
        return std::nullopt;
    }
    m_running = Probe{ nextId(), *target, now, false };
    return m_running;
}

std::optional<Probe> ProbeCycle::overdue(TimePoint now)
{
    if (!m_running || m_running->indirect || now - m_running->sentAt < m_timing.ackTimeout) {
        return std::nullopt;
    }
    m_running->indirect = true;
    return m_running;
}

std::optional<NodeName> ProbeCycle::failed(TimePoint now)
{
    if (!m_running || now - m_running->sentAt < m_timing.probeInterval) {
        return std::nullopt;
    }
    return std::exchange(m_running, std::nullopt)->target;
}

bool ProbeCycle::answered(std::uint64_t id)
{
    if (!m_running || m_running->id != id) {
        return false;
    }
    m_running.reset();
    return true;
}

void ProbeCycle::reset(TimePoint now)
{
    m_running.reset();
    m_nextStart = now;
}

std::uint64_t ProbeCycle::nextId()
{
    return ++m_lastId;
}

std::optional<NodeName> ProbeCycle::nextTarget(const std::vector<const Member *> &candidates)
{
    const auto isCandidate = [&candidates](const NodeName &name) {
        return std::any_of(candidates.begin(), candidates.end(), [&name](const Member *it) {
            return it->update.node == name;
        });
    };
    for (int refill = 0; refill < 2; ++refill) {
        while (!m_round.empty()) {
            auto name = std::move(m_round.back());
            m_round.pop_back();
            if (isCandidate(name)) {
                return name;
            }
        }
        for (const auto *it : candidates) {
            m_round.push_back(it->update.node);
        }
        std::shuffle(m_round.begin(), m_round.end(), m_random.engine());
    }
    return std::nullopt;
}

} // namespace Pimentohollow
