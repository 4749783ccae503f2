#include "membership/tests/simulatedfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

std::size_t reachable(const SimulatedFleet::Node &node)
{
    const auto &members = node.membership->table().members();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto &it) {
        return it.second.reachable();
    }));
}

bool settle(SimulatedFleet &fleet, Duration limit = 30s)
{
    const auto running = static_cast<std::size_t>(std::count_if(fleet.nodes.begin(), fleet.nodes.end(), [](const auto &it) {
        return it.running;
    }));
    const auto settled = [&fleet, running] {
        return fleet.all([running](const auto &node) {
            return reachable(node) == running;
        });
    };
    fleet.run(limit, settled);
    return settled();
}

bool sees(const SimulatedFleet::Node &node, std::size_t other, MemberState state)
{
    const auto *member = node.membership->table().find(SimulatedFleet::name(other));
    return member != nullptr && member->update.state == state;
}

bool seesUpstream(const SimulatedFleet::Node &node, std::size_t other, UpstreamState state)
{
    const auto *upstream = node.membership->table().findUpstream(SimulatedFleet::name(other));
    return upstream != nullptr && upstream->record.state == state;
}

template <typename Event>
std::size_t count(const SimulatedFleet::Node &node)
{
    return static_cast<std::size_t>(std::count_if(node.events.begin(), node.events.end(), [](const auto &it) {
        return std::holds_alternative<Event>(it);
    }));
}

const UpstreamAnnouncement Catalogue{ ServiceName("catalogue"), UpstreamState::Ready, 1 };

/** Runs the fleet while the upstream beside node @p n announces itself every second. */
void runAnnouncing(SimulatedFleet &fleet, std::size_t n, int seconds)
{
    for (int second = 0; second < seconds; ++second) {
        fleet.nodes[n].membership->announceUpstream(Catalogue);
        fleet.run(1s);
    }
}

/** Stands for the node that pulls the changes of a higher version. */
void adoptVersion(SimulatedFleet::Node &node, const MembershipEvent &event)
{
    if (const auto *higher = std::get_if<HigherConfigurationVersion>(&event)) {
        node.membership->setConfigurationVersion(higher->version);
    }
}

struct FleetCase {
    std::size_t dataCentres;
    std::size_t nodesEach;
    double loss;
};

} // namespace

class MembershipFleetTest : public testing::TestWithParam<FleetCase>
{
protected:
    SimulatedFleet m_fleet{ 42, GetParam().dataCentres, GetParam().nodesEach };

    void SetUp() override
    {
        m_fleet.loss = GetParam().loss;
        ASSERT_TRUE(settle(m_fleet));
        m_fleet.run(6s);
    }
};

// Guards against a draining upstream that is still chosen somewhere after two seconds.
TEST_P(MembershipFleetTest, DrainIsKnownEverywhereWithinTwoSeconds)
{
    runAnnouncing(m_fleet, 1, 2);
    EXPECT_TRUE(m_fleet.all([](const auto &node) {
        return seesUpstream(node, 1, UpstreamState::Ready);
    }));
    m_fleet.nodes[1].membership->drain();
    runAnnouncing(m_fleet, 1, 2);
    EXPECT_TRUE(m_fleet.all([](const auto &node) {
        return seesUpstream(node, 1, UpstreamState::Draining);
    }));
}

// Guards against a failed node that stays in the table, and a live one that is declared failed along with it.
TEST_P(MembershipFleetTest, OnlyTheFailedNodeIsRemoved)
{
    m_fleet.nodes[0].running = false;
    const auto known = [this] {
        return m_fleet.all([](const auto &node) {
            return sees(node, 0, MemberState::Failed);
        });
    };
    m_fleet.run(40s, known);
    EXPECT_TRUE(known());
    EXPECT_TRUE(m_fleet.all([this](const auto &node) {
        return reachable(node) == m_fleet.nodes.size() - 1;
    }));
    // Its replacement on the same address comes back although its clock is behind.
    m_fleet.start(0, 900);
    EXPECT_TRUE(settle(m_fleet));
}

// Guards against a withdrawal or a version that reaches only part of the fleet.
TEST_P(MembershipFleetTest, WithdrawalsAndVersionsReachAll)
{
    m_fleet.onEvent = adoptVersion;
    m_fleet.nodes[0].membership->setConfigurationVersion(7);
    m_fleet.nodes[1].membership->addWithdrawal({ "key", "signed" });
    m_fleet.run(2s);
    EXPECT_TRUE(m_fleet.all([](const auto &node) {
        const auto versions = node.membership->versions();
        return versions.configurationVersion == 7 && versions.withdrawalCount == 1;
    }));
    EXPECT_EQ(m_fleet.oversized, 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         MembershipFleetTest,
                         testing::Values(FleetCase{ 1, 4, 0 }, FleetCase{ 4, 4, 0 }, FleetCase{ 3, 5, 0.05 }, FleetCase{ 2, 40, 0.02 }));

// Guards against a resumed node that serves with what it knew before the pause.
TEST(MembershipTest, PausedNodeRefreshesBeforeItServes)
{
    SimulatedFleet fleet(7, 2, 4);
    ASSERT_TRUE(settle(fleet));
    auto &paused = fleet.nodes[2];
    const auto before = paused.membership->self().incarnation;
    paused.paused = true;
    fleet.onEvent = [&paused](SimulatedFleet::Node &node, const MembershipEvent &event) {
        if (&node != &paused) {
            adoptVersion(node, event);
        }
    };
    fleet.run(2500ms);
    fleet.nodes[0].membership->setConfigurationVersion(9);
    fleet.run(500ms);
    paused.membership->tick();
    EXPECT_TRUE(paused.membership->refreshing());
    EXPECT_GT(paused.membership->self().incarnation, before) << "raised before it hears that it is suspected";
    fleet.resume(2);
    EXPECT_EQ(count<RefreshRequired>(paused), 1U);
    fleet.run(500ms);
    EXPECT_TRUE(paused.membership->refreshing()) << "the higher version isn't in force yet";
    paused.membership->setConfigurationVersion(9);
    EXPECT_FALSE(paused.membership->refreshing());
    fleet.run(10s);
    EXPECT_TRUE(fleet.all([](const auto &node) {
        return sees(node, 2, MemberState::Alive);
    }));
    EXPECT_EQ(count<MemberLeft>(paused), 0U) << "it must not declare others failed because of its own pause";
}

// Guards against a resumed node that takes the silence during its own pause for the failure of a suspected member.
TEST(MembershipTest, ResumedNodeGivesSuspectedMembersTimeToObject)
{
    SimulatedFleet fleet(11, 1, 5);
    ASSERT_TRUE(settle(fleet));
    fleet.nodes[1].paused = true;
    fleet.run(6s, [&fleet] {
        return sees(fleet.nodes[2], 1, MemberState::Suspected);
    });
    ASSERT_TRUE(sees(fleet.nodes[2], 1, MemberState::Suspected));
    fleet.nodes[2].paused = true;
    fleet.resume(1);
    fleet.run(4s);
    fleet.resume(2);
    fleet.run(5s);
    EXPECT_EQ(count<MemberLeft>(fleet.nodes[2]), 0U);
    EXPECT_TRUE(sees(fleet.nodes[2], 1, MemberState::Alive));
}

// Guards against a node that announced its end and is suspected or probed instead.
TEST(MembershipTest, AnnouncedEndIsNoFailure)
{
    SimulatedFleet fleet(8, 2, 4);
    ASSERT_TRUE(settle(fleet));
    fleet.nodes[3].membership->leave();
    fleet.flush(fleet.nodes[3]);
    fleet.run(300ms);
    fleet.nodes[3].running = false;
    fleet.run(10s);
    EXPECT_TRUE(fleet.all([](const auto &node) {
        return sees(node, 3, MemberState::Left);
    }));
    EXPECT_EQ(count<MemberSuspected>(fleet.nodes[0]), 0U);
}

// Guards against an upstream that went silent and is still offered.
TEST(MembershipTest, SilentUpstreamLapses)
{
    SimulatedFleet fleet(9, 1, 3);
    ASSERT_TRUE(settle(fleet));
    fleet.nodes[0].membership->announceUpstream(Catalogue);
    fleet.run(2s);
    EXPECT_TRUE(seesUpstream(fleet.nodes[1], 0, UpstreamState::Ready));
    fleet.run(3s);
    EXPECT_TRUE(seesUpstream(fleet.nodes[1], 0, UpstreamState::Gone));
    fleet.nodes[0].membership->announceUpstream(Catalogue);
    fleet.run(1s);
    EXPECT_TRUE(seesUpstream(fleet.nodes[1], 0, UpstreamState::Ready));
}

// Guards against a partition between data centres after which the halves stay apart.
TEST(MembershipTest, DataCentresMeetAgainAfterAPartition)
{
    SimulatedFleet fleet(10, 3, 4);
    ASSERT_TRUE(settle(fleet));
    fleet.connected = [](std::size_t a, std::size_t b) {
        return a == b;
    };
    fleet.run(20s);
    fleet.nodes[0].running = false;
    fleet.nodes[5].membership->announceUpstream(Catalogue);
    fleet.nodes[5].membership->drain();
    fleet.run(20s);
    EXPECT_TRUE(seesUpstream(fleet.nodes[4], 5, UpstreamState::Gone));
    EXPECT_EQ(fleet.nodes[1].membership->table().findUpstream(SimulatedFleet::name(5)), nullptr);
    fleet.connected = {};
    fleet.run(10s);
    EXPECT_TRUE(fleet.all([](const auto &node) {
        return sees(node, 0, MemberState::Failed) && seesUpstream(node, 5, UpstreamState::Gone);
    }));
}

// Guards against a table in which an older statement replaces a newer one, whatever order updates arrive in.
TEST(MembershipTest, TableOnlyMovesForward)
{
    EXPECT_TRUE(rc::check("merging in any order gives the same table", [] {
        std::vector<MemberUpdate> updates;
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        for (std::size_t n = 0; n < size; ++n) {
            const auto state = static_cast<MemberState>(*rc::gen::inRange(0, 5));
            const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
            updates.push_back({ NodeName("n"), DataCentreName("d"), { "h", 1, 1 }, state, incarnation, 0 });
        }
        auto shuffled = updates;
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::shuffle(shuffled.begin(), shuffled.end(), random.engine());
        MemberTable first;
        MemberTable second;
        for (const auto &it : updates) {
            first.merge(it, {});
        }
        for (const auto &it : shuffled) {
            const auto *before = second.find(it.node);
            const auto incarnation = before == nullptr ? 0 : before->update.incarnation;
            second.merge(it, {});
            RC_ASSERT(second.find(it.node)->update.incarnation >= incarnation);
        }
        RC_ASSERT(first.find(NodeName("n"))->update == second.find(NodeName("n"))->update);
    }));
}
