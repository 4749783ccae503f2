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
 * Notices callers that close their connection while a request is running, and cancels its work.
 * One thread polls all watched connections, so that connection threads needn't wake up to look.
 * A caller that closes only its sending side counts as gone too: it can't be told apart from one that left.
 */
class DisconnectWatcher
{
public:
    /** Watches a connection while it exists. */
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
