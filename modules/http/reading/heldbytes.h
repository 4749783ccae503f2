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
class HeldBytes
{
    struct Account;

public:
    /** What one holder has; returns it at its end. */
    class Lease
    {
    public:
        /** Counts nothing. */
        Lease() = default;
        /**
         * @param giveUp called once when this holder has to let go, from within set() or add() of any holder; it may not destroy a lease.
         *               Without it, the holder is never asked to.
         */
        explicit Lease(HeldBytes &account, std::function<void()> giveUp = {});
        ~Lease();
        Lease(const Lease &) = delete;
        Lease &operator=(const Lease &) = delete;

        /** False if this holder has to let go now: there is no room. */
        bool add(std::size_t count)
        {
            return set(m_bytes + count);
        }
        /** As add(), for all that the holder has. */
        bool set(std::size_t bytes);

        bool isGivenUp() const
        {
            return m_givenUp;
        }

    private:
        friend struct Account;

        std::shared_ptr<Account> m_account;
        std::function<void()> m_giveUp;
        std::size_t m_bytes = 0;
        bool m_givenUp = false;
    };

    /** @param limit in bytes */
    explicit HeldBytes(std::size_t limit);

    std::size_t held() const;
    std::size_t limit() const;
    /** Holders that were given up since the start. */
    std::size_t givenUp() const;

private:
    std::shared_ptr<Account> m_account;
};

} // namespace Pimentohollow
