#include "http/reading/heldbytes.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Pimentohollow
{

struct HeldBytes::Account {
    std::size_t limit = 0;
    std::size_t held = 0;
    /** Bytes of holders that were given up and haven't let go yet. */
    std::size_t leaving = 0;
    std::size_t givenUp = 0;
    /** Holders that can be given up. */
    std::set<Lease *> leases;

    /** False if there is none to give up. */
    bool giveUpLargest();
};

HeldBytes::Lease::Lease(HeldBytes &account, std::function<void()> giveUp)
    : m_account(account.m_account)
    , m_giveUp(std::move(giveUp))
{
    if (m_giveUp) {
        m_account->leases.insert(this);
    }
}

HeldBytes::Lease::~Lease()
{
    set(0);
    if (m_account != nullptr && m_giveUp) {
        m_account->leases.erase(this);
    }
}

bool HeldBytes::Lease::set(std::size_t bytes)
{
    if (m_account == nullptr) {
        return true;
    }
    const bool grows = bytes > m_bytes;
    m_account->held = m_account->held - m_bytes + bytes;
    if (m_givenUp) {
        m_account->leaving = m_account->leaving - m_bytes + bytes;
    }
    m_bytes = bytes;
    while (grows && !m_givenUp && m_account->held - m_account->leaving > m_account->limit) {
        if (!m_account->giveUpLargest()) {
            return false;
        }
    }
    return !m_givenUp;
}

HeldBytes::HeldBytes(std::size_t limit)
    : m_account(std::make_shared<Account>())
{
    m_account->limit = limit;
}

std::size_t HeldBytes::held() const
{
    return m_account->held;
}

std::size_t HeldBytes::limit() const
{
    return m_account->limit;
}

std::size_t HeldBytes::givenUp() const
{
    return m_account->givenUp;
}

bool HeldBytes::Account::giveUpLargest()
{
    const auto smaller = [](const Lease *left, const Lease *right) {
        const auto rank = [](const Lease *it) {
            return it->m_givenUp ? 0 : it->m_bytes;
        };
        return rank(left) < rank(right);
    };
    const auto largest = std::max_element(leases.begin(), leases.end(), smaller);
    if (largest == leases.end() || (*largest)->m_givenUp || (*largest)->m_bytes == 0) {
        return false;
    }
    auto &lease = **largest;
    lease.m_givenUp = true;
    leaving += lease.m_bytes;
    ++givenUp;
    lease.m_giveUp();
    return true;
}

} // namespace Pimentohollow
