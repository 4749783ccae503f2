#include "retries/retries.h"
#include "core/manualclock.h"

#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

/** Makes calls that fail with probability 1/2 per attempt, each with up to two child calls; returns the retries of the whole tree. */
std::uint32_t callTree(RetryBudget &budget, Random &random, int depth)
{
    std::uint32_t retries = 0;
    bool failed = true;
    for (bool first = true; failed && (first || budget.tryConsume()); first = false) {
        retries += first ? 0 : 1;
        for (std::uint64_t child = depth > 0 ? random.below(3) : 0; child > 0; --child) {
            const std::uint32_t loan = budget.lend();
            RetryBudget lent(loan);
            retries += callTree(lent, random, depth - 1);
            const bool answerLost = random.below(8) == 0;
            if (!answerLost) {
                budget.giveBack(loan, lent.left());
            }
        }
        failed = random.below(2) == 0;
    }
    return retries;
}

} // namespace

// Guards against retries that multiply along a call chain, also when answers are lost.
RC_GTEST_PROP(RetryBudgetTest, TreeSpendsAtMostItsBudget, (std::uint64_t seed))
{
    Random random(seed);
    const auto allowed = static_cast<std::uint32_t>(random.below(6));
    RetryBudget budget(allowed);
    const std::uint32_t spent = callTree(budget, random, 5);
    RC_ASSERT(spent + budget.left() <= allowed);
}

// Guards against parallel children that each get the whole budget, and a child that reports more than it was lent.
TEST(RetryBudgetTest, LendsOnceAndCutsReports)
{
    RetryBudget budget(2);
    const std::uint32_t loan = budget.lend();
    EXPECT_EQ(loan, 2U);
    EXPECT_EQ(budget.lend(), 0U);
    EXPECT_FALSE(budget.tryConsume());
    budget.giveBack(loan, 7);
    EXPECT_EQ(budget.left(), 2U);
}

// Guards against a node whose retries exceed a tenth of its first attempts at any moment.
RC_GTEST_PROP(RetryRatioTest, StaysBelowTenthOfFirstAttempts, (const std::vector<bool> &events))
{
    RetryRatio ratio;
    std::uint32_t firstAttempts = 0;
    std::uint32_t retries = 0;
    for (const bool isFirst : events) {
        if (isFirst) {
            ratio.recordFirstAttempt();
            ++firstAttempts;
        } else if (ratio.tryConsume()) {
            ++retries;
        }
        RC_ASSERT(retries * RetryRatio::DefaultFirstAttemptsPerRetry <= firstAttempts);
    }
}

// Guards against a storm of retries paid from a long calm period.
TEST(RetryRatioTest, BoundsSavedRetries)
{
    RetryRatio ratio(10, 3);
    for (int n = 0; n < 1000; ++n) {
        ratio.recordFirstAttempt();
    }
    EXPECT_TRUE(ratio.tryConsume() && ratio.tryConsume() && ratio.tryConsume());
    EXPECT_FALSE(ratio.tryConsume());
}

struct PolicyCase {
    const char *name;
    RefusalReason reason;
    RunState ran;
    bool idempotent;
    bool otherUpstream;
    Duration timeLeft;
    std::uint32_t budget;
    std::uint32_t firstAttempts;
    std::optional<GiveUpReason> expected;
};

class RetryPolicyTest : public testing::TestWithParam<PolicyCase>
{
};

// Guards against repeating work that may have run, that can't succeed, or that no budget covers; and against charging for refused retries.
TEST_P(RetryPolicyTest, Decides)
{
    const auto &it = GetParam();
    const ManualClock clock;
    RequestContext context;
    context.idempotent = it.idempotent;
    context.deadline = clock.now() + it.timeLeft;
    RetryBudget budget(it.budget);
    RetryRatio ratio;
    for (std::uint32_t n = 0; n < it.firstAttempts; ++n) {
        ratio.recordFirstAttempt();
    }
    const bool ratioBefore = ratio.available();
    const auto decision = RetryPolicy::decide(context, { it.reason, it.ran, it.otherUpstream, 20ms }, clock.now(), budget, ratio);
    if (it.expected) {
        ASSERT_TRUE(std::holds_alternative<GiveUp>(decision));
        EXPECT_EQ(std::get<GiveUp>(decision).reason, *it.expected);
        EXPECT_EQ(budget.left(), it.budget);
        EXPECT_EQ(ratio.available(), ratioBefore);
    } else {
        ASSERT_TRUE(std::holds_alternative<RetryElsewhere>(decision));
        EXPECT_EQ(budget.left(), it.budget - 1);
        EXPECT_FALSE(ratio.available());
    }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    RetryPolicyTest,
    testing::Values(
        PolicyCase{ "NotRun", RefusalReason::Overloaded, RunState::NotRun, false, true, 1s, 2, 10, {} },
        PolicyCase{ "Idempotent", RefusalReason::UpstreamFailed, RunState::Unknown, true, true, 1s, 2, 10, {} },
        PolicyCase{ "MayHaveRun", RefusalReason::UpstreamFailed, RunState::Unknown, false, true, 1s, 2, 10, GiveUpReason::NotSafe },
        PolicyCase{ "Deeper", RefusalReason::DownstreamOverloaded, RunState::NotRun, true, true, 1s, 2, 10, GiveUpReason::NotUseful },
        PolicyCase{ "Poison", RefusalReason::Poison, RunState::NotRun, true, true, 1s, 2, 10, GiveUpReason::NotUseful },
        PolicyCase{ "Alone", RefusalReason::Overloaded, RunState::NotRun, true, false, 1s, 2, 10, GiveUpReason::NoOtherUpstream },
        PolicyCase{ "Late", RefusalReason::Overloaded, RunState::NotRun, true, true, 20ms, 2, 10, GiveUpReason::DeadlineTooClose },
        PolicyCase{ "NoBudget", RefusalReason::Overloaded, RunState::NotRun, true, true, 1s, 0, 10, GiveUpReason::BudgetSpent },
        PolicyCase{ "NoRatio", RefusalReason::Overloaded, RunState::NotRun, true, true, 1s, 2, 9, GiveUpReason::RatioSpent },
        PolicyCase{ "Draining", RefusalReason::Draining, RunState::NotRun, false, true, 1s, 2, 9, {} },
        PolicyCase{ "NoUpstream", RefusalReason::NoUpstream, RunState::NotRun, false, true, 1s, 2, 9, {} },
        PolicyCase{ "DrainingNoBudget", RefusalReason::Draining, RunState::NotRun, true, true, 1s, 0, 10, GiveUpReason::BudgetSpent }),
    [](const auto &testInfo) {
        return std::string(testInfo.param.name);
    });

// Guards against refused callers that return in step, and against times that don't grow with overload.
RC_GTEST_PROP(RetryAfterTest, LengthensWithOverloadAndIsJittered, (std::uint64_t seed))
{
    Random random(seed);
    RetryAfter retryAfter({ 1s, 30s }, random);
    const Duration calm = retryAfter.forOverload(1.0);
    RC_ASSERT(calm >= 500ms && calm < 1500ms);
    const Duration overloaded = retryAfter.forOverload(0.1);
    RC_ASSERT(overloaded >= 5s && overloaded < 15s);
    const Duration closed = retryAfter.forOverload(0.0);
    RC_ASSERT(closed >= 15s && closed < 45s);
    RC_ASSERT(retryAfter.forOverload(0.1) != retryAfter.forOverload(0.1));
    RC_ASSERT(retryAfter.atLeast(2s) >= 2s);
}
