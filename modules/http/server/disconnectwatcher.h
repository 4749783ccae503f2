#pragma once

#include "core/cancellation.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace Pimentohollow
{

/**
 * Cancels a running request when its caller closes the connection.
 * One thread polls all watched connections, so that connection threads needn't wake up to check.
 * A caller that shuts down only its sending side counts as disconnected too: the two cases can't be distinguished.
 */
class DisconnectWatcher
{
public:
    /** Watches a connection during its own lifetime. */
    class Watch
    {
    public:
        Watch(DisconnectWatcher &owner, int fd, Cancellation &cancellation);
        ~Watch();
        Watch(const Watch &) = delete;
        Watch &operator=(const Watch &) = delete;

    private:
        DisconnectWatcher &m_owner;
        std::uint64_t m_id;
    };

    DisconnectWatcher();
    ~DisconnectWatcher();
    DisconnectWatcher(const DisconnectWatcher &) = delete;
    DisconnectWatcher &operator=(const DisconnectWatcher &) = delete;

private:
    struct Entry {
        int fd;
        Cancellation *cancellation;
    };

    void run();
    void pollOnce(const std::map<std::uint64_t, Entry> &entries);
    void cancelWatched(std::uint64_t id);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_nextId = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Pimentohollow
