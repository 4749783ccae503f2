#include "support/testfleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace Pimentohollow::Testing;

namespace
{

const HttpHeader Key{ "Authorization", std::string("Bearer ") + TestKey };

/** Node B serves "echo", whose upstream calls "deep" at node C. */
class ChainTest : public testing::Test
{
protected:
    ChainTest()
    {
        deep = fleet.startServingSite("c", "deep");
        const std::string deepAt = fmt::format("deep c {}", deep.node->port("peer"));
        serving.node = fleet.startNode("b", { "echo b 1", deepAt });
        serving.upstream = TestFleet::startUpstream(*serving.node, "echo");
    }

    TestFleet fleet;
    TestSite deep;
    TestSite serving;
};

} // namespace

// Guards against a child call that loses its parent: it needs no key of its own and reaches the deeper service.
TEST_F(ChainTest, ChildInheritsTheAccount)
{
    const auto answer = serving.caller().get("/echo", { Key, { "X-Test-Id", "c1" }, { "X-Child-Target", "/deep/x" } });
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "200 ");
    EXPECT_EQ(deep.control("runs?id=c1-child"), "1");
}

// Guards against a child call that runs for an account although nothing ties it to a request of that account.
TEST_F(ChainTest, ChildWithoutParentNeedsAKey)
{
    const auto answer =
        serving.caller().get("/echo", { Key, { "X-Test-Id", "c2" }, { "X-Child-Target", "/deep/x" }, { "X-Child-Forget-Id", "1" } });
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.body.starts_with("401 ")) << answer.body;
    EXPECT_EQ(deep.control("runs?id=c2-child"), "0");
}

// Guards against retries that multiply at every hop: the whole chain spends at most the retries of the request.
TEST_F(ChainTest, RetriesAreBoundedForTheWholeChain)
{
    deep.control("set?truncate=1");
    HttpHeaders headers{ Key, { "X-Test-Id", "c3" }, { "X-Child-Target", "/deep/x" }, { "X-Status", "503" } };
    serving.caller().get("/echo", headers);
    EXPECT_LE(std::stoi(deep.control("runs?id=c3-child")), 3);
    EXPECT_LE(std::stoi(serving.control("runs?id=c3")), 3);
}
