#include "core/backoff.h"

#include <gtest/gtest.h>

namespace Pimentohollow
{

using namespace std::chrono_literals;

/** Guards against pauses that grow without end, or stay long after a success. */
TEST(BackoffTest, DoublesUpToTheLongestAndStartsAnew)
{
    Backoff backoff(250ms, 1s);
    EXPECT_EQ(backoff.next(), 250ms);
    EXPECT_EQ(backoff.next(), 500ms);
    EXPECT_EQ(backoff.next(), 1s);
    EXPECT_EQ(backoff.next(), 1s);
    backoff.reset();
    EXPECT_EQ(backoff.next(), 250ms);
}

} // namespace Pimentohollow
