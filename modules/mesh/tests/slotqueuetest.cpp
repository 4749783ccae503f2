#include "mesh/decisions/slotqueue.h"
#include "core/random.h"

#include <gtest/gtest.h>
#include <queue>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t Slots = 20;
constexpr std::uint32_t UsableSlots = 19;
const RouteName Lookup("lookup");
const TimePoint Start{ 1h };

SlotRequest request(std::uint64_t ticket, std::uint32_t rank = 0, bool nested = false, Duration left = 1s)
{
    return { ticket, Lookup, rank, nested, Start + left };
}

/** Outcomes of the requests of one rank. */
struct RankResult {
    int requested = 0;
    int inTime = 0;
    int refused = 0;
    int finishedLate = 0;
    Duration longestWaitBeforeRefusal{};
};

/** Simulates a service that receives @p factor times its capacity for ten seconds; each rank contributes the same part of the load. */
std::array<RankResult, 3> simulateOverload(double factor)
{
    constexpr Duration RunTime = 30ms;
    constexpr Duration Deadline = 300ms;
    SlotQueue queue;
    queue.setSlots(Slots);
    Random random(7);
    struct Job {
        std::uint32_t rank = 0;
        TimePoint arrived{};
        TimePoint started{};
    };
    std::map<std::uint64_t, Job> jobs;
    std::multimap<TimePoint, std::uint64_t> ends;
    std::array<RankResult, 3> results;
    const auto apply = [&](const SlotSchedule &schedule, TimePoint now) {
        for (const auto it : schedule.start) {
            jobs[it].started = now;
            ends.emplace(now + std::chrono::duration_cast<Duration>(RunTime * (0.5 + random.unit())), it);
        }
        for (const auto it : schedule.refuse) {
            auto &result = results.at(jobs[it].rank);
            ++result.refused;
            result.longestWaitBeforeRefusal = std::max<Duration>(result.longestWaitBeforeRefusal, now - jobs[it].arrived);
        }
    };
    const double interval = 0.03 / UsableSlots / factor;
    TimePoint arrival = Start;
    std::uint64_t ticket = 0;
    while (arrival < Start + 10s) {
        while (!ends.empty() && ends.begin()->first <= arrival) {
            const auto [end, finished] = *ends.begin();
            ends.erase(ends.begin());
            const auto &job = jobs[finished];
            auto &result = results.at(job.rank);
            ++(end - job.arrived <= Deadline ? result.inTime : result.finishedLate);
            apply(queue.release(finished, end - job.started, end), end);
            EXPECT_LE(queue.running(), UsableSlots);
        }
        ++ticket;
        const auto rank = static_cast<std::uint32_t>(ticket % 3);
        jobs[ticket] = { rank, arrival, {} };
        ++results.at(rank).requested;
        const auto decision = queue.offer({ ticket, Lookup, rank, false, arrival + Deadline }, arrival);
        if (std::holds_alternative<SlotGranted>(decision)) {
            apply({ { ticket }, {} }, arrival);
        } else if (const auto *refused = std::get_if<SlotRefused>(&decision)) {
            EXPECT_GT(refused->retryAfter, 0ms);
            ++results.at(rank).refused;
        }
        arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(random.exponential(interval)));
    }
    return results;
}

} // namespace

/** Guards against less urgent requests that take the slots of more urgent ones while a service is overloaded. */
TEST(SlotQueueTest, OverloadRefusesTheLeastUrgent)
{
    for (const double factor : { 1.5, 2.5 }) {
        const auto results = simulateOverload(factor);
        EXPECT_GT(results[0].inTime, results[0].requested * 0.97) << factor;
        EXPECT_GT(results[0].inTime * 1.0 / results[0].requested, results[2].inTime * 1.0 / results[2].requested) << factor;
        for (const auto &it : results) {
            EXPECT_LT(it.finishedLate, it.requested * 0.01) << "slots used for answers that are too late";
        }
        const int served = results[0].inTime + results[1].inTime + results[2].inTime;
        const int capacity = static_cast<int>(10 / 0.03 * UsableSlots);
        EXPECT_GT(served, capacity * 0.93) << "slots are unused";
    }
}

/** Guards against refusals while a service is below its capacity. */
TEST(SlotQueueTest, NothingIsRefusedBelowCapacity)
{
    const auto results = simulateOverload(0.7);
    for (const auto &it : results) {
        EXPECT_EQ(it.refused, 0);
        EXPECT_EQ(it.inTime + 0.0, it.inTime);
    }
}

/** Guards against nested calls of started call trees that wait behind new requests of their rank. */
TEST(SlotQueueTest, NestedCallsPrecedeNewRequestsOfTheirRank)
{
    SlotQueue queue;
    queue.setSlots(1);
    ASSERT_TRUE(std::holds_alternative<SlotGranted>(queue.offer(request(1), Start)));
    ASSERT_TRUE(std::holds_alternative<SlotQueued>(queue.offer(request(2, 2), Start)));
    ASSERT_TRUE(std::holds_alternative<SlotQueued>(queue.offer(request(3, 2, true), Start)));
    ASSERT_TRUE(std::holds_alternative<SlotQueued>(queue.offer(request(4, 0), Start)));
    EXPECT_EQ(queue.release(1, 10ms, Start).start, std::vector<std::uint64_t>{ 4 });
    EXPECT_EQ(queue.release(4, 10ms, Start).start, std::vector<std::uint64_t>{ 3 });
    EXPECT_EQ(queue.release(3, 10ms, Start).start, std::vector<std::uint64_t>{ 2 });
}

/** Guards against requests that stay in the queue although they can't finish in time. */
TEST(SlotQueueTest, RequestsThatCantFinishInTimeAreRefused)
{
    SlotQueue queue;
    queue.setSlots(1);
    (void)queue.offer(request(1), Start);
    (void)queue.release(1, 100ms, Start);
    ASSERT_TRUE(std::holds_alternative<SlotGranted>(queue.offer(request(2), Start)));
    EXPECT_TRUE(std::holds_alternative<SlotRefused>(queue.offer(request(3, 0, false, 50ms), Start)));
    ASSERT_TRUE(std::holds_alternative<SlotQueued>(queue.offer(request(4, 0, false, 300ms), Start)));
    EXPECT_TRUE(queue.schedule(Start + 100ms).refuse.empty());
    EXPECT_EQ(queue.schedule(Start + 160ms).refuse, std::vector<std::uint64_t>{ 4 });
    EXPECT_FALSE(queue.remove(4));
}

/** Guards against an upstream that deregisters and keeps a queue. */
TEST(SlotQueueTest, WithoutSlotsEverythingIsRefused)
{
    SlotQueue queue;
    queue.setSlots(1);
    (void)queue.offer(request(1), Start);
    (void)queue.offer(request(2), Start);
    queue.setSlots(0);
    EXPECT_EQ(queue.refuseAll().refuse, std::vector<std::uint64_t>{ 2 });
    EXPECT_TRUE(std::holds_alternative<SlotRefused>(queue.offer(request(3), Start)));
    EXPECT_EQ(queue.running(), 1U);
}

} // namespace Pimentohollow
