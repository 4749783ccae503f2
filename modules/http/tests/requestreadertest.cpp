#include "http/http.h"

#include <gtest/gtest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

/** Two ends of a connection on 127.0.0.1. */
struct SocketPair {
    SocketPair()
    {
        const Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        sender.connect(listener.address());
        Poco::Net::ServerSocket acceptor(listener);
        receiver = acceptor.acceptConnection();
    }

    Poco::Net::StreamSocket sender;
    Poco::Net::StreamSocket receiver;
};

RequestLimits shortLimits()
{
    RequestLimits limits;
    limits.maximumHeadBytes = 1024;
    limits.maximumBodyBytes = 64;
    limits.headTimeout = 50ms;
    limits.bodyTimeout = 50ms;
    return limits;
}

/** Reads @p bytes as a request. @param closeAfterwards the sender shuts down its side after the last byte */
tl::expected<ReceivedRequest, RequestError> readBytes(const std::string &bytes, bool closeAfterwards)
{
    SocketPair pair;
    pair.sender.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (closeAfterwards) {
        pair.sender.shutdownSend();
    }
    const RequestLimits limits = shortLimits();
    ByteStream stream(pair.receiver);
    return RequestReader(stream, limits, [] {}).read();
}

struct RefusedCase {
    std::string name;
    std::string bytes;
    int status;
};

const std::string Host = "Host: x\r\n";

const std::vector<RefusedCase> RefusedCases{
    { "TwoContentLengths", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400 },
    { "ContentLengthList", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 2, 2\r\n\r\nab", 400 },
    { "LengthAndEncoding", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
    { "EncodingAndLength", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", 400 },
    { "TwoEncodings", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
    { "EncodingList", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
    { "EncodingInHttp10", "POST / HTTP/1.0\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
    { "NegativeLength", "POST / HTTP/1.1\r\n" + Host + "Content-Length: -1\r\n\r\n", 400 },
    { "SignedLength", "POST / HTTP/1.1\r\n" + Host + "Content-Length: +2\r\n\r\nab", 400 },
    { "HexLength", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 0x2\r\n\r\nab", 400 },
    { "EmptyLength", "POST / HTTP/1.1\r\n" + Host + "Content-Length:\r\n\r\n", 400 },
    { "HugeLength", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 18446744073709551617\r\n\r\nab", 400 },
    { "BareLfInHead", "GET / HTTP/1.1\n" + Host + "\r\n", 400 },
    { "BareLfEndsHead", "GET / HTTP/1.1\r\n" + Host + "\n", 400 },
    { "BareCrInValue", "GET / HTTP/1.1\r\n" + Host + "A: b\rc\r\n\r\n", 400 },
    { "FoldedHeader", "GET / HTTP/1.1\r\n" + Host + "A: b\r\n c\r\n\r\n", 400 },
    { "FoldedWithTab", "GET / HTTP/1.1\r\n" + Host + "A: b\r\n\tc\r\n\r\n", 400 },
    { "SpaceBeforeColon", "POST / HTTP/1.1\r\n" + Host + "Content-Length : 2\r\n\r\nab", 400 },
    { "NoColon", "GET / HTTP/1.1\r\n" + Host + "nonsense\r\n\r\n", 400 },
    { "EmptyName", "GET / HTTP/1.1\r\n" + Host + ": b\r\n\r\n", 400 },
    { "NulInValue", "GET / HTTP/1.1\r\n" + Host + "A: b" + std::string(1, '\0') + "c\r\n\r\n", 400 },
    { "NoHost", "GET / HTTP/1.1\r\n\r\n", 400 },
    { "TwoHosts", "GET / HTTP/1.1\r\n" + Host + Host + "\r\n", 400 },
    { "TwoSpaces", "GET  / HTTP/1.1\r\n" + Host + "\r\n", 400 },
    { "TabInRequestLine", "GET\t/ HTTP/1.1\r\n" + Host + "\r\n", 400 },
    { "NoVersion", "GET /\r\n" + Host + "\r\n", 400 },
    { "Http2Preface", "PRI * HTTP/2.0\r\n\r\n", 400 },
    { "LeadingEmptyLine", "\r\nGET / HTTP/1.1\r\n" + Host + "\r\n", 400 },
    { "Fragment", "GET /a#b HTTP/1.1\r\n" + Host + "\r\n", 400 },
    { "AuthorityTarget", "CONNECT x:80 HTTP/1.1\r\n" + Host + "\r\n", 400 },
    { "OversizedHeader", "GET / HTTP/1.1\r\n" + Host + "A: " + std::string(2000, 'a') + "\r\n\r\n", 431 },
    { "OversizedTarget", "GET /" + std::string(2000, 'a') + " HTTP/1.1\r\n" + Host + "\r\n", 431 },
    { "OversizedLength", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 65\r\n\r\n", 413 },
    { "OversizedChunk", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n41\r\n", 413 },
    { "OversizedSum", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n40\r\n", 413 },
    { "HugeChunk", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\na", 400 },
    { "NegativeChunk", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n-1\r\na", 400 },
    { "ChunkWithSpace", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n 1\r\na\r\n0\r\n\r\n", 400 },
    { "ChunkExtensionControlByte", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n1;a=\x01\r\na\r\n0\r\n\r\n", 400 },
    { "ChunkBareLf", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", 400 },
    { "ChunkTooLong", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400 },
    { "UnknownExpectation", "POST / HTTP/1.1\r\n" + Host + "Expect: magic\r\nContent-Length: 1\r\n\r\na", 417 },
    { "SlowHead", "GET / HTTP/1.1\r\nHost", 408 },
    { "SlowBody", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 5\r\n\r\nab", 408 },
    { "SlowChunk", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", 408 },
};

class RefusedRequestTest : public testing::TestWithParam<RefusedCase>
{
};

} // namespace

// Guards against request smuggling, against unbounded requests and against slow senders that occupy a thread.
TEST_P(RefusedRequestTest, IsRefusedWithStatus)
{
    const auto received = readBytes(GetParam().bytes, false);
    ASSERT_FALSE(received);
    EXPECT_EQ(received.error().status, GetParam().status) << received.error().detail;
}

INSTANTIATE_TEST_SUITE_P(Requests, RefusedRequestTest, testing::ValuesIn(RefusedCases), [](const auto &it) {
    return it.param.name;
});

struct AcceptedCase {
    std::string name;
    std::string bytes;
    std::string target;
    std::string body;
    bool keepAlive;
};

const std::vector<AcceptedCase> AcceptedCases{
    { "Get", "GET /a?b=c HTTP/1.1\r\n" + Host + "\r\n", "/a?b=c", "", true },
    { "Length", "POST / HTTP/1.1\r\n" + Host + "content-length: 3\r\n\r\nabcGET", "/", "abc", true },
    { "ZeroLength", "POST / HTTP/1.1\r\n" + Host + "Content-Length: 0\r\n\r\n", "/", "", true },
    { "Chunked",
      "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: Chunked\r\n\r\n2\r\nab\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
      "/",
      "ab0123456789",
      true },
    { "Trailers", "POST / HTTP/1.1\r\n" + Host + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nT: v\r\n\r\n", "/", "a", true },
    { "Close", "GET / HTTP/1.1\r\n" + Host + "Connection: x, Close\r\n\r\n", "/", "", false },
    { "Http10", "GET / HTTP/1.0\r\n\r\n", "/", "", false },
    { "Http10KeepAlive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "/", "", true },
    { "AbsoluteForm", "GET http://x/a?b HTTP/1.1\r\n" + Host + "\r\n", "/a?b", "", true },
    { "EncodedWord", "GET / HTTP/1.1\r\n" + Host + "A: =?utf-8?q?=C3=A9?=\r\n\r\n", "/", "", true },
};

class AcceptedRequestTest : public testing::TestWithParam<AcceptedCase>
{
};

// Guards against valid requests that are rejected or altered.
TEST_P(AcceptedRequestTest, IsReadAsSent)
{
    const auto received = readBytes(GetParam().bytes, false);
    ASSERT_TRUE(received) << received.error().detail;
    EXPECT_EQ(received->message.target, GetParam().target);
    EXPECT_EQ(received->message.body, GetParam().body);
    EXPECT_EQ(received->keepAlive, GetParam().keepAlive);
    if (const auto *value = findHeader(received->message.headers, "A")) {
        EXPECT_EQ(*value, "=?utf-8?q?=C3=A9?=");
    }
}

INSTANTIATE_TEST_SUITE_P(Requests, AcceptedRequestTest, testing::ValuesIn(AcceptedCases), [](const auto &it) {
    return it.param.name;
});

// Guards against accepting a truncated request as complete.
RC_GTEST_PROP(RequestReaderTest, RejectsEveryProperPrefix, ())
{
    const std::string body = *rc::gen::container<std::string>(5, rc::gen::inRange('a', 'z'));
    const std::string head = "POST / HTTP/1.1\r\n" + Host;
    const bool chunked = *rc::gen::arbitrary<bool>();
    const std::string complete =
        head + (chunked ? "Transfer-Encoding: chunked\r\n\r\n5\r\n" + body + "\r\n0\r\n\r\n" : "Content-Length: 5\r\n\r\n" + body);
    const auto length = *rc::gen::inRange<std::size_t>(0, complete.size());
    RC_ASSERT(!readBytes(complete.substr(0, length), true));
    const auto received = readBytes(complete, true);
    RC_ASSERT(received.has_value());
    RC_ASSERT(received->message.body == body);
}
