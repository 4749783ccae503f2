#include "core/cancellation.h"

namespace Pimentohollow
{

Cancellation::Subscription::Subscription(Cancellation &owner, std::uint64_t id)
    : m_owner(owner)
    , m_id(id)
{
}

Cancellation::Subscription::~Subscription()
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_callbacks.erase(m_id);
}

void Cancellation::cancel()
{
    // The callbacks run under the lock, so that a Subscription's destructor waits for a running one.
    const std::lock_guard lock(m_mutex);
    if (m_cancelled) {
        return;
    }
    m_cancelled = true;
    for (const auto &[id, callback] : m_callbacks) {
        callback();
    }
    m_callbacks.clear();
}

bool Cancellation::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

Cancellation::Subscription Cancellation::onCancel(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t id = m_nextId++;
    if (m_cancelled) {
        callback();
    } else {
        m_callbacks.emplace(id, std::move(callback));
    }
    return { *this, id };
}

} // namespace Pimentohollow
