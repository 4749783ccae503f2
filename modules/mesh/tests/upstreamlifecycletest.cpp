#include "mesh/decisions/upstreamlifecycle.h"

#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <variant>
#include <vector>

namespace Pimentohollow
{

namespace
{

/** Start times of processes, in ms since the epoch, and the time at which messages arrive. */
constexpr std::int64_t FirstStart = 1'000;
constexpr std::int64_t SecondStart = 2'000;
const WallTime ReceivedAt{ std::chrono::milliseconds(1'500) };
constexpr Duration ConfirmationTime = UpstreamLifecycle::ConfirmationTime;
/** Time between the reports of an upstream whose reports are acknowledged. */
constexpr Duration AnnounceInterval = std::chrono::milliseconds(1'500);

struct Report {
    const char *id;
    std::int64_t startedAt;
    std::uint64_t sequence;
    bool draining = false;
};

struct Deregister {
    const char *id;
    std::optional<std::int64_t> startedAt = std::nullopt;
};

/** A response of the running process says that it leaves. */
struct Leaving {
};

/** The node is killed and started; the store has kept the departures. */
struct Restart {
};

/** As Restart, but neither the store nor a peer has told the node yet what it knew before. */
struct RestartUntold {
};

/** A node that may have been restarted as well says that it knows of no departure. */
struct UnawarePeer {
};

/** A node that knows of no departure, and knows all that the store or an earlier process knew, says so. */
struct AwarePeer {
};

using Event = std::variant<Report, Deregister, Leaving, Restart, RestartUntold, UnawarePeer, AwarePeer>;

UpstreamReport toUpstreamReport(const Report &report)
{
    UpstreamReport result;
    result.id = report.id;
    result.startedAt = report.startedAt;
    result.sequence = report.sequence;
    result.draining = report.draining;
    return result;
}

struct Player {
    UpstreamLifecycle &lifecycle;
    /** Moves on with each report, so that every further one can confirm its process. */
    TimePoint now{};

    void operator()(const Report &report)
    {
        now += ConfirmationTime;
        (void)lifecycle.apply(toUpstreamReport(report), now);
    }

    /** The process of which the node has heard last keeps reporting that it is ready. */
    void sendFurtherReports()
    {
        for (int n = 1; n < UpstreamLifecycle::ConfirmingReports && lifecycle.isKnown(); ++n) {
            auto report = lifecycle.lastReport();
            ++report.sequence;
            report.draining = false;
            now += ConfirmationTime;
            (void)lifecycle.apply(report, now);
        }
    }

    void operator()(const Deregister &message) const
    {
        lifecycle.deregister({ message.id, message.startedAt }, ReceivedAt);
    }

    void operator()(const Leaving & /*message*/) const
    {
        lifecycle.recordLeaving();
    }

    void operator()(const Restart & /*event*/) const
    {
        UpstreamLifecycle restarted(AnnounceInterval);
        restarted.recall(lifecycle.departures());
        lifecycle = restarted;
    }

    void operator()(const RestartUntold & /*event*/) const
    {
        lifecycle = UpstreamLifecycle(AnnounceInterval);
    }

    void operator()(const UnawarePeer & /*event*/) const
    {
        lifecycle.merge({});
    }

    void operator()(const AwarePeer & /*event*/) const
    {
        lifecycle.recall({});
    }
};

struct OrderCase {
    const char *name;
    std::vector<Event> events;
    bool usable;
};

class UpstreamLifecycleTest : public ::testing::TestWithParam<OrderCase>
{
};

} // namespace

/** Guards against a departure that depends on what the node knew when it was told, and against a new process that is taken for an old one.
 */
TEST_P(UpstreamLifecycleTest, UsesExactlyTheProcessesThatHaveNotLeft)
{
    UpstreamLifecycle lifecycle(AnnounceInterval);
    lifecycle.recall({});
    Player play{ lifecycle };
    for (const auto &it : GetParam().events) {
        std::visit(play, it);
    }
    play.sendFurtherReports();
    EXPECT_EQ(lifecycle.isUsable(), GetParam().usable);
}

INSTANTIATE_TEST_SUITE_P(
    Orders,
    UpstreamLifecycleTest,
    ::testing::Values(
        OrderCase{ "NothingHeard", {}, false },
        OrderCase{ "Ready", { Report{ "a", FirstStart, 1 } }, true },
        OrderCase{ "ReadyAfterRestart", { Report{ "a", FirstStart, 1 }, Restart{}, Report{ "a", FirstStart, 2 } }, true },
        OrderCase{ "ReadyBeforeItIsToldOfDepartures", { RestartUntold{}, Report{ "a", FirstStart, 1 } }, false },
        OrderCase{ "ReadyAfterAnUnawarePeer", { RestartUntold{}, UnawarePeer{}, Report{ "a", FirstStart, 1 } }, false },
        OrderCase{ "ReadyAfterAnAwarePeer", { RestartUntold{}, AwarePeer{}, Report{ "a", FirstStart, 1 } }, true },
        OrderCase{
            "ReadyBeforeAnAwarePeer", { RestartUntold{}, Report{ "a", FirstStart, 1 }, UnawarePeer{}, AwarePeer{}, UnawarePeer{} }, true },
        OrderCase{ "ReadyTwiceBeforeItIsToldOfDepartures",
                   { Report{ "a", FirstStart, 1 }, RestartUntold{}, Report{ "a", FirstStart, 2 }, Report{ "a", FirstStart, 3 } },
                   false },
        OrderCase{ "DeregisteredFirst", { Deregister{ "a" }, Report{ "a", FirstStart, 1 } }, false },
        OrderCase{ "DeregisteredFirstThenRestart", { Deregister{ "a" }, Restart{}, Report{ "a", FirstStart, 1 } }, false },
        OrderCase{ "DeregisteredLater", { Report{ "a", FirstStart, 1 }, Deregister{ "a" }, Report{ "a", FirstStart, 2 } }, false },
        OrderCase{ "DrainingFirst", { Report{ "a", FirstStart, 2, true }, Report{ "a", FirstStart, 1 } }, false },
        OrderCase{ "DrainingFirstThenRestart", { Report{ "a", FirstStart, 2, true }, Restart{}, Report{ "a", FirstStart, 1 } }, false },
        OrderCase{ "DrainingLate", { Report{ "a", FirstStart, 3 }, Report{ "a", FirstStart, 2, true } }, false },
        OrderCase{ "ReadyAfterDraining", { Report{ "a", FirstStart, 1, true }, Report{ "a", FirstStart, 2 } }, false },
        OrderCase{ "LeavingThenRestart", { Report{ "a", FirstStart, 1 }, Leaving{}, Restart{}, Report{ "a", FirstStart, 2 } }, false },
        OrderCase{ "LeavingOfNoKnownProcess", { Leaving{}, Report{ "a", FirstStart, 1 } }, true },
        OrderCase{ "OtherUpstreamDeregistered", { Report{ "a", FirstStart, 1 }, Deregister{ "b" } }, true },
        OrderCase{
            "SuccessorDeregisteredFirst", { Report{ "a", FirstStart, 1 }, Deregister{ "b" }, Report{ "b", FirstStart + 1, 1 } }, false },
        OrderCase{ "Replaced", { Report{ "a", FirstStart, 9, true }, Report{ "b", SecondStart, 1 } }, true },
        OrderCase{ "ReplacedUnderTheSameId", { Report{ "a", FirstStart, 9, true }, Report{ "a", SecondStart, 1 } }, true },
        OrderCase{ "PredecessorDrainingLate", { Report{ "b", SecondStart, 1 }, Report{ "a", FirstStart, 9, true } }, true },
        OrderCase{ "PredecessorOfTheSameIdDrainingLate", { Report{ "a", SecondStart, 1 }, Report{ "a", FirstStart, 9, true } }, true },
        OrderCase{ "PredecessorReportsLate",
                   { Report{ "a", SecondStart, 1 }, Report{ "a", SecondStart, 2, true }, Report{ "a", FirstStart, 9 } },
                   false },
        OrderCase{ "PredecessorReportsLateWithoutStartTimes",
                   { Report{ "a", 0, 1 }, Deregister{ "a" }, Report{ "b", 0, 1 }, Report{ "a", 0, 2 } },
                   true },
        OrderCase{ "ReplacedWithoutStartTimes", { Report{ "a", 0, 1 }, Report{ "b", 0, 1 } }, true },
        OrderCase{ "SuccessorDrainingFirst", { Report{ "a", FirstStart, 1 }, Report{ "b", SecondStart, 1, true } }, false },
        OrderCase{ "StartedAfterTheDeregistration", { Deregister{ "a" }, Report{ "a", SecondStart, 1 } }, true },
        OrderCase{ "PredecessorOfTheSameIdDeregisteredLate", { Report{ "a", SecondStart, 1 }, Deregister{ "a", FirstStart } }, true },
        OrderCase{ "PredecessorOfTheSameIdDeregisteredLateThenRestart",
                   { Report{ "a", SecondStart, 1 }, Deregister{ "a", FirstStart }, Restart{}, Report{ "a", SecondStart, 2 } },
                   true },
        OrderCase{ "SuccessorOfTheSameIdDeregisteredFirst",
                   { Report{ "a", FirstStart, 1 }, Deregister{ "a", SecondStart }, Report{ "a", FirstStart, 2 } },
                   false },
        OrderCase{ "DeregisteredFirstWithStart", { Deregister{ "a", FirstStart }, Report{ "a", FirstStart, 1 } }, false },
        OrderCase{ "SuccessorOfADeregisteredOne", { Deregister{ "a", FirstStart }, Restart{}, Report{ "a", SecondStart, 1 } }, true },
        OrderCase{ "KnownProcessDeregisteredWithoutStart", { Report{ "a", SecondStart, 1 }, Deregister{ "a" } }, false },
        OrderCase{ "BothDeregistered",
                   { Report{ "a", FirstStart, 1 },
                     Deregister{ "a" },
                     Report{ "b", SecondStart, 1 },
                     Deregister{ "b" },
                     Restart{},
                     Report{ "a", FirstStart, 1 } },
                   false }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/** Guards against any order of reports, departures and restarts after which a process is used that has left. */
TEST(UpstreamLifecyclePropertyTest, NoProcessIsUsedAfterItsDeparture)
{
    EXPECT_TRUE(rc::check([] {
        const std::vector<std::pair<const char *, std::int64_t>> processes{ { "a", FirstStart },
                                                                            { "a", SecondStart },
                                                                            { "b", FirstStart } };
        std::vector<bool> departed(processes.size());
        UpstreamLifecycle lifecycle(AnnounceInterval);
        lifecycle.recall({});
        Player play{ lifecycle };
        const auto messages = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4 * static_cast<int>(processes.size())));
        for (const int it : messages) {
            const auto process = static_cast<std::size_t>(it) / 4;
            const auto &[id, startedAt] = processes[process];
            const auto sequence = *rc::gen::inRange<std::uint64_t>(0, 5);
            switch (it % 4) {
            case 0:
                play(Report{ id, startedAt, sequence });
                play(Report{ id, startedAt, sequence + 1 });
                play(Report{ id, startedAt, sequence + 2 });
                break;
            case 1:
                play(Report{ id, startedAt, sequence, true });
                departed[process] = true;
                break;
            case 2:
                play(Deregister{ id, startedAt });
                departed[process] = true;
                break;
            default:
                play(Restart{});
            }
            for (std::size_t n = 0; n < processes.size(); ++n) {
                const auto &last = lifecycle.lastReport();
                const bool used = lifecycle.isUsable() && last.id == processes[n].first && last.startedAt == processes[n].second;
                RC_ASSERT(!used || !departed[n]);
            }
        }
    }));
}

/** Reports that a new process of the node receives, and whether it relies on the last one. */
struct ConfirmationCase {
    const char *name;
    struct Received {
        Report report;
        /** Time since the report before. */
        Duration pause = AnnounceInterval;
    };
    std::vector<Received> reports;
    bool confirmed;
};

class UpstreamConfirmationTest : public ::testing::TestWithParam<ConfirmationCase>
{
};

/** Guards against late reports that a restarted node takes for a sign that its upstream still runs, and against one that is never used. */
TEST_P(UpstreamConfirmationTest, ProcessIsUsedOnceItKeepsReporting)
{
    UpstreamLifecycle lifecycle(AnnounceInterval);
    lifecycle.recall({});
    TimePoint now{};
    for (const auto &it : GetParam().reports) {
        now += it.pause;
        (void)lifecycle.apply(toUpstreamReport(it.report), now);
    }
    EXPECT_EQ(lifecycle.isUsable(), GetParam().confirmed);
    EXPECT_EQ(lifecycle.needsFurtherReports(), !GetParam().confirmed && lifecycle.hasRunningProcess());
}

constexpr Duration TooSoon = ConfirmationTime / 4;

INSTANTIATE_TEST_SUITE_P(
    Reports,
    UpstreamConfirmationTest,
    ::testing::Values(
        ConfirmationCase{ "First", { { { "a", FirstStart, 7 } } }, false },
        ConfirmationCase{ "Second", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 } } }, false },
        ConfirmationCase{ "Third", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 } }, { { "a", FirstStart, 9 } } }, true },
        ConfirmationCase{ "RepeatedSoon", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 }, ConfirmationTime } }, true },
        ConfirmationCase{ "RepeatedLate", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 }, AnnounceInterval * 4 / 5 } }, false },
        ConfirmationCase{ "SameAgain", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 7 } }, { { "a", FirstStart, 7 } } }, false },
        ConfirmationCase{ "EarlierOnes", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 6 } }, { { "a", FirstStart, 5 } } }, false },
        ConfirmationCase{ "ThreeAtOnce",
                          { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 }, TooSoon }, { { "a", FirstStart, 9 }, TooSoon } },
                          false },
        ConfirmationCase{ "ThreeAtOnceThenAnother",
                          { { { "a", FirstStart, 7 } },
                            { { "a", FirstStart, 8 }, TooSoon },
                            { { "a", FirstStart, 9 }, TooSoon },
                            { { "a", FirstStart, 10 }, ConfirmationTime } },
                          true },
        ConfirmationCase{
            "LastOneDraining", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 } }, { { "a", FirstStart, 9, true } } }, false },
        ConfirmationCase{
            "FirstOfASuccessorOfOneThatLeft",
            { { { "a", FirstStart, 7, true } }, { { "a", FirstStart, 8 } }, { { "a", FirstStart, 9 } }, { { "b", SecondStart, 1 } } },
            false },
        ConfirmationCase{
            "OfTwoProcesses", { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 } }, { { "b", SecondStart, 9 } } }, false },
        ConfirmationCase{ "OfASuccessorBesideLateOnes",
                          { { { "a", FirstStart, 7 } },
                            { { "b", SecondStart, 1 } },
                            { { "a", FirstStart, 8 } },
                            { { "b", SecondStart, 2 } },
                            { { "a", FirstStart, 9 } },
                            { { "b", SecondStart, 3 } } },
                          true },
        ConfirmationCase{
            "FirstOfASuccessor",
            { { { "a", FirstStart, 7 } }, { { "a", FirstStart, 8 } }, { { "a", FirstStart, 9 } }, { { "b", SecondStart, 1 } } },
            true }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/** Guards against an upstream of a new VM that waits as long as one whose node was restarted. */
TEST(UpstreamConfirmationOfNewNodeTest, SecondReportConfirms)
{
    UpstreamLifecycle lifecycle(AnnounceInterval);
    lifecycle.expectNoEarlierProcess();
    lifecycle.recall({});
    (void)lifecycle.apply(toUpstreamReport({ "a", FirstStart, 7 }), TimePoint{});
    EXPECT_FALSE(lifecycle.isUsable());
    (void)lifecycle.apply(toUpstreamReport({ "a", FirstStart, 8 }), TimePoint{} + AnnounceInterval);
    EXPECT_TRUE(lifecycle.isUsable());
}

/** What is asked of the store and of other nodes, and whether a departure may be acknowledged then. */
struct KeepingCase {
    const char *name;
    bool written;
    std::size_t peers;
    std::size_t keeping;
    /** Of those, the ones whose connection was lost since. */
    std::size_t lost;
    bool kept;
};

class DepartureKeepingTest : public ::testing::TestWithParam<KeepingCase>
{
};

/** Guards against an acknowledged departure that only the process of its node knows. */
TEST_P(DepartureKeepingTest, IsKeptByTheStoreOrMostPeers)
{
    UpstreamLifecycle lifecycle(AnnounceInterval);
    lifecycle.recall({});
    Player play{ lifecycle };
    play(Report{ "a", FirstStart, 1 });
    EXPECT_TRUE(lifecycle.isKept(GetParam().peers)) << "there is nothing to keep";
    play(Deregister{ "a" });
    if (GetParam().written) {
        lifecycle.setWritten(lifecycle.departures());
    }
    const auto nameOf = [](std::size_t n) {
        return NodeName("node-" + std::to_string(n));
    };
    for (std::size_t n = 0; n < GetParam().keeping; ++n) {
        lifecycle.setKept(nameOf(n), lifecycle.departures());
        lifecycle.setKept(nameOf(n), lifecycle.departures());
    }
    lifecycle.setKept(NodeName("behind"), {});
    for (std::size_t n = 0; n < GetParam().lost; ++n) {
        lifecycle.forgetPeer(nameOf(n));
    }
    EXPECT_EQ(lifecycle.isKept(GetParam().peers), GetParam().kept);
}

INSTANTIATE_TEST_SUITE_P(Keepers,
                         DepartureKeepingTest,
                         ::testing::Values(KeepingCase{ "Nobody", false, 4, 0, 0, false },
                                           KeepingCase{ "NoPeers", false, 0, 0, 0, false },
                                           KeepingCase{ "Store", true, 4, 0, 0, true },
                                           KeepingCase{ "StoreWithoutPeers", true, 0, 0, 0, true },
                                           KeepingCase{ "HalfOfThePeers", false, 4, 2, 0, false },
                                           KeepingCase{ "MostPeers", false, 4, 3, 0, true },
                                           KeepingCase{ "MostPeersUntilOneIsLost", false, 4, 3, 1, false },
                                           KeepingCase{ "OnlyPeer", false, 1, 1, 0, true }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

/** Guards against a process that is out of use although neither it nor a later one under its id has left. */
TEST(UpstreamLifecyclePropertyTest, LatestProcessIsUsedUntilItsDeparture)
{
    EXPECT_TRUE(rc::check([] {
        constexpr std::int64_t Processes = 4;
        UpstreamLifecycle lifecycle(AnnounceInterval);
        lifecycle.recall({});
        Player play{ lifecycle };
        // Late messages of earlier processes under one id, in any order.
        for (const auto startedAt : *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, Processes))) {
            if (*rc::gen::arbitrary<bool>()) {
                play(Deregister{ "a", startedAt });
            } else {
                play(Report{ "a", startedAt, 1, *rc::gen::arbitrary<bool>() });
            }
        }
        play(Report{ "a", Processes, 1 });
        play(Deregister{ "a", *rc::gen::inRange<std::int64_t>(0, Processes) });
        play.sendFurtherReports();
        RC_ASSERT(lifecycle.isUsable());
        play(Deregister{ "a", Processes });
        RC_ASSERT(!lifecycle.isUsable());
    }));
}

/** Guards against departures that are lost, or that reach processes which haven't left, when the sets of several nodes are merged. */
TEST(UpstreamDeparturesTest, MergedSetsCoverWhatEitherCovers)
{
    UpstreamDepartures first;
    UpstreamDepartures second;
    EXPECT_TRUE(first.add("a", FirstStart));
    EXPECT_FALSE(first.add("a", FirstStart - 1));
    EXPECT_TRUE(second.add("a", SecondStart));
    EXPECT_TRUE(second.add("b", FirstStart));
    EXPECT_FALSE(first.includes(second));
    EXPECT_TRUE(second.includes(first));
    EXPECT_TRUE(first.merge(second));
    EXPECT_FALSE(first.merge(second));
    EXPECT_TRUE(first.includes(second));
    EXPECT_TRUE(first.covers("a", SecondStart));
    EXPECT_FALSE(first.covers("a", SecondStart + 1));
    EXPECT_FALSE(first.covers("b", SecondStart));
}

/** Guards against a set that grows with each upstream that a VM has ever run. */
TEST(UpstreamDeparturesTest, KeepsTheLatestOfManyDepartures)
{
    constexpr int Upstreams = 100;
    UpstreamDepartures departures;
    for (int n = 0; n < Upstreams; ++n) {
        departures.add("upstream-" + std::to_string(n), FirstStart);
    }
    EXPECT_FALSE(departures.covers("upstream-0", FirstStart));
    EXPECT_TRUE(departures.covers("upstream-" + std::to_string(Upstreams - 1), FirstStart));
    EXPECT_LT(departures.text().size(), 200U);
}

} // namespace Pimentohollow
