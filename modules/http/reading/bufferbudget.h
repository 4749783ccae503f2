#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace Pimentohollow
{

/**
 * Limits the bytes that a process buffers in total: messages being read, and requests and responses being forwarded.
 *
 * Protects against faulty upstreams that send endless heads or bodies on many connections, and against callers that send large bodies at
 * the same time. When the limit is exceeded, the largest reservation is revoked, not the one that grew last, so that a message of average
 * size succeeds beside any number of endless ones. Reservations may outlive this object. Not thread-safe.
 */
class BufferBudget
{
    struct State;

public:
    /** Bytes buffered by one owner; released on destruction. */
    class Reservation
    {
    public:
        /** Belongs to no budget: accepts any size. */
        Reservation() = default;
        /**
         * @param onRevoked called once when the owner has to release its bytes, from within set() or add() of any reservation; it must not
         *                  destroy a reservation. Without it, the reservation is never revoked.
         */
        explicit Reservation(BufferBudget &budget, std::function<void()> onRevoked = {});
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /** Adds @p bytes; false if the budget is exceeded or the reservation is revoked: the owner then has to release its bytes. */
        bool add(std::size_t bytes)
        {
            return set(m_bytes + bytes);
        }
        /** Replaces the size of the reservation; returns the same as add(). */
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
    /** Reservations revoked since construction. */
    std::size_t revocationCount() const;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Pimentohollow
