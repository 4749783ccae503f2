#include "core/random.h"
#include "mesh/decisions/slotqueue.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Start{ 1h };
/** The users' rule for limits. */
constexpr Duration LimitWindow = 4s;
constexpr double LimitTolerance = 1.5;
constexpr double LimitSlack = 5;
constexpr Duration ScheduleInterval = 50ms;

struct LimitedLoadCase {
    const char *name;
    double limit;
    /** Arrivals per second. */
    double offered;
    Duration runTime;
    /** The node restarts, with an empty bucket, this often. */
    Duration restartInterval;
    /** The node stands still for this long once, with requests waiting. */
    Duration freeze;
};

/** What the callers of one rank got. */
struct RankOutcome {
    std::size_t offered = 0;
    std::size_t inTime = 0;
};

struct LoadResult {
    std::size_t mostInWindow = 0;
    std::size_t started = 0;
    std::array<RankOutcome, 2> ranks;
};

/** Offers a mixed load to the queue of an upstream that names a limit, for 20 s. */
LoadResult playLimitedLoad(const LimitedLoadCase &load)
{
    constexpr Duration Played = 20s;
    constexpr Duration Deadline = 1s;
    constexpr std::uint32_t Slots = 100;
    const RouteName route("lookup");
    SlotQueue queue;
    LoadResult result;
    std::deque<TimePoint> starts;
    std::map<std::uint64_t, std::uint32_t> ranks;
    std::multimap<TimePoint, std::uint64_t> ends;
    std::uint64_t ticket = 0;
    const auto reset = [&](TimePoint now) {
        queue = SlotQueue();
        queue.setSlots(Slots);
        queue.setRateLimit(load.limit, now);
        ends.clear();
    };
    const auto start = [&](std::uint64_t started, TimePoint now) {
        starts.push_back(now);
        ++result.started;
        ends.emplace(now + load.runTime, started);
    };
    const auto apply = [&](const SlotSchedule &schedule, TimePoint now) {
        for (const auto it : schedule.start) {
            start(it, now);
        }
    };
    reset(Start);
    TimePoint nextSchedule = Start;
    TimePoint nextRestart = Start + load.restartInterval;
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / load.offered));
    bool frozen = load.freeze == Duration::zero();
    for (TimePoint now = Start; now < Start + Played; now += interval) {
        if (!frozen && now > Start + Played / 2) {
            now += load.freeze;
            frozen = true;
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [end, finished] = *ends.begin();
            ends.erase(ends.begin());
            ++result.ranks.at(ranks[finished]).inTime;
            apply(queue.release(finished, load.runTime, now), now);
        }
        if (now >= nextSchedule) {
            apply(queue.schedule(now), now);
            nextSchedule = now + ScheduleInterval;
        }
        if (now >= nextRestart) {
            reset(now);
            nextRestart = now + load.restartInterval;
        }
        ++ticket;
        const auto rank = static_cast<std::uint32_t>(ticket % 2);
        ranks[ticket] = rank;
        ++result.ranks.at(rank).offered;
        if (std::holds_alternative<SlotGranted>(queue.offer({ ticket, route, rank, false, now + Deadline }, now))) {
            start(ticket, now);
        }
    }
    for (std::size_t first = 0, last = 0; last < starts.size(); ++last) {
        while (starts[last] - starts[first] >= LimitWindow) {
            ++first;
        }
        result.mostInWindow = std::max(result.mostInWindow, last - first + 1);
    }
    return result;
}

class LimitedLoadTest : public ::testing::TestWithParam<LimitedLoadCase>
{
};

} // namespace

/** Guards against more requests than the upstream accepts, also after restarts and freezes, and against an upstream that is left unused. */
TEST_P(LimitedLoadTest, UpstreamGetsWhatItsLimitAllows)
{
    const auto &load = GetParam();
    const LoadResult result = playLimitedLoad(load);
    const double windowSeconds = std::chrono::duration<double>(LimitWindow).count();
    EXPECT_LE(result.mostInWindow, load.limit * windowSeconds * LimitTolerance + LimitSlack);
    EXPECT_GT(result.started, 0U) << "the end of the limit would not be noticed";
    if (load.limit >= 1) {
        EXPECT_GE(result.mostInWindow, std::min(load.limit, load.offered) * windowSeconds * 0.9);
    }
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         LimitedLoadTest,
                         ::testing::Values(LimitedLoadCase{ "BelowTheLimit", 50, 30, 20ms, 1h, 0s },
                                           LimitedLoadCase{ "ThreeTimesTheLimit", 30, 90, 120ms, 1h, 0s },
                                           LimitedLoadCase{ "HighLimit", 290, 1100, 15ms, 1h, 0s },
                                           LimitedLoadCase{ "LowLimit", 2, 50, 20ms, 1h, 0s },
                                           LimitedLoadCase{ "NoRequestsAccepted", 0, 50, 20ms, 1h, 0s },
                                           LimitedLoadCase{ "Restarts", 30, 200, 20ms, 700ms, 0s },
                                           LimitedLoadCase{ "Freeze", 30, 200, 20ms, 1h, 3s }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

/** Guards against urgent requests that are refused while less urgent ones use up the limit. */
TEST(LimitedRankTest, UrgentRequestsUseTheLimitFirst)
{
    const LoadResult result = playLimitedLoad({ "", 60, 100, 30ms, 1h, 0s });
    const auto share = [](const RankOutcome &rank) {
        return static_cast<double>(rank.inTime) / static_cast<double>(rank.offered);
    };
    EXPECT_GE(share(result.ranks[0]), 0.95);
    EXPECT_LE(share(result.ranks[1]), 0.3);
}

/** Guards against other nodes that place requests at an upstream by its slots although its limit leaves most of them idle. */
TEST(LimitedCapacityTest, ReportedSlotsAndRunTimeAmountToTheLimit)
{
    constexpr Duration RunTime = 100ms;
    SlotQueue queue;
    queue.setSlots(100);
    const auto run = [&](std::uint64_t ticket) {
        (void)queue.offer({ ticket, RouteName("lookup"), 0, false, Start + 10s }, Start);
        (void)queue.release(ticket, RunTime, Start);
    };
    run(1);
    EXPECT_EQ(queue.sustainableSlots(), queue.usableSlots());
    EXPECT_EQ(queue.occupancyTime(), Duration::zero());
    for (const double limit : { 200.0, 35.0, 3.0 }) {
        queue.setRateLimit(limit, Start);
        const double occupancy = std::chrono::duration<double>(queue.occupancyTime()).count();
        EXPECT_NEAR(queue.sustainableSlots() / occupancy, limit, limit / 1000);
        EXPECT_LE(queue.sustainableSlots(), std::max(1.0, limit / 10)) << limit;
    }
    queue.setRateLimit(std::nullopt, Start);
    EXPECT_EQ(queue.sustainableSlots(), queue.usableSlots());
}

} // namespace Pimentohollow
