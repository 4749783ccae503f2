#include "core/systemclock.h"
#include "standins/platform/rawserver.h"
#include "standins/platform/standinhandlers.h"
#include "storage/storage.h"
#include "testcertificate.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SecureServerSocket.h>

using namespace Pimentohollow;

namespace
{

PlatformEndpoint endpointAt(const std::string &url)
{
    PlatformEndpoint endpoint;
    endpoint.url = url;
    endpoint.region = "local";
    endpoint.accessKeyId = "id";
    endpoint.secretAccessKey = "secret";
    endpoint.timeout = std::chrono::seconds(5);
    return endpoint;
}

std::string jsonAnswer(int status, const std::string &body)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
}

std::string cancelledAnswer(const std::string &code)
{
    return jsonAnswer(400, R"({"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":")" + code + R"("}]})");
}

struct AnswerCase {
    std::string name;
    std::string answer;
    ErrorKind write;
    ErrorKind read;
};

void PrintTo(const AnswerCase &it, std::ostream *stream) // NOLINT(readability-identifier-naming)
{
    *stream << it.name;
}

} // namespace

class BadAnswerTest : public testing::TestWithParam<AnswerCase>
{
};

// Guards against a bad answer that is taken for success, or a write that is reported as not done although it may be.
TEST_P(BadAnswerTest, IsReportedWithTheRightKind)
{
    const RawServer server(GetParam().answer);
    const SystemClock clock;
    HttpTableService table(endpointAt(server.url()), "t", clock);
    const PutRow put{ { "p", "s" }, {}, RowAbsent() };
    const auto written = table.transact({ put }, "token");
    ASSERT_FALSE(written);
    EXPECT_EQ(written.error().kind, GetParam().write) << written.error().describe();
    const auto read = table.get({ "p", "s" });
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().kind, GetParam().read) << read.error().describe();
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    BadAnswerTest,
    testing::Values(
        AnswerCase{ "none", "", ErrorKind::OutcomeUnknown, ErrorKind::Unavailable },
        AnswerCase{ "garbage", "\x01\x02\r\n\r\n", ErrorKind::OutcomeUnknown, ErrorKind::Unavailable },
        AnswerCase{ "cut", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}", ErrorKind::OutcomeUnknown, ErrorKind::Unavailable },
        AnswerCase{ "no length", "HTTP/1.1 200 OK\r\n\r\n{}", ErrorKind::OutcomeUnknown, ErrorKind::Unavailable },
        AnswerCase{ "cut chunk",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
                    ErrorKind::OutcomeUnknown,
                    ErrorKind::Unavailable },
        AnswerCase{ "two lengths",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 20\r\n\r\n{}",
                    ErrorKind::OutcomeUnknown,
                    ErrorKind::Unavailable },
        AnswerCase{ "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", ErrorKind::OutcomeUnknown, ErrorKind::Unavailable },
        AnswerCase{ "name with blank",
                    "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 2\r\n\r\n{}",
                    ErrorKind::OutcomeUnknown,
                    ErrorKind::Unavailable },
        AnswerCase{ "name with control byte",
                    "HTTP/1.1 200 OK\r\nX-\x01Note: 1\r\nContent-Length: 2\r\n\r\n{}",
                    ErrorKind::OutcomeUnknown,
                    ErrorKind::Unavailable },
        AnswerCase{ "too large",
                    jsonAnswer(200, std::string(std::size_t{ 17 } * 1024 * 1024, ' ')),
                    ErrorKind::OutcomeUnknown,
                    ErrorKind::Unavailable },
        AnswerCase{ "internal", jsonAnswer(500, "{}"), ErrorKind::OutcomeUnknown, ErrorKind::Unavailable },
        AnswerCase{ "unknown refusal", jsonAnswer(400, "{}"), ErrorKind::OutcomeUnknown, ErrorKind::InvalidInput },
        AnswerCase{ "throttled", jsonAnswer(400, R"({"__type":"a#ThrottlingException"})"), ErrorKind::Unavailable, ErrorKind::Unavailable },
        AnswerCase{
            "signature", jsonAnswer(400, R"({"__type":"a#InvalidSignatureException"})"), ErrorKind::Unauthorized, ErrorKind::Unauthorized },
        AnswerCase{ "conflict", cancelledAnswer("TransactionConflict"), ErrorKind::Unavailable, ErrorKind::Unavailable },
        AnswerCase{ "still running",
                    jsonAnswer(400, R"({"__type":"a#TransactionInProgressException"})"),
                    ErrorKind::OutcomeUnknown,
                    ErrorKind::OutcomeUnknown }));

// Guards against a shortened object that is taken for the whole one.
TEST(HttpObjectStoreTest, CutObjectIsAnError)
{
    const RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    const SystemClock clock;
    HttpObjectStore objects(endpointAt(server.url()), "b", clock);
    EXPECT_EQ(objects.get("o").error().kind, ErrorKind::Unavailable);
}

// Guards against a missing bucket that looks like a missing object.
TEST(HttpObjectStoreTest, MissingBucketIsAnError)
{
    const RawServer server(jsonAnswer(404, "<Error><Code>NoSuchBucket</Code></Error>"));
    const SystemClock clock;
    HttpObjectStore objects(endpointAt(server.url()), "b", clock);
    EXPECT_EQ(objects.get("o").error().kind, ErrorKind::InvalidInput);
}

// Guards against unencrypted calls to an https endpoint, and against a server whose certificate isn't trusted.
TEST(PlatformClientTest, TlsNeedsATrustedCertificate)
{
    const TestCertificate certificate;
    const TestCertificate stranger;
    const auto state = std::make_shared<StandinState>();
    state->accessKeyId = "id";
    state->secretAccessKey = "secret";
    Poco::Net::SecureServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0), 64, certificate.serverContext());
    Poco::Net::HTTPServer server(makeServiceHandlers(state), socket, Poco::makeAuto<Poco::Net::HTTPServerParams>());
    server.start();
    const SystemClock clock;
    PlatformEndpoint endpoint = endpointAt(fmt::format("https://127.0.0.1:{}", server.port()));
    const PutRow put{ { "p", "s" }, { { "a", std::string("b") } }, RowAbsent() };

    {
        endpoint.authoritiesFile = stranger.certificateFile();
        HttpTableService untrusting(endpoint, "t", clock);
        EXPECT_EQ(untrusting.transact({ put }, "refused").error().kind, ErrorKind::Unavailable);

        endpoint.authoritiesFile = certificate.certificateFile();
        HttpTableService table(endpoint, "t", clock);
        const auto written = table.transact({ put }, "accepted");
        EXPECT_TRUE(written && written->committed);
        EXPECT_EQ(table.get({ "p", "s" }).value(), put.row);
    }
    // The clients have closed their connections, so that the server doesn't abort them from this thread.
    server.stop();
}
