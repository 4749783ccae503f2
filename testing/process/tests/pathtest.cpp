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

// Guards against the key, or a header that a caller forged, reaching an upstream.
TEST_F(PathTest, UpstreamNeverSeesTheKey)
{
    auto caller = entry.caller();
    const std::string key = TestKey;
    const auto answer = caller.get("/echo?access_token=" + key + "&q=1&copy=" + key,
                                   withKey({ { "X-Test-Id", "t2" },
                                             { "X-Copied-Key", "before " + key + " after" },
                                             { "Cookie", "session=" + key },
                                             { "Proxy-Authorization", "Bearer " + key },
                                             { "Pimentohollow-Request-Id", "forged" },
                                             { "Pimentohollow-Priority", "important" },
                                             { "traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" },
                                             { "X-Kept", "kept" } }));
    EXPECT_EQ(answer.status, 200);
    const std::string head = serving.control("head?id=t2");
    EXPECT_EQ(head.find(key), std::string::npos) << head;
    EXPECT_EQ(head.find("access_token"), std::string::npos) << head;
    EXPECT_EQ(head.find("forged"), std::string::npos) << head;
    EXPECT_EQ(head.find("Pimentohollow-Priority"), std::string::npos) << head;
    EXPECT_NE(head.find("GET /echo?q=1 HTTP/1.1"), std::string::npos) << head;
    EXPECT_NE(head.find("4bf92f3577b34da6a3ce929d0e0e4736"), std::string::npos) << head;
    EXPECT_NE(head.find("X-Kept: kept"), std::string::npos) << head;
}

// Guards against a request that runs without a valid key, and against refusals without the documented fields.
TEST_F(PathTest, RefusesWithoutKeyOrRoute)
{
    auto caller = entry.caller();
    const auto missing = caller.get("/echo", { { "X-Test-Id", "t3" } });
    EXPECT_EQ(missing.status, 401);
    EXPECT_EQ(*findHeader(missing.headers, "Content-Type"), "application/problem+json");
    EXPECT_NE(missing.body.find(R"("reason":"unauthorized","ran":"no")"), std::string::npos) << missing.body;
    EXPECT_EQ(caller.get("/echo", { { "X-Test-Id", "t3" }, { "Authorization", "Bearer ph_other" } }).status, 401);
    EXPECT_EQ(caller.get("/unknown", withKey()).status, 404);
    EXPECT_EQ(caller.post("/echo", "the key is " + std::string(TestKey), withKey({ { "X-Test-Id", "t3" } })).status, 400);
    EXPECT_EQ(serving.control("runs?id=t3"), "0");
    EXPECT_EQ(caller.get("/open", {}).status, 200);
}

// Guards against answers to HEAD, or without a body, that confuse the next answer on the same connection.
TEST_F(PathTest, KeepsConnectionInStepAfterBodilessAnswers)
{
    auto caller = entry.caller();
    EXPECT_EQ(caller.send({ "HEAD", "/echo", withKey(), "" }).status, 200);
    EXPECT_EQ(caller.get("/echo", withKey({ { "X-Status", "204" } })).status, 204);
    EXPECT_EQ(caller.post("/echo", "", withKey()).body, "");
    EXPECT_EQ(caller.post("/echo", "next", withKey()).body, "next");
}

// Guards against a truncated answer passed on as a success, and against a false statement that it didn't run.
TEST_F(PathTest, TruncatedUpstreamAnswerIsAnError)
{
    serving.control("set?truncate=1");
    auto caller = entry.caller();
    const auto answer = caller.post("/orders", "one order", withKey({ { "X-Test-Id", "t4" } }));
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find(R"("reason":"upstream_failed","ran":"unknown")"), std::string::npos) << answer.body;
    EXPECT_NE(findHeader(answer.headers, "Retry-After"), nullptr);
    EXPECT_EQ(serving.control("runs?id=t4"), "1");
}

// Guards against an idempotent request repeated more often than its retries allow.
TEST_F(PathTest, RetriesStayWithinTheBudget)
{
    serving.control("set?truncate=1");
    auto caller = entry.caller();
    EXPECT_EQ(caller.post("/echo", "lookup", withKey({ { "X-Test-Id", "t5" } })).status, 503);
    EXPECT_LE(std::stoi(serving.control("runs?id=t5")), 3);
}

// Guards against a caller that waits far beyond its deadline for a silent upstream.
TEST_F(PathTest, SilentUpstreamEndsAtTheDeadline)
{
    serving.control("set?silent=1");
    auto caller = entry.caller();
    const auto answer = caller.get("/brief", withKey());
    EXPECT_EQ(answer.status, 504);
    EXPECT_NE(answer.body.find(R"("ran":"unknown")"), std::string::npos) << answer.body;
    EXPECT_TRUE(eventually([this] {
        return serving.control("summary").find(R"("cancelled":1)") != std::string::npos;
    }));
}

// Guards against work that goes on at the upstream after its caller has left.
TEST_F(PathTest, CallerDisconnectCancelsTheUpstream)
{
    serving.control("set?silent=1");
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(entry.node->port("caller"))));
        const std::string request = "GET /echo HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + std::string(TestKey) + "\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        ASSERT_TRUE(eventually([this] {
            return serving.control("summary").find(R"("running":1)") != std::string::npos;
        }));
    }
    EXPECT_TRUE(eventually([this] {
        return serving.control("summary").find(R"("cancelled":1)") != std::string::npos;
    }));
}

// Guards against "not run" for a request that no upstream could take, sent as an answer without Retry-After.
TEST_F(PathTest, RefusesAsNotRunWhenTheServingNodeIsGone)
{
    serving.node->signal(SIGKILL);
    ASSERT_TRUE(serving.node->wait(std::chrono::seconds(20)));
    auto caller = entry.caller();
    const auto answer = caller.post("/orders", "one order", withKey());
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find(R"("reason":"no_upstream","ran":"no")"), std::string::npos) << answer.body;
    EXPECT_NE(findHeader(answer.headers, "Retry-After"), nullptr);
}

// Guards against "not run" for an order whose serving node died while the order ran.
TEST_F(PathTest, ReportsUnknownWhenTheServingNodeDiesMeanwhile)
{
    serving.control("set?silent=1");
    std::thread killer([this] {
        eventually([this] {
            return serving.control("runs?id=t6") == "1";
        });
        serving.node->signal(SIGKILL);
    });
    auto caller = entry.caller();
    const auto answer = caller.post("/orders", "one order", withKey({ { "X-Test-Id", "t6" } }));
    killer.join();
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find(R"("reason":"outcome_lost","ran":"unknown")"), std::string::npos) << answer.body;
}

// Guards against a serving node whose links went silent (its process is paused) and that hangs callers or runs an order twice
// once it resumes: the outcome is asked for, and the order runs once.
TEST_F(PathTest, PausedServingNodeRunsAnOrderOnce)
{
    auto caller = entry.caller();
    EXPECT_EQ(caller.post("/orders", "warm", withKey()).status, 200);
    serving.node->signal(SIGSTOP);
    std::thread resumer([this] {
        eventually([this] {
            return entry.node->log().find("event=link_silent") != std::string::npos;
        });
        serving.node->signal(SIGCONT);
    });
    const auto answer = caller.post("/orders", "one order", withKey({ { "X-Test-Id", "t7" } }));
    resumer.join();
    const int runs = std::stoi(serving.control("runs?id=t7"));
    EXPECT_LE(runs, 1);
    if (answer.status == 200) {
        EXPECT_EQ(answer.body, "one order");
        EXPECT_EQ(runs, 1);
    } else if (answer.body.find(R"("ran":"no")") != std::string::npos) {
        EXPECT_EQ(runs, 0);
    }
}
