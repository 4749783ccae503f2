#include "fleetsamples.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;

namespace
{

/** Versions 1 to @p count, each with its change. */
std::vector<FleetChange> makeHistory(std::size_t count)
{
    std::vector<FleetChange> history;
    VersionedFleet fleet;
    for (std::size_t n = 0; n < count; ++n) {
        history.push_back(makeRateChange(fleet, "a" + std::to_string(n % 3), static_cast<double>(n + 1), "c" + std::to_string(n)));
        fleet = *applyChange(fleet, history.back());
    }
    return history;
}

} // namespace

// Guards against a diff that loses or invents an entity, and against a text form that changes it.
RC_GTEST_PROP(FleetChangeProperty, DiffThenApplyGivesTheTarget, ())
{
    FleetConfiguration before = makeRandomFleet();
    before.keys.clear();
    const FleetConfiguration after = makeRandomFleet();
    const VersionedFleet base{ 7, before };
    const FleetChange change = makeChange(base, after, "id");
    const auto read = parseChange(writeChange(change), "change");
    RC_ASSERT(read);
    RC_ASSERT(*read == change);
    const auto result = applyChange(base, *read);
    RC_ASSERT(result);
    RC_ASSERT(*result == (VersionedFleet{ 8, after }));
    RC_ASSERT(change.empty() == (before == after));
}

// Guards against a version that goes back, or a configuration that isn't the one of its version, whatever arrives when.
RC_GTEST_PROP(ConfigurationTrackerProperty, VersionNeverDecreases, ())
{
    constexpr std::size_t Versions = 8;
    const auto history = makeHistory(Versions);
    std::vector<VersionedFleet> fleets(1);
    for (const auto &it : history) {
        fleets.push_back(*applyChange(fleets.back(), it));
    }
    ConfigurationTracker tracker;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, bool>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, Versions), rc::gen::arbitrary<bool>()));
    for (const auto &[at, whole] : steps) {
        const std::uint64_t before = tracker.version();
        if (whole) {
            tracker.adopt(fleets[at]);
        } else {
            const std::size_t last = *rc::gen::inRange(at, Versions) + 1;
            tracker.apply({ history.begin() + static_cast<std::ptrdiff_t>(at), history.begin() + static_cast<std::ptrdiff_t>(last) });
        }
        RC_ASSERT(tracker.version() >= before);
        if (tracker.version() > 0) {
            RC_ASSERT(tracker.view()->fleet() == fleets[tracker.version()].fleet);
        }
    }
}

// Guards against a peer that can't catch up, from the kept changes or from a whole document.
TEST(ConfigurationTrackerTest, PeersCatchUpFromEachOther)
{
    const auto history = makeHistory(20);
    ConfigurationTracker ahead;
    ahead.apply(history);
    ConfigurationTracker late;
    ahead.adopt({ 3, {} });
    int rounds = 0;
    while (late.version() < ahead.version() && ++rounds < 100) {
        EXPECT_TRUE(late.accept(ahead.transferAfter(late.version(), 600)).moved);
    }
    EXPECT_GT(rounds, 2);
    EXPECT_EQ(late.view()->fleet(), ahead.view()->fleet());

    ConfigurationTracker restarted;
    restarted.adopt({ ahead.version(), ahead.view()->fleet() });
    ConfigurationTracker fresh;
    EXPECT_TRUE(fresh.accept(restarted.transferAfter(0, 600)).moved);
    EXPECT_EQ(fresh.version(), 20U);
    EXPECT_TRUE(fresh.transferAfter(20, 600).changes.empty());
}

// Guards against a faulty change from a peer taking effect in part.
TEST(ConfigurationTrackerTest, RefusesChangesThatFailTheChecks)
{
    ConfigurationTracker tracker;
    FleetChange change = makeHistory(1).front();
    change.upserts.emplace_back(RouteEntity{ RouteName("r"), ServiceName("none"), "/r", { "GET" }, false, false, false, {}, {} });
    EXPECT_FALSE(tracker.apply({ change }).findings.empty());
    EXPECT_FALSE(tracker.accept({ 0, "", { "{" } }).findings.empty());
    EXPECT_FALSE(tracker.accept({ 9, "services: 1", {} }).findings.empty());
    EXPECT_EQ(tracker.version(), 0U);
}

// Guards against a change that brings a withdrawn key back.
TEST(FleetChangeTest, WithdrawalsArePermanent)
{
    KeyEntity key{ KeyId("k"), AccountName("a"), std::string(64, 'a'), WallTime(), "lost" };
    VersionedFleet base{ 1, {} };
    base.fleet.upsert(AccountEntity{ AccountName("a"), 1, 1 });
    base.fleet.upsert(key);
    FleetConfiguration target = base.fleet;
    target.keys.clear();
    EXPECT_FALSE(applyChange(base, makeChange(base, target, "remove")));
    key.withdrawn.reset();
    key.withdrawalReason.reset();
    target.upsert(key);
    EXPECT_FALSE(applyChange(base, makeChange(base, target, "restore")));
}

// Guards against crashes on changes damaged on the way.
RC_GTEST_PROP(FleetChangeProperty, ParserNeverCrashes, (const std::string &noise))
{
    std::string text = writeChange(makeHistory(1).front());
    for (const char it : noise) {
        text[static_cast<unsigned char>(it) % text.size()] = it;
    }
    parseChange(text, "change");
    parseChange(noise, "change");
}
