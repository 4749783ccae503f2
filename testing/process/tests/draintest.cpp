#include "support/testfleet.h"

#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

using namespace Pimentohollow;
using namespace Pimentohollow::Testing;

namespace
{

const HttpHeaders WithKey{ { "Authorization", std::string("Bearer ") + TestKey } };

class DrainTest : public testing::Test
{
protected:
    DrainTest()
    {
        serving = fleet.startServingSite("b");
        entry.node = fleet.startNode("a", { fmt::format("echo b {}", serving.node->port("peer")) });
    }

    /** Runs a slow order and calls @p meanwhile while it is at the upstream. */
    HttpResponseMessage slowOrder(const std::function<void()> &meanwhile)
    {
        std::thread other([&] {
            eventually([this] {
                return serving.control("summary").find(R"("running":1)") != std::string::npos;
            });
            meanwhile();
        });
        HttpHeaders headers = WithKey;
        headers.push_back({ "X-Service-Us", "400000" });
        auto answer = entry.caller().post("/orders", "slow order", headers);
        other.join();
        return answer;
    }

    TestFleet fleet;
    TestSite serving;
    TestSite entry;
};

} // namespace

// Guards against a shutdown of the entry node that interrupts a request or leaves the process behind.
TEST_F(DrainTest, EntryNodeFinishesItsRequest)
{
    const auto answer = slowOrder([this] {
        entry.node->signal(SIGTERM);
    });
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "slow order");
    EXPECT_EQ(*findHeader(answer.headers, "Connection"), "close");
    EXPECT_EQ(entry.node->wait(std::chrono::seconds(20)), 0);
}

// Guards against a shutdown of the serving node that interrupts a call of another node.
TEST_F(DrainTest, ServingNodeFinishesItsCall)
{
    const auto answer = slowOrder([this] {
        serving.node->signal(SIGTERM);
    });
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "slow order");
    EXPECT_EQ(serving.node->wait(std::chrono::seconds(20)), 0);
}

// Guards against readiness that stays up while the node leaves, and against idle connections that hold up the exit.
TEST_F(DrainTest, ReadinessEndsAndIdleConnectionsDontBlock)
{
    auto caller = entry.caller();
    auto admin = TestClient(entry.node->port("admin"));
    EXPECT_EQ(caller.get("/echo", WithKey).status, 200);
    EXPECT_EQ(admin.get("/readyz").status, 200);
    EXPECT_EQ(admin.get("/healthz").status, 200);
    entry.node->signal(SIGTERM);
    EXPECT_EQ(entry.node->wait(std::chrono::seconds(20)), 0);
}

// Guards against an upstream that announced its end and still receives new work.
TEST_F(DrainTest, DrainingUpstreamGetsNoNewWork)
{
    serving.control("set?state=draining");
    EXPECT_TRUE(eventually([this] {
        const auto answer = entry.caller().get("/echo", WithKey);
        return answer.status == 503 && answer.body.find(R"("ran":"no")") != std::string::npos;
    }));
}
