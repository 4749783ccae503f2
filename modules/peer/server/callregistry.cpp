#include "peer/server/callregistry.h"

namespace Pimentohollow
{

namespace
{

std::size_t answerBytes(const CallResponse &response)
{
    const auto *answer = std::get_if<HttpResponseMessage>(&response.result);
    return sizeof(CallResponse) + (answer == nullptr ? 0 : answer->body.size());
}

CallResponse refused(RefusalReason reason, RunState ran, std::string detail)
{
    return { 0, Refusal{ reason, ran, {}, std::move(detail) }, 0, std::nullopt };
}

CallResponse unknownOutcome()
{
    return refused(RefusalReason::OutcomeLost, RunState::Unknown, "the outcome is no longer known");
}

} // namespace

CallRegistry::CallRegistry(const Clock &clock)
    : m_clock(clock)
{
}

bool CallRegistry::begin(const std::string &attemptId)
{
    const std::lock_guard lock(m_mutex);
    forgetOld();
    if (!m_attempts.emplace(attemptId, Attempt{}).second) {
        return false;
    }
    m_started.push_back({ m_clock.now(), attemptId });
    return true;
}

void CallRegistry::finish(const std::string &attemptId, const CallResponse &response)
{
    std::vector<Listener> listeners;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_attempts.find(attemptId);
        if (it == m_attempts.end()) {
            return;
        }
        it->second.finished = true;
        it->second.answer = response;
        listeners.swap(it->second.listeners);
        m_answered.push_back(attemptId);
        m_answerBytes += answerBytes(response);
        dropAnswers();
    }
    for (const auto &it : listeners) {
        it(response);
    }
}

void CallRegistry::query(const std::string &attemptId, Duration age, const Listener &listener)
{
    CallResponse answer = unknownOutcome();
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_attempts.find(attemptId);
        if (it == m_attempts.end()) {
            if (age <= MaximumAge) {
                answer = refused(RefusalReason::NoUpstream, RunState::NotRun, "the serving node didn't receive the call");
            }
        } else if (!it->second.finished) {
            it->second.listeners.push_back(listener);
            return;
        } else if (it->second.answer) {
            answer = *it->second.answer;
        }
    }
    listener(answer);
}

void CallRegistry::forgetOld()
{
    const TimePoint oldest = m_clock.now() - Retention;
    while (!m_started.empty() && m_started.front().at < oldest) {
        const auto it = m_attempts.find(m_started.front().attemptId);
        if (it != m_attempts.end() && !it->second.finished) {
            // A running attempt is never forgotten.
            const std::string attemptId = m_started.front().attemptId;
            m_started.push_back({ m_clock.now(), attemptId });
        } else if (it != m_attempts.end()) {
            m_answerBytes -= it->second.answer ? answerBytes(*it->second.answer) : 0;
            m_attempts.erase(it);
        }
        m_started.pop_front();
    }
    while (!m_answered.empty() && !m_attempts.contains(m_answered.front())) {
        m_answered.pop_front();
    }
}

void CallRegistry::dropAnswers()
{
    while (m_answerBytes > MaximumAnswerBytes && !m_answered.empty()) {
        const auto it = m_attempts.find(m_answered.front());
        m_answered.pop_front();
        if (it != m_attempts.end() && it->second.answer) {
            m_answerBytes -= answerBytes(*it->second.answer);
            it->second.answer.reset();
        }
    }
}

} // namespace Pimentohollow
