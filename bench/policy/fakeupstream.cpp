#include "fakeupstream.h"

#include <algorithm>

namespace Pimentohollow
{

FakeUpstream::FakeUpstream(const ServiceModel &model)
    : m_model(model)
{
}

FakeUpstream::Entry FakeUpstream::enter(AdmissionTicket ticket)
{
    if (m_running < m_model.slots) {
        ++m_running;
        return Entry::Runs;
    }
    if (m_running + m_waiting.size() >= m_model.connections) {
        return Entry::Refused;
    }
    m_waiting.push_back(ticket);
    return Entry::Waits;
}

AdmissionTicket FakeUpstream::leave()
{
    if (m_waiting.empty()) {
        --m_running;
        return 0;
    }
    const AdmissionTicket next = m_waiting.front();
    m_waiting.pop_front();
    return next;
}

void FakeUpstream::removeWaiting(AdmissionTicket ticket)
{
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), ticket);
    if (found != m_waiting.end()) {
        m_waiting.erase(found);
    }
}

} // namespace Pimentohollow
