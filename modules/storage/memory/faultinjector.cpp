#include "storage/memory/faultinjector.h"

#include <algorithm>

namespace Pimentohollow
{

void FaultInjector::setAll(PlatformFault fault)
{
    const std::lock_guard lock(m_mutex);
    m_all = fault;
}

void FaultInjector::failNext(const std::string &step, PlatformFault fault)
{
    const std::lock_guard lock(m_mutex);
    m_planned.push_back({ step, fault });
}

void FaultInjector::setHook(std::function<void(const std::string &)> hook)
{
    const std::lock_guard lock(m_mutex);
    m_hook = std::move(hook);
}

PlatformFault FaultInjector::take(const std::string &step)
{
    std::function<void(const std::string &)> hook;
    {
        const std::lock_guard lock(m_mutex);
        const auto planned = std::find_if(m_planned.begin(), m_planned.end(), [&step](const Planned &it) {
            return it.step == step;
        });
        if (planned != m_planned.end()) {
            const PlatformFault fault = planned->fault;
            m_planned.erase(planned);
            return fault;
        }
        if (m_all != PlatformFault::None) {
            return m_all;
        }
        hook = m_hook;
    }
    // Called without the lock, because the hook may itself use the platform.
    if (hook) {
        hook(step);
    }
    return PlatformFault::None;
}

Error FaultInjector::error(PlatformFault fault, const std::string &step)
{
    switch (fault) {
    case PlatformFault::Unavailable:
        return { ErrorKind::Unavailable, step, "memory", "injected outage" };
    case PlatformFault::Timeout:
        return { ErrorKind::Timeout, step, "memory", "injected timeout" };
    case PlatformFault::LostAnswer:
    case PlatformFault::None:
        break;
    }
    return { ErrorKind::OutcomeUnknown, step, "memory", "injected loss of the answer" };
}

} // namespace Pimentohollow
