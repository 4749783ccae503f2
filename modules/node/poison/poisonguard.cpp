#include "node/poison/poisonguard.h"

#include <algorithm>

namespace Pimentohollow
{

PoisonGuard::PoisonGuard(NodeName self, const Clock &clock)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_tracker(clock)
{
}

std::optional<Refusal> PoisonGuard::begin(const RequestFingerprint &fingerprint, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    const TimePoint limit = std::min(deadline, m_clock.now() + LongestWait);
    while (true) {
        switch (m_tracker.check(fingerprint, m_self)) {
        case PoisonVerdict::Run:
        case PoisonVerdict::RunAlone:
            m_tracker.started(fingerprint, m_self);
            return std::nullopt;
        case PoisonVerdict::Refuse:
            return Refusal{ RefusalReason::Poison, RunState::NotRun, {}, "the request crashed upstreams before; this attempt was not run" };
        case PoisonVerdict::Wait:
            break;
        }
        if (m_clock.now() >= limit) {
            return Refusal{ RefusalReason::Overloaded, RunState::NotRun, {}, "another request suspected of crashing upstreams is running" };
        }
        m_changed.wait_until(lock, limit);
    }
}

void PoisonGuard::end(const RequestFingerprint &fingerprint, End how)
{
    {
        const std::lock_guard lock(m_mutex);
        if (how == End::Completed) {
            m_tracker.completed(fingerprint, m_self);
        } else {
            m_tracker.ended(fingerprint, m_self);
        }
    }
    m_changed.notify_all();
}

void PoisonGuard::crashed(std::uint64_t upstreamIncarnation)
{
    const std::lock_guard lock(m_mutex);
    m_tracker.crashed({ m_self, upstreamIncarnation });
}

void PoisonGuard::merge(const CrashReport &report)
{
    const std::lock_guard lock(m_mutex);
    m_tracker.merge(report);
}

std::vector<CrashReport> PoisonGuard::takeReports()
{
    const std::lock_guard lock(m_mutex);
    return m_tracker.takeReports();
}

} // namespace Pimentohollow
