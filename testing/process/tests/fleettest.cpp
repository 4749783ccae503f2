#include "support/platformfleet.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace Pimentohollow::Testing;

namespace
{

/** Entry node A and serving node B with the platform's stand-in. */
class FleetTest : public testing::Test
{
protected:
    FleetTest()
    {
        serving.node = fleet.startNode("b");
        serving.upstream = TestFleet::startUpstream(*serving.node, "echo");
        entry.node = fleet.startNode("a");
        eventually([this] {
            return entry.caller().get("/echo", withKey()).status == 200;
        });
    }

    HttpHeaders withKey(HttpHeaders more = {}) const
    {
        more.push_back({ "Authorization", "Bearer " + fleet.key() });
        return more;
    }

    void setOutage(StandinOutage outage)
    {
        StandinBehaviour behaviour;
        behaviour.outage = outage;
        fleet.platform().setBehaviour(behaviour);
    }

    PlatformFleet fleet;
    TestSite serving;
    TestSite entry;
};

} // namespace

// Guards against a fleet that doesn't find its upstreams, and against an order that runs twice when it is sent again.
TEST_F(FleetTest, RunsAnOrderOnce)
{
    const HttpHeaders headers = withKey({ { "Idempotency-Key", "order-1" } });
    const auto first = entry.caller().post("/orders", "one order", headers);
    EXPECT_EQ(first.status, 200) << first.body;
    EXPECT_EQ(first.body, "one order");
    const auto second = entry.caller().post("/orders", "one order", headers);
    EXPECT_EQ(second.status, 200) << second.body;
    EXPECT_EQ(second.body, "one order");
    EXPECT_EQ(entry.caller().post("/orders", "another order", headers).status, 422);
    EXPECT_EQ(serving.control("runs?id=order-1"), "1");
}

// Guards against orders that run without a claim, and against lookups that fail, while the platform is down.
TEST_F(FleetTest, ServesLookupsWithoutThePlatform)
{
    setOutage(StandinOutage::Close);
    const auto refused = entry.caller().post("/orders", "one order", withKey({ { "Idempotency-Key", "order-2" } }));
    EXPECT_EQ(refused.status, 503);
    EXPECT_NE(refused.body.find(R"("reason":"platform_unavailable","ran":"no")"), std::string::npos) << refused.body;
    EXPECT_EQ(entry.caller().get("/echo", withKey()).status, 200);
    EXPECT_EQ(serving.control("runs?id=order-2"), "0");
    setOutage(StandinOutage::None);
    EXPECT_TRUE(eventually([this] {
        return entry.caller().post("/orders", "one order", withKey({ { "Idempotency-Key", "order-2" } })).status == 200;
    }));
    EXPECT_EQ(serving.control("runs?id=order-2"), "1");
}

// Guards against a withdrawn key that still works, also for a caller that stays connected.
TEST_F(FleetTest, WithdrawnKeyStopsWorking)
{
    auto caller = entry.caller();
    EXPECT_EQ(caller.get("/echo", withKey()).status, 200);
    fleet.change([](FleetConfiguration &target) {
        target.keys.begin()->second.withdrawn = std::chrono::system_clock::now();
        target.keys.begin()->second.withdrawalReason = "test";
    });
    EXPECT_TRUE(eventually([&] {
        return caller.get("/echo", withKey()).status == 401;
    }));
}

// Guards against a data centre that serves without limit although an exception bounds it, and against one that stays closed.
TEST_F(FleetTest, StopsServingWhenCutOffForTooLong)
{
    fleet.change([](FleetConfiguration &target) {
        ExceptionEntity exception;
        exception.name = ExceptionName("cut-off");
        exception.reason = "stale keys must not be accepted for long";
        exception.serveWhenCutOff = std::chrono::seconds(2);
        target.upsert(exception);
    });
    // The exception must be in force before the node is cut off, or it can't know of it.
    ASSERT_TRUE(eventually([this] {
        return TestClient(entry.node->port("admin")).get("/v1/status").body.find(R"("version":2)") != std::string::npos;
    }));
    const auto status = [this] {
        return entry.caller().get("/echo", withKey()).status;
    };
    setOutage(StandinOutage::Close);
    EXPECT_TRUE(eventually([&] {
        return status() == 503;
    }));
    setOutage(StandinOutage::None);
    EXPECT_TRUE(eventually([&] {
        return status() == 200;
    }));
}
