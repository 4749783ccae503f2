#include "standins/platform/standinbehaviour.h"

namespace Pimentohollow
{

void StandinControl::set(const StandinBehaviour &behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_behaviour = behaviour;
}

StandinBehaviour StandinControl::behaviour() const
{
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

StandinCounters StandinControl::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

StandinVerdict StandinControl::judge(bool isWrite)
{
    const std::lock_guard lock(m_mutex);
    switch (m_behaviour.outage) {
    case StandinOutage::Close:
    case StandinOutage::Down:
        return StandinVerdict::Close;
    case StandinOutage::Hang:
        return StandinVerdict::Hang;
    case StandinOutage::Refuse:
        ++m_counters.throttled;
        return StandinVerdict::Throttle;
    case StandinOutage::None:
        break;
    }
    if (!withinLimit(isWrite)) {
        ++m_counters.throttled;
        return StandinVerdict::Throttle;
    }
    ++(isWrite ? m_counters.writes : m_counters.reads);
    if (isWrite && m_behaviour.loseAnswers > 0) {
        --m_behaviour.loseAnswers;
        ++m_counters.lostAnswers;
        return StandinVerdict::ExecuteAndLoseAnswer;
    }
    return StandinVerdict::Execute;
}

void StandinControl::countBadSignature()
{
    const std::lock_guard lock(m_mutex);
    ++m_counters.badSignatures;
}

bool StandinControl::withinLimit(bool isWrite)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_windowReads = 0;
        m_windowWrites = 0;
    }
    const std::uint64_t limit = isWrite ? m_behaviour.writesPerSecond : m_behaviour.readsPerSecond;
    std::uint64_t &used = isWrite ? m_windowWrites : m_windowReads;
    return limit == 0 || used++ < limit;
}

} // namespace Pimentohollow
