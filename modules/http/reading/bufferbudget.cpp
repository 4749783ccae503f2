#include "http/reading/bufferbudget.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Pimentohollow
{

struct BufferBudget::State {
    std::size_t limit = 0;
    std::size_t reservedBytes = 0;
    /** Bytes of revoked reservations that aren't released yet. */
    std::size_t revokedBytes = 0;
    std::size_t revocations = 0;
    /** Reservations with a callback. */
    std::set<Reservation *> revocableReservations;

    /** False if no reservation can be revoked. */
    bool revokeLargest();
};

BufferBudget::Reservation::Reservation(BufferBudget &budget, std::function<void()> onRevoked)
    : m_state(budget.m_state)
    , m_onRevoked(std::move(onRevoked))
{
    if (m_onRevoked) {
        m_state->revocableReservations.insert(this);
    }
}

BufferBudget::Reservation::~Reservation()
{
    set(0);
    if (m_state != nullptr && m_onRevoked) {
        m_state->revocableReservations.erase(this);
    }
}

bool BufferBudget::Reservation::set(std::size_t bytes)
{
    if (m_state == nullptr) {
        return true;
    }
    const bool grows = bytes > m_bytes;
    m_state->reservedBytes = m_state->reservedBytes - m_bytes + bytes;
    if (m_revoked) {
        m_state->revokedBytes = m_state->revokedBytes - m_bytes + bytes;
    }
    m_bytes = bytes;
    while (grows && !m_revoked && m_state->reservedBytes - m_state->revokedBytes > m_state->limit) {
        if (!m_state->revokeLargest()) {
            return false;
        }
    }
    return !m_revoked;
}

BufferBudget::BufferBudget(std::size_t limit)
    : m_state(std::make_shared<State>())
{
    m_state->limit = limit;
}

std::size_t BufferBudget::reservedBytes() const
{
    return m_state->reservedBytes;
}

std::size_t BufferBudget::limit() const
{
    return m_state->limit;
}

std::size_t BufferBudget::revocationCount() const
{
    return m_state->revocations;
}

bool BufferBudget::State::revokeLargest()
{
    const auto smaller = [](const Reservation *left, const Reservation *right) {
        const auto revocableBytes = [](const Reservation *it) {
            return it->m_revoked ? 0 : it->m_bytes;
        };
        return revocableBytes(left) < revocableBytes(right);
    };
    const auto largest = std::max_element(revocableReservations.begin(), revocableReservations.end(), smaller);
    if (largest == revocableReservations.end() || (*largest)->m_revoked || (*largest)->m_bytes == 0) {
        return false;
    }
    auto &reservation = **largest;
    reservation.m_revoked = true;
    revokedBytes += reservation.m_bytes;
    ++revocations;
    reservation.m_onRevoked();
    return true;
}

} // namespace Pimentohollow
