#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace Pimentohollow
{

/**
 * Tells the tasks that work on a request that its caller no longer wants the answer.
 * Thread-safe. Must outlive its subscriptions.
 */
class Cancellation
{
public:
    /** Keeps a callback registered; once destroyed, the callback neither runs nor will run. */
    class Subscription
    {
    public:
        Subscription(Cancellation &owner, std::uint64_t id);
        ~Subscription();
        Subscription(const Subscription &) = delete;
        Subscription &operator=(const Subscription &) = delete;

    private:
        Cancellation &m_owner;
        std::uint64_t m_id;
    };

    /** Marks the request as cancelled and runs the callbacks, each at most once. */
    void cancel();

    bool cancelled() const;

    /** Runs @p callback on cancel(), at once if that has happened. The callback must not use this object or block. */
    [[nodiscard]] Subscription onCancel(std::function<void()> callback);

private:
    mutable std::mutex m_mutex;
    bool m_cancelled = false;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, std::function<void()>> m_callbacks;
};

} // namespace Pimentohollow
