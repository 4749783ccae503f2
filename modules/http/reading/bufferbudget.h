#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace Pimentohollow
{

/**
 * Counts the bytes that a process holds for others (messages that are being read, requests and answers on their way), so that together they
 * stay within a bound.
 *
 * The load it answers: upstreams in trouble send heads or bodies without end at many connections at once, or callers send large bodies all
 * at once. When the bound is passed, what holds most is given up, and not what happens to grow next: a message of usual size goes through
 * beside any number of endless ones. Holders may outlive this object. Not thread-safe.
 */
class BufferBudget
{
    struct State;

public:
    /** What one holder has; returns it at its end. */
    class Reservation
    {
    public:
        /** Counts nothing. */
        Reservation() = default;
        /**
         * @param giveUp called once when this holder has to let go, from within set() or add() of any holder; it may not destroy a lease.
         *               Without it, the holder is never asked to.
         */
        explicit Reservation(BufferBudget &budget, std::function<void()> onRevoked = {});
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /** False if this holder has to let go now: there is no room. */
        bool add(std::size_t bytes)
        {
            return set(m_bytes + bytes);
        }
        /** As add(), for all that the holder has. */
        bool set(std::size_t bytes);

        bool isRevoked() const
        {
            return m_revoked;
        }

    private:
        friend struct State;

        std::shared_ptr<State> m_state;
        std::function<void()> m_onRevoked;
        std::size_t m_bytes = 0;
        bool m_revoked = false;
    };

    /** @param limit in bytes */
    explicit BufferBudget(std::size_t limit);

    std::size_t reservedBytes() const;
    std::size_t limit() const;
    /** Holders that were given up since the start. */
    std::size_t revocationCount() const;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Pimentohollow
