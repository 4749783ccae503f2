#pragma once

#include <cstdint>

namespace Pimentohollow
{

/** Retries of a whole call chain that are left for one request; every retry anywhere in the chain consumes one. */
class RetryBudget
{
public:
    /** Default number of retries for a request from a caller, so at most three attempts. */
    static constexpr std::uint32_t DefaultRetries = 2;

    explicit RetryBudget(std::uint32_t retries = DefaultRetries);

    std::uint32_t left() const;

    /** Takes one retry; false if none is left here. */
    bool tryConsume();

    /** Takes all retries left, for a child call. A parallel child call gets zero and makes its first attempt only. */
    std::uint32_t lend();

    /**
     * Returns the retries that a child call did not spend.
     * If the child's answer is lost, this is never called and its retries are counted as spent.
     * @param lent what lend() gave to that child
     * @param unused as reported by the child; values above @p lent are cut to it, because the report comes from another process
     */
    void giveBack(std::uint32_t lent, std::uint32_t unused);

private:
    std::uint32_t m_left;
    std::uint32_t m_lent = 0;
};

} // namespace Pimentohollow
