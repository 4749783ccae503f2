#include "admission/limits/concurrencylimit.h"
#include "core/manualclock.h"
#include "core/random.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <queue>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

/** An upstream with a number of slots that always has as much work as the limit allows. */
class SaturatedUpstream
{
public:
    SaturatedUpstream(const LimitSettings &settings, double slotCount, Duration time)
        : limit(settings)
        , slots(slotCount)
        , ownTime(time)
    {
    }

    void run(Duration length)
    {
        const TimePoint end = m_clock.now() + length;
        while (m_clock.now() < end) {
            while (m_running.size() < limit.limit()) {
                startOne();
            }
            finishOne();
        }
    }

    ConcurrencyLimit limit;
    double slots;
    Duration ownTime;
    WorkResult result = WorkResult::Completed;

private:
    struct Running {
        TimePoint end;
        TimePoint start;
        std::uint32_t inFlight;

        bool operator>(const Running &other) const
        {
            return end > other.end;
        }
    };

    void startOne()
    {
        const auto inFlight = static_cast<std::uint32_t>(m_running.size()) + 1;
        const double queueing = std::max(1.0, inFlight / slots);
        const double noise = 0.75 + 0.5 * m_random.unit();
        const auto time = static_cast<Duration::rep>(static_cast<double>(ownTime.count()) * queueing * noise);
        m_running.push({ m_clock.now() + Duration(time), m_clock.now(), inFlight });
    }

    void finishOne()
    {
        const Running done = m_running.top();
        const auto inFlightAtEnd = static_cast<std::uint32_t>(m_running.size());
        m_running.pop();
        m_clock.advance(std::max(Duration::zero(), done.end - m_clock.now()));
        limit.record({ result, done.start, done.end - done.start, done.inFlight, inFlightAtEnd }, m_clock.now());
    }

    ManualClock m_clock;
    Random m_random{ 20261204 };
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
};

struct SlotsCase {
    double slots;
    Duration ownTime;
};

/** A probe lowers the limit on purpose for one window, which would hide what the other rules do. */
GradientLimitSettings withoutProbes()
{
    GradientLimitSettings settings;
    settings.probeInterval = 1h;
    return settings;
}

class GradientLimitTest : public testing::TestWithParam<SlotsCase>
{
};

} // namespace

// Guards against a limit that leaves slots idle or that lets a long queue grow in the upstream.
TEST_P(GradientLimitTest, FindsTheSlots)
{
    SaturatedUpstream upstream(withoutProbes(), GetParam().slots, GetParam().ownTime);
    upstream.run(GetParam().ownTime * 200);
    for (int n = 0; n < 20; ++n) {
        upstream.run(GetParam().ownTime * 5);
        EXPECT_GE(upstream.limit.limit(), GetParam().slots);
        EXPECT_LE(upstream.limit.limit(), 2.5 * GetParam().slots);
    }
}

// Guards against a slow-down that is taken for overload and pushes the limit to its minimum, and against a limit that stays high after it.
TEST_P(GradientLimitTest, ReturnsAfterSlowDown)
{
    SaturatedUpstream upstream(withoutProbes(), GetParam().slots, GetParam().ownTime);
    upstream.run(GetParam().ownTime * 200);
    upstream.ownTime = GetParam().ownTime * 10;
    upstream.run(GetParam().ownTime * 300);
    EXPECT_GE(upstream.limit.limit(), GetParam().slots);
    EXPECT_LE(upstream.limit.limit(), 3 * GetParam().slots);
    upstream.ownTime = GetParam().ownTime;
    upstream.run(GetParam().ownTime * 500);
    EXPECT_GE(upstream.limit.limit(), GetParam().slots);
    EXPECT_LE(upstream.limit.limit(), 3 * GetParam().slots);
}

// Guards against a limit that ignores refusals by the upstream, and against a restart that keeps what was learnt of the old process.
TEST_P(GradientLimitTest, FallsWhenTheUpstreamShedsAndRestartsLow)
{
    const GradientLimitSettings settings;
    SaturatedUpstream upstream(settings, GetParam().slots, GetParam().ownTime);
    upstream.run(GetParam().ownTime * 200);
    upstream.result = WorkResult::Shed;
    upstream.run(GetParam().ownTime * 60);
    EXPECT_LT(upstream.limit.limit(), GetParam().slots / 2);
    upstream.result = WorkResult::Completed;
    upstream.run(GetParam().ownTime * 200);
    EXPECT_GE(upstream.limit.limit(), GetParam().slots);
    upstream.limit.restart(TimePoint(2h));
    EXPECT_EQ(upstream.limit.limit(), settings.initial);
}

// Guards against fast errors that look like a fast upstream and raise the limit.
TEST_P(GradientLimitTest, IgnoresErrors)
{
    SaturatedUpstream upstream(GradientLimitSettings{}, GetParam().slots, GetParam().ownTime);
    upstream.run(GetParam().ownTime * 200);
    const auto before = upstream.limit.limit();
    upstream.result = WorkResult::Failed;
    upstream.ownTime = 1ms;
    upstream.run(200ms);
    EXPECT_EQ(upstream.limit.limit(), before);
}

INSTANTIATE_TEST_SUITE_P(Slots, GradientLimitTest, testing::Values(SlotsCase{ 30, 20ms }, SlotsCase{ 50, 100ms }, SlotsCase{ 200, 20ms }));

// Guards against an AIMD limit that doesn't fall on slow answers or grows without being used.
TEST(AimdLimitTest, FallsOnSlowAnswersAndGrowsOnlyInUse)
{
    AimdLimit limit({});
    const TimePoint now(1h);
    limit.record({ WorkResult::Completed, now, 200ms, 20, 20 }, now + 200ms);
    EXPECT_EQ(limit.limit(), 18U);
    for (int n = 0; n < 100; ++n) {
        limit.record({ WorkResult::Completed, now + 300ms, 10ms, 1, 1 }, now + 310ms);
    }
    EXPECT_EQ(limit.limit(), 18U);
    for (int n = 0; n < 100; ++n) {
        limit.record({ WorkResult::Completed, now + 300ms, 10ms, 18, 18 }, now + 310ms);
    }
    EXPECT_GT(limit.limit(), 18U);
}
