#include "http/reading/heldbytes.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace Pimentohollow
{

/** Guards against a message of usual size that is given up because others fill the memory. */
TEST(HeldBytesTest, LargestHolderIsGivenUp)
{
    HeldBytes held(1000);
    int small = 0;
    int large = 0;
    HeldBytes::Lease usual(held, [&] {
        ++small;
    });
    HeldBytes::Lease endless(held, [&] {
        ++large;
    });
    EXPECT_TRUE(usual.set(100));
    EXPECT_TRUE(endless.set(850));
    EXPECT_TRUE(usual.add(100)) << "passes the limit, and the other one has to go";
    EXPECT_EQ(small, 0);
    EXPECT_EQ(large, 1);
    EXPECT_TRUE(endless.isGivenUp());
    EXPECT_FALSE(endless.add(1));
    EXPECT_EQ(large, 1) << "told once";
}

/** Guards against holders that are all given up because the first one hasn't let go yet. */
TEST(HeldBytesTest, HolderThatLeavesCountsAsGone)
{
    HeldBytes held(1000);
    int given = 0;
    std::vector<std::unique_ptr<HeldBytes::Lease>> leases;
    for (int n = 0; n < 5; ++n) {
        leases.push_back(std::make_unique<HeldBytes::Lease>(held, [&] {
            ++given;
        }));
        EXPECT_TRUE(leases.back()->set(n == 0 ? 500 : 150));
    }
    EXPECT_EQ(given, 1);
    EXPECT_EQ(held.givenUp(), 1U);
    EXPECT_EQ(held.held(), 1100U);
    leases.clear();
    EXPECT_EQ(held.held(), 0U);
}

/** Guards against unbounded memory where nothing can be given up: what grows is refused. */
TEST(HeldBytesTest, WithoutAnyoneToGiveUpGrowthIsRefused)
{
    HeldBytes held(1000);
    HeldBytes::Lease first(held);
    HeldBytes::Lease second(held);
    EXPECT_TRUE(first.set(900));
    EXPECT_FALSE(second.set(200));
    EXPECT_TRUE(second.set(50));
    EXPECT_TRUE(first.set(100));
}

} // namespace Pimentohollow
