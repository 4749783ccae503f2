#include "mesh/decisions/shutdownplan.h"

#include <gtest/gtest.h>
#include <string>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint StoppedAt{ 1h };
constexpr Duration Grace = 6s;

struct StopCase {
    const char *name;
    bool stopping;
    /** Time since the stop request. */
    Duration since;
    Duration remaining;
    Duration usual;
    bool canFinish;
};

class ShutdownPlanTest : public ::testing::TestWithParam<StopCase>
{
};

} // namespace

/** Guards against requests that are taken although the process ends before them, and against refusals of requests that would finish. */
TEST_P(ShutdownPlanTest, TakesWhatCanBeFinished)
{
    const auto &it = GetParam();
    ShutdownPlan plan;
    if (it.stopping) {
        plan.start(Grace, StoppedAt);
    }
    EXPECT_EQ(plan.canFinish(it.remaining, it.usual, StoppedAt + it.since), it.canFinish);
}

INSTANTIATE_TEST_SUITE_P(Requests,
                         ShutdownPlanTest,
                         ::testing::Values(StopCase{ "NotStopping", false, 0s, 60s, 60s, true },
                                           StopCase{ "AtOnce", true, 0s, 5s, 1s, true },
                                           StopCase{ "DeadlineBeforeTheEnd", true, 4s, 1500ms, 1s, true },
                                           StopCase{ "DeadlineAfterTheEnd", true, 4s, 3s, 1s, false },
                                           StopCase{ "UsuallyQuick", true, 4s, 3s, 100ms, true },
                                           StopCase{ "UsuallyTooSlowLate", true, 5500ms, 3s, 100ms, false },
                                           StopCase{ "UnknownTime", true, 4s, 3s, 0s, false },
                                           StopCase{ "UnknownTimeShortDeadline", true, 4s, 500ms, 0s, true },
                                           StopCase{ "AfterTheEnd", true, 6s, 1ms, 1ms, false }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

} // namespace Pimentohollow
