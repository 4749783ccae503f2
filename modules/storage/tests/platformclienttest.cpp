#include "core/systemclock.h"
#include "standins/platform/standinhandlers.h"
#include "storage/storage.h"
#include "testcertificate.h"

#include <atomic>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <thread>

using namespace Pimentohollow;

namespace
{

/** Answers each request with the same bytes and closes the connection. */
class RawServer
{
public:
    explicit RawServer(std::string answer)
        : m_answer(std::move(answer))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] {
            serve();
        })
    {
    }

    ~RawServer()
    {
        m_stop = true;
        m_thread.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string url() const
    {
        return fmt::format("http://127.0.0.1:{}", m_socket.address().port());
    }

private:
    void serve()
    {
        while (!m_stop) {
            if (m_socket.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) {
                Poco::Net::StreamSocket connection = m_socket.acceptConnection();
                answer(connection);
            }
        }
    }

    /** Requests arrive in at most two parts, headers and body; reading both keeps the connection from being reset. */
    static bool isWhole(const std::string &request)
    {
        const bool hasHeaders = request.find("\r\n\r\n") != std::string::npos;
        return hasHeaders && (request.starts_with("GET ") || !request.ends_with("\r\n\r\n"));
    }

    void answer(Poco::Net::StreamSocket &connection) const
    {
        try {
            char buf[16384];
            std::string request;
            while (!isWhole(request)) {
                const int length = connection.receiveBytes(buf, sizeof(buf));
                if (length <= 0) {
                    return;
                }
                request.append(buf, static_cast<std::size_t>(length));
            }
            connection.sendBytes(m_answer.data(), static_cast<int>(m_answer.size()));
            connection.shutdownSend();
        } catch (const Poco::Exception &) {
            // The client closed first, which some cases provoke.
            return;
        }
    }

    std::string m_answer;
    Poco::Net::ServerSocket m_socket;
    std::atomic<bool> m_stop{ false };
    std::thread m_thread;
};

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
