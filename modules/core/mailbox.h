#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace Pimentohollow
{

/**
 * Bounded queue through which tasks send each other messages. The receiving task owns its state and reads it alone.
 *
 * Any thread may post; after close() posting fails and take() returns nothing once the queue is empty.
 */
template <typename Message>
class Mailbox
{
public:
    explicit Mailbox(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /** Adds a message; false if the mailbox is full or closed. Never blocks, so that a slow task can't stall its senders. */
    bool post(Message message)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_messages.size() >= m_capacity) {
                return false;
            }
            m_messages.push_back(std::move(message));
        }
        m_ready.notify_one();
        return true;
    }

    /** Waits for a message at most until @p deadline; nothing on timeout or when closed and empty. */
    std::optional<Message> take(std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_until(lock, deadline, [this] {
            return m_closed || !m_messages.empty();
        });
        return popLocked();
    }

    /** Waits for a message without a time limit; nothing when closed and empty. */
    std::optional<Message> take()
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait(lock, [this] {
            return m_closed || !m_messages.empty();
        });
        return popLocked();
    }

    /** Refuses further messages and wakes all waiting threads. */
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
    }

    bool closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_messages.size();
    }

private:
    std::optional<Message> popLocked()
    {
        if (m_messages.empty()) {
            return std::nullopt;
        }
        std::optional<Message> message(std::move(m_messages.front()));
        m_messages.pop_front();
        return message;
    }

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<Message> m_messages;
    bool m_closed = false;
};

} // namespace Pimentohollow
