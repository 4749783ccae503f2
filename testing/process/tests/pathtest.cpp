#include "support/testfleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace Pimentohollow::Testing;

namespace
{

HttpHeaders withKey(HttpHeaders more = {})
{
    more.push_back({ "Authorization", std::string("Bearer ") + TestKey });
    return more;
}

std::string upstreamAt(const std::string &service, const std::string &name, ChildProcess &node)
{
    return fmt::format("{} {} {}", service, name, node.port("peer"));
}

/** Entry node A without an upstream of its own, serving node B with one. */
class PathTest : public testing::Test
{
protected:
    PathTest()
    {
        serving = fleet.startServingSite("b");
        entry.node = fleet.startNode("a", { upstreamAt("echo", "b", *serving.node) });
    }

    TestFleet fleet;
    TestSite serving;
    TestSite entry;
};

std::string binaryBody(std::size_t size)
{
    std::string body;
    for (std::size_t n = 0; n < size; ++n) {
        body += static_cast<char>(n * 131 % 251);
    }
    return body;
}

} // namespace

// Guards against bodies changed, cut or mixed up on the way through two nodes and the upstream.
TEST_F(PathTest, ReturnsAnswerByteForByte)
{
    auto caller = entry.caller();
    for (const std::size_t size : { 0U, 1U, 4096U, 300000U, 1048576U }) {
        const std::string body = binaryBody(size);
        const auto answer = caller.post("/echo/x?a=1", body, withKey({ { "X-Test-Id", "t1" } }));
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.body == body) << "size " << size << ", got " << answer.body.size();
        ASSERT_NE(findHeader(answer.headers, "X-Upstream"), nullptr);
    }
    EXPECT_EQ(serving.control("runs?id=t1"), "5");
}
