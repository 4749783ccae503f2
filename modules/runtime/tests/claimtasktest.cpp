#include "runtime/claims/claimtask.h"
#include "core/systemclock.h"
#include "storage/memory/memoryobjectstore.h"
#include "storage/memory/memorytableservice.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

using namespace Pimentohollow;

namespace
{

class ClaimTaskTest : public testing::Test
{
protected:
    std::unique_ptr<ClaimTask> task(std::uint64_t incarnation)
    {
        return std::make_unique<ClaimTask>(ClaimOwner{ NodeName("n"), incarnation },
                                           DataCentreName("dc"),
                                           m_table,
                                           m_objects,
                                           m_clock,
                                           incarnation,
                                           [](const ClaimOwner &) {
                                               return OwnerLiveness::Alive;
                                           });
    }

    ClaimRequest request(const std::string &key) const
    {
        return { { AccountName("a"), key }, "fingerprint", m_clock.now() + std::chrono::seconds(30) };
    }

    SystemClock m_clock;
    std::shared_ptr<FaultInjector> m_faults = std::make_shared<FaultInjector>();
    MemoryTableService m_table{ m_faults };
    MemoryObjectStore m_objects{ m_faults };
};

} // namespace

// Guards against two runs of one key when resends arrive in parallel at two nodes.
TEST_F(ClaimTaskTest, OneOfManyParallelRequestsRuns)
{
    constexpr int Callers = 16;
    const auto first = task(1);
    const auto second = task(2);
    std::atomic<int> runs{ 0 };
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int n = 0; n < Callers; ++n) {
        callers.emplace_back([this, &runs, &own = n % 2 == 0 ? *first : *second] {
            const auto verdict = own.begin(request("order-1"));
            if (const auto *may = std::get_if<MayRun>(&verdict); may && own.startRun(may->claimId)) {
                ++runs;
                own.finish(may->claimId, { 201, {}, "made", "" });
            }
        });
    }
    for (auto &it : callers) {
        it.join();
    }
    EXPECT_EQ(runs, 1);
}

// Guards against an outcome that is answered but never recorded before the node stops.
TEST_F(ClaimTaskTest, SettledOutcomeIsReplayedByAnotherNode)
{
    const auto first = task(1);
    const auto verdict = first->begin(request("order-2"));
    const auto *may = std::get_if<MayRun>(&verdict);
    ASSERT_NE(may, nullptr);
    ASSERT_TRUE(first->startRun(may->claimId));
    first->finish(may->claimId, { 201, { { "Location", "/orders/2" } }, "made", "" });
    ASSERT_TRUE(first->settle(m_clock.now() + std::chrono::seconds(60)));
    first->stop();

    const auto resend = task(2)->begin(request("order-2"));
    const auto *replay = std::get_if<ReplayOutcome>(&resend);
    ASSERT_NE(replay, nullptr);
    EXPECT_EQ(replay->outcome.status, 201);
    EXPECT_EQ(replay->outcome.body, "made");
}

// Guards against running without a claim while the platform is unavailable.
TEST_F(ClaimTaskTest, RefusesAsNotRunWithoutThePlatform)
{
    m_faults->setAll(PlatformFault::Unavailable);
    const auto verdict = task(1)->begin(request("order-3"));
    const auto *refusal = std::get_if<Refusal>(&verdict);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason, RefusalReason::PlatformUnavailable);
    EXPECT_EQ(refusal->ran, RunState::NotRun);
}

// Guards against callers that wait for ever when the task stops.
TEST_F(ClaimTaskTest, StopAnswersLaterCallers)
{
    const auto stopped = task(1);
    stopped->stop();
    const auto verdict = stopped->begin(request("order-4"));
    ASSERT_TRUE(std::holds_alternative<Refusal>(verdict));
    EXPECT_EQ(std::get<Refusal>(verdict).ran, RunState::NotRun);
    EXPECT_FALSE(stopped->startRun("any"));
}
