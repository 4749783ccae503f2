#include "mesh/decisions/datacentreduties.h"

#include <gtest/gtest.h>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Now{ 1h };
constexpr std::size_t Followers = 2;

struct DutyCase {
    const char *name;
    /** In the order of their addresses. */
    std::vector<DutyCandidate> nodes;
    /** Numbers of those that have the duty. */
    std::vector<std::size_t> following;
    std::size_t relay;
};

std::vector<DutyCandidate> othersOf(const std::vector<DutyCandidate> &nodes, std::size_t own)
{
    auto others = nodes;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(own));
    return others;
}

class DutyTest : public ::testing::TestWithParam<DutyCase>
{
};

} // namespace

/** Guards against data centres in which nobody follows the store or sends digests, and against those in which all do. */
TEST_P(DutyTest, NodesAgreeOnWhoDoesWhat)
{
    const auto &nodes = GetParam().nodes;
    std::vector<std::size_t> following;
    std::vector<std::size_t> relays;
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        if (followsStore(nodes[n], othersOf(nodes, n), Followers, Now)) {
            following.push_back(n);
        }
        if (isRelay(nodes[n], othersOf(nodes, n))) {
            relays.push_back(n);
        }
    }
    EXPECT_EQ(following, GetParam().following);
    EXPECT_EQ(relays, std::vector<std::size_t>{ GetParam().relay });
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    DutyTest,
    ::testing::Values(DutyCase{ "Single", { { "a", true, true } }, { 0 }, 0 },
                      DutyCase{ "Calm", { { "a", true, true }, { "b", true, true }, { "c", true, true } }, { 0, 1 }, 0 },
                      DutyCase{ "FirstRestarted", { { "a", true, false }, { "b", true, true }, { "c", true, true } }, { 0, 1 }, 1 },
                      DutyCase{ "AllRestarted", { { "a", true, false }, { "b", true, false }, { "c", true, false } }, { 0, 1 }, 0 },
                      // Those that the store turns away try on, as they don't know of the others behind them.
                      DutyCase{ "FirstTurnedAway", { { "a", false, true }, { "b", true, true }, { "c", true, true } }, { 0, 1, 2 }, 0 }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/** Guards against an outage in which every node calls the store all the time, and against nodes that never try although they are served. */
TEST(DutyTurnsTest, EachNodeTriesInTurnDuringAnOutage)
{
    std::vector<DutyCandidate> nodes;
    for (char it = 'a'; it < 'a' + 16; ++it) {
        nodes.push_back({ std::string(1, it), false, true });
    }
    std::vector<std::size_t> tries(nodes.size());
    for (int second = 0; second < 4; ++second) {
        std::size_t trying = 0;
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            const bool tried = followsStore(nodes[n], othersOf(nodes, n), Followers, Now + std::chrono::seconds(second));
            tries[n] += tried ? 1 : 0;
            trying += tried ? 1 : 0;
        }
        EXPECT_LE(trying, Followers + nodes.size() / 4);
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        EXPECT_EQ(tries[n], n < Followers ? 4U : 1U) << n;
    }
}

} // namespace Pimentohollow
