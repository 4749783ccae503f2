#include "http/reading/bufferbudget.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace Pimentohollow
{

/** Guards against revoking a message of average size because others fill the budget. */
TEST(BufferBudgetTest, RevokesLargestReservation)
{
    BufferBudget budget(1000);
    int averageRevocations = 0;
    int endlessRevocations = 0;
    BufferBudget::Reservation average(budget, [&] {
        ++averageRevocations;
    });
    BufferBudget::Reservation endless(budget, [&] {
        ++endlessRevocations;
    });
    EXPECT_TRUE(average.set(100));
    EXPECT_TRUE(endless.set(850));
    EXPECT_TRUE(average.add(100)) << "exceeds the limit, so the other reservation is revoked";
    EXPECT_EQ(averageRevocations, 0);
    EXPECT_EQ(endlessRevocations, 1);
    EXPECT_TRUE(endless.isRevoked());
    EXPECT_FALSE(endless.add(1));
    EXPECT_EQ(endlessRevocations, 1) << "called once";
}

/** Guards against revoking all reservations because the first revoked one isn't released yet. */
TEST(BufferBudgetTest, CountsRevokedReservationAsReleased)
{
    BufferBudget budget(1000);
    int revocations = 0;
    std::vector<std::unique_ptr<BufferBudget::Reservation>> reservations;
    for (int n = 0; n < 5; ++n) {
        reservations.push_back(std::make_unique<BufferBudget::Reservation>(budget, [&] {
            ++revocations;
        }));
        EXPECT_TRUE(reservations.back()->set(n == 0 ? 500 : 150));
    }
    EXPECT_EQ(revocations, 1);
    EXPECT_EQ(budget.revocationCount(), 1U);
    EXPECT_EQ(budget.reservedBytes(), 1100U);
    reservations.clear();
    EXPECT_EQ(budget.reservedBytes(), 0U);
}

/** Guards against unbounded memory when no reservation can be revoked: growth is refused. */
TEST(BufferBudgetTest, RefusesGrowthWithoutRevocableReservation)
{
    BufferBudget budget(1000);
    BufferBudget::Reservation first(budget);
    BufferBudget::Reservation second(budget);
    EXPECT_TRUE(first.set(900));
    EXPECT_FALSE(second.set(200));
    EXPECT_TRUE(second.set(50));
    EXPECT_TRUE(first.set(100));
}

} // namespace Pimentohollow
