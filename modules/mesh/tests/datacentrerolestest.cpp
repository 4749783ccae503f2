#include "mesh/decisions/datacentreroles.h"

#include <gtest/gtest.h>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Now{ 1h };
constexpr std::size_t Watchers = 2;

struct RoleCase {
    const char *name;
    /** Ordered by address. */
    std::vector<RoleCandidate> nodes;
    /** Indices of the nodes that are to watch the store. */
    std::vector<std::size_t> watching;
    std::size_t relay;
};

std::vector<RoleCandidate> othersOf(const std::vector<RoleCandidate> &nodes, std::size_t own)
{
    auto others = nodes;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(own));
    return others;
}

class DataCentreRolesTest : public ::testing::TestWithParam<RoleCase>
{
};

} // namespace

/** Guards against data centres in which no node watches the store or sends digests, and against those in which all nodes do. */
TEST_P(DataCentreRolesTest, NodesAgreeOnTheirRoles)
{
    const auto &nodes = GetParam().nodes;
    std::vector<std::size_t> watching;
    std::vector<std::size_t> relays;
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        if (watchesStore(nodes[n], othersOf(nodes, n), Watchers, Now)) {
            watching.push_back(n);
        }
        if (isRelay(nodes[n], othersOf(nodes, n))) {
            relays.push_back(n);
        }
    }
    EXPECT_EQ(watching, GetParam().watching);
    EXPECT_EQ(relays, std::vector<std::size_t>{ GetParam().relay });
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    DataCentreRolesTest,
    ::testing::Values(RoleCase{ "Single", { { "a", true, true } }, { 0 }, 0 },
                      RoleCase{ "AllReachTheStore", { { "a", true, true }, { "b", true, true }, { "c", true, true } }, { 0, 1 }, 0 },
                      RoleCase{ "FirstRestarted", { { "a", true, false }, { "b", true, true }, { "c", true, true } }, { 0, 1 }, 1 },
                      RoleCase{ "AllRestarted", { { "a", true, false }, { "b", true, false }, { "c", true, false } }, { 0, 1 }, 0 },
                      // Nodes that the store rejects keep trying, as they don't count the nodes ordered after them.
                      RoleCase{
                          "StoreRejectsTheFirst", { { "a", false, true }, { "b", true, true }, { "c", true, true } }, { 0, 1, 2 }, 0 }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/**
 * Guards against an outage in which every node calls the store all the time, and against nodes that never try although the store would
 * serve them.
 */
TEST(StoreProbeTurnsTest, EachNodeTriesInTurnDuringAnOutage)
{
    std::vector<RoleCandidate> nodes;
    for (char it = 'a'; it < 'a' + 16; ++it) {
        nodes.push_back({ std::string(1, it), false, true });
    }
    std::vector<std::size_t> tries(nodes.size());
    for (int second = 0; second < 4; ++second) {
        std::size_t trying = 0;
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            const bool tried = watchesStore(nodes[n], othersOf(nodes, n), Watchers, Now + std::chrono::seconds(second));
            tries[n] += tried ? 1 : 0;
            trying += tried ? 1 : 0;
        }
        EXPECT_LE(trying, Watchers + nodes.size() / 4);
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        EXPECT_EQ(tries[n], n < Watchers ? 4U : 1U) << n;
    }
}

} // namespace Pimentohollow
