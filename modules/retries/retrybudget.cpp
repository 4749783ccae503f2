#include "retries/retrybudget.h"

#include <algorithm>
#include <cassert>

namespace Pimentohollow
{

RetryBudget::RetryBudget(std::uint32_t retries)
    : m_left(retries)
{
}

std::uint32_t RetryBudget::left() const
{
    return m_left;
}

bool RetryBudget::tryConsume()
{
    if (m_left == 0) {
        return false;
    }
    --m_left;
    return true;
}

std::uint32_t RetryBudget::lend()
{
    const std::uint32_t loan = m_left;
    m_left = 0;
    m_lent += loan;
    return loan;
}

void RetryBudget::giveBack(std::uint32_t lent, std::uint32_t unused)
{
    assert(lent <= m_lent);
    m_lent -= lent;
    m_left += std::min(lent, unused);
}

} // namespace Pimentohollow
