#include "support/testfleet.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace Pimentohollow::Testing;

// Guards against a request that crashes one upstream after the other while its caller sends it again.
TEST(PoisonTest, IsRefusedAfterTwoCrashes)
{
    TestFleet fleet;
    TestSite site = fleet.startServingSite("b");
    const HttpHeaders headers{ { "Authorization", std::string("Bearer ") + TestKey } };
    const std::string poison = "an order with the poison-marker in it";
    for (int crash = 0; crash < 2; ++crash) {
        const auto answer = site.caller().post("/orders", poison, headers);
        EXPECT_EQ(answer.status, 503) << answer.body;
        EXPECT_NE(answer.body.find(R"("ran":"unknown")"), std::string::npos) << answer.body;
        ASSERT_TRUE(site.upstream->wait(std::chrono::seconds(20)));
        site.upstream = TestFleet::startUpstream(*site.node, "echo");
        ASSERT_TRUE(eventually([&] {
            return site.caller().post("/orders", "a harmless order", headers).status == 200;
        }));
    }
    const auto refused = site.caller().post("/orders", poison, headers);
    EXPECT_EQ(refused.status, 422) << refused.body;
    EXPECT_NE(refused.body.find(R"("reason":"poison","ran":"no")"), std::string::npos) << refused.body;
    EXPECT_EQ(site.caller().post("/orders", "a harmless order", headers).status, 200);
    EXPECT_FALSE(site.upstream->wait(std::chrono::milliseconds(0)));
}
