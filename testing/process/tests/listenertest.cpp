#include "support/testcertificate.h"
#include "support/testfleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/StreamCopier.h>

using namespace Pimentohollow;
using namespace Pimentohollow::Testing;

namespace
{

const std::string KeyLine = std::string("Authorization: Bearer ") + TestKey + "\r\n";

} // namespace

// Guards against requests or keys sent in the clear although certificates are configured.
TEST(ListenerTest, ServesTls)
{
    TestFleet fleet;
    const TestCertificate certificate;
    const std::string tls = fmt::format("tls: {{certificate: {}, key: {}}}\n", certificate.certificateFile(), certificate.keyFile());
    const auto node = fleet.startNode("b", { "echo b 1" }, tls);
    const Poco::Net::Context::Ptr context = Poco::makeAuto<Poco::Net::Context>(
        Poco::Net::Context::TLS_CLIENT_USE, "", "", certificate.certificateFile(), Poco::Net::Context::VERIFY_RELAXED, 9, false);
    Poco::Net::HTTPSClientSession session("127.0.0.1", static_cast<Poco::UInt16>(node->port("caller")), context);
    Poco::Net::HTTPRequest request("GET", "/unknown", Poco::Net::HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    EXPECT_EQ(response.getStatus(), Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
    EXPECT_EQ(rawExchange(node->port("caller"), "GET /unknown HTTP/1.1\r\nHost: x\r\n\r\n").find("HTTP/1.1 404"), std::string::npos);
}

// Guards against malformed requests that reach the upstream, and against answers that leave the connection open afterwards.
TEST(ListenerTest, RefusesMalformedRequestsAndCloses)
{
    TestFleet fleet;
    const TestSite site = fleet.startServingSite("b");
    const int port = site.node->port("caller");
    const std::string smuggled = "POST /echo HTTP/1.1\r\nHost: x\r\n" + KeyLine
        + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /echo HTTP/1.1\r\nHost: x\r\nX-Test-Id: m1\r\n" + KeyLine
        + "\r\n";
    const std::string answer = rawExchange(port, smuggled);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_NE(answer.find(R"("reason":"bad_request","ran":"no")"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
    EXPECT_EQ(site.control("runs?id=m1"), "0");
}

// Guards against slow senders that hold a connection thread for ever.
TEST(ListenerTest, CutsOffSlowSenders)
{
    TestFleet fleet;
    const auto node = fleet.startNode("b", {});
    EXPECT_TRUE(rawExchange(node->port("caller"), "GET /echo HTTP/1.1\r\nHos").starts_with("HTTP/1.1 408 "));
    const std::string slowBody = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc";
    EXPECT_TRUE(rawExchange(node->port("caller"), slowBody).starts_with("HTTP/1.1 408 "));
}

// Guards against callers that wait for "100 Continue" in vain, and against pipelined requests answered out of order.
TEST(ListenerTest, ServesExpectationsAndPipelines)
{
    TestFleet fleet;
    const TestSite site = fleet.startServingSite("b");
    const std::string head = "POST /echo HTTP/1.1\r\nHost: x\r\n" + KeyLine;
    const std::string answer = rawExchange(site.node->port("caller"),
                                           head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\none" + head
                                               + "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n" + head
                                               + "Connection: close\r\nContent-Length: 5\r\n\r\nthree");
    const auto one = answer.find("\r\n\r\none");
    const auto two = answer.find("\r\n\r\ntwo");
    const auto three = answer.find("\r\n\r\nthree");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\n")) << answer;
    EXPECT_TRUE(one < two && two < three && three != std::string::npos) << answer;
}

// Guards against callers' connections that use up the threads of a node: today's 1,300 are served at the same time.
TEST(ListenerTest, ServesTodaysConnections)
{
    constexpr int Connections = 1300;
    TestFleet fleet;
    const TestSite site = fleet.startServingSite("b");
    std::vector<std::unique_ptr<TestClient>> callers;
    for (int n = 0; n < Connections; ++n) {
        callers.push_back(std::make_unique<TestClient>(site.node->port("caller")));
        ASSERT_EQ(callers.back()->get("/open").status, 200) << n;
    }
    EXPECT_EQ(callers.front()->get("/open").status, 200);
    EXPECT_NE(site.metrics().find("pimentohollow_caller_connections 1300"), std::string::npos);
}
