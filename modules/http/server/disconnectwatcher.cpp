#include "http/server/disconnectwatcher.h"

#include <poll.h>
#include <vector>

namespace Pimentohollow
{

namespace
{

/** Maximum time until a poll includes a newly watched connection, and therefore the maximum delay of a cancellation. */
constexpr int PollMilliseconds = 20;

} // namespace

DisconnectWatcher::Watch::Watch(DisconnectWatcher &owner, int fd, Cancellation &cancellation)
    : m_owner(owner)
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_id = m_owner.m_nextId++;
    m_owner.m_entries.emplace(m_id, Entry{ fd, &cancellation });
    if (m_owner.m_entries.size() == 1) {
        m_owner.m_changed.notify_all();
    }
}

DisconnectWatcher::Watch::~Watch()
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_entries.erase(m_id);
}

DisconnectWatcher::DisconnectWatcher()
    : m_thread([this] {
        run();
    })
{
}

DisconnectWatcher::~DisconnectWatcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void DisconnectWatcher::run()
{
    while (true) {
        std::map<std::uint64_t, Entry> entries;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] {
                return m_stopping || !m_entries.empty();
            });
            if (m_stopping) {
                return;
            }
            entries = m_entries;
        }
        pollOnce(entries);
    }
}

void DisconnectWatcher::pollOnce(const std::map<std::uint64_t, Entry> &entries)
{
    std::vector<pollfd> descriptors;
    std::vector<std::uint64_t> ids;
    for (const auto &[id, entry] : entries) {
        descriptors.push_back({ entry.fd, POLLRDHUP, 0 });
        ids.push_back(id);
    }
    if (::poll(descriptors.data(), descriptors.size(), PollMilliseconds) <= 0) {
        return;
    }
    for (std::size_t n = 0; n < descriptors.size(); ++n) {
        if ((descriptors[n].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            cancelWatched(ids[n]);
        }
    }
}

void DisconnectWatcher::cancelWatched(std::uint64_t id)
{
    // The lock keeps the Cancellation alive: its Watch is destroyed first, and that takes the lock.
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return; // the request ended; the descriptor may already belong to another connection
    }
    it->second.cancellation->cancel();
    m_entries.erase(it);
}

} // namespace Pimentohollow
