#include "poison/poison.h"

#include "core/manualclock.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const NodeName Node("n");

RequestFingerprint fingerprint(int n)
{
    return RequestFingerprint::of(AccountName("a"), RouteName("r"), std::to_string(n));
}

class CrashTrackerTest : public testing::Test
{
protected:
    /** Runs the request until the upstream crashes. */
    void crash(int request, std::uint64_t incarnation)
    {
        tracker.started(fingerprint(request), Node);
        tracker.crashed({ Node, incarnation });
    }

    ManualClock clock;
    CrashTracker tracker{ clock };
};

} // namespace

// Guards against two requests that look alike, and against a fingerprint that changes between nodes or versions.
TEST(RequestFingerprintTest, CoversAllFields)
{
    const auto base = RequestFingerprint::of(AccountName("a"), RouteName("r"), "body");
    EXPECT_NE(base, RequestFingerprint::of(AccountName("b"), RouteName("r"), "body"));
    EXPECT_NE(base, RequestFingerprint::of(AccountName("a"), RouteName("q"), "body"));
    EXPECT_NE(base, RequestFingerprint::of(AccountName("a"), RouteName("r"), "body2"));
    EXPECT_NE(RequestFingerprint::of(AccountName("ab"), RouteName("c"), ""), RequestFingerprint::of(AccountName("a"), RouteName("bc"), ""));
    EXPECT_EQ(base.hex().size(), 32U);
    EXPECT_EQ(base, RequestFingerprint::of(AccountName("a"), RouteName("r"), "body"));
}

// Guards against a poison request that crashes a third upstream, and against a verdict that never ends.
TEST_F(CrashTrackerTest, RefusesAfterTwoCrashesForTenMinutes)
{
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::Run);
    crash(1, 1);
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::RunAlone);
    crash(1, 2);
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::Refuse);
    clock.advance(CrashTracker::Memory);
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::Run);
}

// Guards against a request that is refused because it shared an upstream with a poison request.
TEST_F(CrashTrackerTest, BystandersAreCleared)
{
    tracker.started(fingerprint(1), Node);
    tracker.started(fingerprint(2), Node);
    tracker.crashed({ Node, 1 });
    EXPECT_EQ(tracker.check(fingerprint(2), Node), PoisonVerdict::RunAlone);
    tracker.started(fingerprint(2), Node);
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::Wait) << "two suspects on one upstream can't be told apart";
    EXPECT_EQ(tracker.check(fingerprint(1), NodeName("other")), PoisonVerdict::RunAlone);
    EXPECT_EQ(tracker.check(fingerprint(3), Node), PoisonVerdict::Run);
    tracker.completed(fingerprint(2), Node);
    EXPECT_EQ(tracker.check(fingerprint(2), Node), PoisonVerdict::Run);
    crash(1, 2);
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::Refuse);
}

// Guards against a suspect's place that stays taken after the suspect was cancelled.
TEST_F(CrashTrackerTest, EndedSuspectFreesItsPlace)
{
    crash(1, 1);
    crash(2, 2);
    tracker.started(fingerprint(1), Node);
    tracker.ended(fingerprint(1), Node);
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::RunAlone) << "a cancelled run proves nothing";
    EXPECT_EQ(tracker.check(fingerprint(2), Node), PoisonVerdict::RunAlone);
}

// Guards against one crash that counts twice because it was learned on two ways, and against a lost second crash.
TEST_F(CrashTrackerTest, MergeCountsEachCrashOnce)
{
    crash(1, 1);
    const auto reports = tracker.takeReports();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_TRUE(tracker.takeReports().empty()) << "unchanged reports are not sent again";
    CrashTracker other(clock);
    for (int n = 0; n < 3; ++n) {
        other.merge(reports[0]);
        tracker.merge(reports[0]);
    }
    EXPECT_EQ(other.check(fingerprint(1), Node), PoisonVerdict::RunAlone);
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::RunAlone);
    other.started(fingerprint(1), NodeName("other"));
    other.crashed({ NodeName("other"), 1 });
    for (const auto &it : other.takeReports()) {
        tracker.merge(it);
    }
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::Refuse);
}

// Guards against reports that keep each other alive by going round between nodes.
TEST_F(CrashTrackerTest, RelayedReportsExpire)
{
    crash(1, 1);
    CrashTracker other(clock);
    for (int minute = 0; minute < 10; ++minute) {
        for (const auto &it : tracker.allReports()) {
            other.merge(it);
        }
        for (const auto &it : other.allReports()) {
            tracker.merge(it);
        }
        clock.advance(1min);
    }
    EXPECT_EQ(tracker.check(fingerprint(1), Node), PoisonVerdict::Run);
    EXPECT_TRUE(other.allReports().empty());
}

// Guards against memory that grows with the number of crashes, and against verdicts that make room for mere suspicions.
TEST_F(CrashTrackerTest, MemoryIsBounded)
{
    crash(0, 1);
    crash(0, 2);
    for (int n = 1; n <= int(CrashTracker::MostFingerprints) + 10; ++n) {
        tracker.started(fingerprint(n), Node);
    }
    tracker.crashed({ Node, 3 });
    EXPECT_EQ(tracker.size(), CrashTracker::MostFingerprints);
    EXPECT_EQ(tracker.check(fingerprint(0), Node), PoisonVerdict::Refuse);
}

// Guards against nodes that disagree after gossip has reached all of them, and against a refusal after a single crash.
RC_GTEST_PROP(CrashTrackerProperty, NodesAgreeAfterGossip, ())
{
    ManualClock clock;
    std::array<CrashTracker, 3> trackers{ CrashTracker(clock), CrashTracker(clock), CrashTracker(clock) };
    std::uint64_t incarnation = 0;
    int crashes = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 27));
    for (const auto step : steps) {
        auto &tracker = trackers[std::size_t(step) % 3];
        const NodeName node(std::to_string(step % 3));
        if (step < 9) {
            tracker.started(fingerprint(1), node);
            tracker.crashed({ node, ++incarnation });
            ++crashes;
        } else if (step < 15) {
            tracker.started(fingerprint(1), node);
            tracker.completed(fingerprint(1), node);
        } else {
            for (const auto &it : tracker.allReports()) {
                trackers[std::size_t(step / 3) % 3].merge(it);
            }
        }
        RC_ASSERT(crashes > 1 || tracker.check(fingerprint(1), node) != PoisonVerdict::Refuse);
    }
    for (int round = 0; round < 2; ++round) {
        for (std::size_t n = 0; n < 3; ++n) {
            for (const auto &it : trackers[n].allReports()) {
                trackers[(n + 1) % 3].merge(it);
            }
        }
    }
    const auto verdict = trackers[0].check(fingerprint(1), Node);
    RC_ASSERT(trackers[1].check(fingerprint(1), Node) == verdict);
    RC_ASSERT(trackers[2].check(fingerprint(1), Node) == verdict);
}
