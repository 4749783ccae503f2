#include "mesh/decisions/requestrank.h"
#include "mesh/decisions/upstreamchooser.h"
#include "mesh/decisions/weightedsplit.h"

#include <array>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

const ServiceName Orders("orders");

/** Two upstreams, the first one in the own data centre, and the index of the one that is to receive most requests. */
struct PlacementCase {
    const char *name;
    UpstreamCandidate own;
    UpstreamCandidate other;
    PlacementRequest request;
    std::size_t chosen;
};

UpstreamCandidate upstream(std::uint32_t load, double runSeconds, double quality, bool reachable = true, bool accepting = true)
{
    UpstreamCandidate result;
    result.reachable = reachable;
    result.accepting = accepting;
    result.slots = 100;
    result.load = load;
    result.runSeconds = runSeconds;
    result.quality = quality;
    return result;
}

constexpr PlacementRequest Urgent{ true, 0.06, 0.15, 700 };
constexpr PlacementRequest Large{ true, 0.3, 1.5, 7000 };
constexpr PlacementRequest OnlyOnce{ false, 0.3, 1.5, 2000 };

class PlacementTest : public ::testing::TestWithParam<PlacementCase>
{
};

} // namespace

/** Guards against requests that stay at an upstream where their value is lost, or leave the data centre without a benefit. */
TEST_P(PlacementTest, RequestsGoToTheUpstreamWithTheLowestLoss)
{
    Random random(3);
    UpstreamChooser chooser(random);
    auto own = GetParam().own;
    own.sameDataCentre = true;
    int chosen = 0;
    for (int n = 0; n < 1000; ++n) {
        const auto index = chooser.choose({ own, GetParam().other }, GetParam().request);
        ASSERT_TRUE(index);
        chosen += *index == GetParam().chosen ? 1 : 0;
    }
    EXPECT_GE(chosen, GetParam().request.idempotent ? 970 : 1000);
}

INSTANTIATE_TEST_SUITE_P(
    Placements,
    PlacementTest,
    ::testing::Values(PlacementCase{ "OwnDataCentre", upstream(50, 0.1, 1), upstream(10, 0.1, 1), Large, 0 },
                      PlacementCase{ "OwnIsFull", upstream(140, 0.1, 1), upstream(10, 0.1, 1), Large, 1 },
                      PlacementCase{ "BothFull", upstream(115, 0.1, 1), upstream(112, 0.1, 1), Large, 0 },
                      PlacementCase{ "UrgentToTheFaster", upstream(10, 0.1, 1), upstream(10, 0.04, 1), Urgent, 1 },
                      PlacementCase{ "LargeStays", upstream(10, 0.1, 1), upstream(10, 0.04, 1), Large, 0 },
                      PlacementCase{ "OwnTurnsSlow", upstream(60, 1.2, 1), upstream(10, 0.1, 1), Large, 1 },
                      PlacementCase{ "OwnFails", upstream(10, 0.1, 0.5), upstream(10, 0.1, 1), Large, 1 },
                      PlacementCase{ "OwnFailsOnlyOnce", upstream(10, 0.1, 0.5), upstream(10, 0.1, 1), OnlyOnce, 1 },
                      PlacementCase{ "OwnUnreachable", upstream(0, 0.1, 1, false), upstream(150, 0.5, 0.5), OnlyOnce, 1 },
                      PlacementCase{ "OwnLeaves", upstream(0, 0.1, 1, true, false), upstream(150, 0.5, 0.5), OnlyOnce, 1 }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/** Guards against excluding the last upstream of a service because of its bad responses. */
TEST(UpstreamChooserTest, LastUpstreamIsNeverExcluded)
{
    Random random(3);
    UpstreamChooser chooser(random);
    EXPECT_EQ(chooser.choose({ upstream(400, 3, 0) }, OnlyOnce), 0U);
    EXPECT_FALSE(chooser.choose({ upstream(0, 1, 1, false) }, OnlyOnce));
}

/** Guards against request counts that deviate from their weights over a short period. */
RC_GTEST_PROP(WeightedSplitTest, CountsStayCloseToTheWeights, ())
{
    TrafficRoute route;
    route.name = RouteName("browse");
    double total = 0;
    for (const auto weight : *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100)))) {
        route.services.push_back({ ServiceName(std::to_string(route.services.size())), static_cast<double>(weight) });
        total += weight;
    }
    WeightedSplit split;
    std::map<ServiceName, int> counts;
    for (int n = 1; n <= 300; ++n) {
        ++counts[*split.next(route)];
        for (const auto &it : route.services) {
            // Smooth round-robin deviates by less than one request for each other service.
            const double bound = std::max<double>(1, static_cast<double>(route.services.size()));
            RC_ASSERT(std::abs(counts[it.service] - n * it.weight / total) <= bound);
        }
    }
}

/** Guards against requests of important routes that are shed before others because of their account. */
TEST(RequestRankTest, RankOfTheRouteTakesPrecedence)
{
    TrafficRoute important;
    TrafficRoute ordinary;
    ordinary.rank = 1;
    TrafficAccount urgent;
    urgent.rank = 0;
    TrafficAccount lessUrgent;
    lessUrgent.rank = 1;
    EXPECT_LT(requestRank(important, &urgent), requestRank(important, &lessUrgent));
    EXPECT_LT(requestRank(important, &lessUrgent), requestRank(ordinary, &urgent));
    EXPECT_EQ(requestRank(ordinary, nullptr), requestRank(ordinary, &urgent));
    lessUrgent.rank = 40;
    EXPECT_LT(requestRank(important, &lessUrgent), requestRank(ordinary, &urgent));
}

} // namespace Pimentohollow
