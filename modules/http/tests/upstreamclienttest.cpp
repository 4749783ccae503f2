#include "http/http.h"

#include <gtest/gtest.h>
#include <Poco/Net/ServerSocket.h>
#include <thread>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

/** Accepts connections one after the other; on each it reads a request per answer and sends that answer, then closes. */
class ScriptedUpstream
{
public:
    using Connection = std::vector<std::string>;

    explicit ScriptedUpstream(std::vector<Connection> script)
        : m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, script = std::move(script)] {
            for (const auto &it : script) {
                serve(it);
            }
        })
    {
    }

    ~ScriptedUpstream()
    {
        m_thread.join();
    }

    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    Poco::Net::SocketAddress address() const
    {
        return m_listener.address();
    }

private:
    void serve(const Connection &answers)
    {
        Poco::Net::StreamSocket socket = m_listener.acceptConnection();
        ByteStream stream(socket);
        for (const auto &it : answers) {
            if (!stream.readHead(10000, std::chrono::steady_clock::now() + 10s)) {
                return;
            }
            socket.sendBytes(it.data(), static_cast<int>(it.size()));
        }
    }

    Poco::Net::ServerSocket m_listener;
    std::thread m_thread;
};

const HttpRequestMessage Get{ "GET", "/", {}, "" };

tl::expected<HttpResponseMessage, Refusal> send(UpstreamClient &client, bool idempotent = true, Duration limit = 10s)
{
    Cancellation cancellation;
    return client.send(Get, idempotent, std::chrono::steady_clock::now() + limit, cancellation);
}

struct BadAnswerCase {
    std::string name;
    std::string bytes;
};

class BadAnswerTest : public testing::TestWithParam<BadAnswerCase>
{
};

} // namespace

// Guards against an answer that isn't whole, or whose end is uncertain, passed on as a success or as "not run".
TEST_P(BadAnswerTest, IsAnUnknownOutcome)
{
    const ScriptedUpstream upstream({ { GetParam().bytes } });
    UpstreamClient client(upstream.address(), {});
    const auto answer = send(client);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().reason, RefusalReason::UpstreamFailed);
    EXPECT_EQ(answer.error().ran, RunState::Unknown);
}

INSTANTIATE_TEST_SUITE_P(Shapes,
                         BadAnswerTest,
                         testing::Values(BadAnswerCase{ "Nothing", "" },
                                         BadAnswerCase{ "HalfHead", "HTTP/1.1 200 OK\r\nContent-Le" },
                                         BadAnswerCase{ "HalfBody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab" },
                                         BadAnswerCase{ "HalfChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab" },
                                         BadAnswerCase{ "NoLastChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n" },
                                         BadAnswerCase{ "NoLength", "HTTP/1.1 200 OK\r\n\r\nab" },
                                         BadAnswerCase{ "TwoLengths",
                                                        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" },
                                         BadAnswerCase{ "BadStatus", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n" },
                                         BadAnswerCase{ "NotHttp", "hello\r\n\r\n" }),
                         [](const auto &it) {
                             return it.param.name;
                         });

// Guards against a reused connection that the upstream closed meanwhile, and against answers read from the wrong request.
TEST(UpstreamClientTest, ReusesOnlyLiveConnections)
{
    const std::string first = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
    const std::string second = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n2\r\n0\r\n\r\n";
    const std::string third = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    const ScriptedUpstream upstream({ { first, second }, { third } });
    UpstreamClient client(upstream.address(), {});
    EXPECT_EQ(send(client)->body, "1");
    EXPECT_EQ(send(client)->body, "2");
    std::this_thread::sleep_for(50ms); // the upstream closes the idle connection
    EXPECT_EQ(send(client)->status, 204);
}

// Guards against a request that isn't idempotent on a used connection, where it could fail without an answer.
TEST(UpstreamClientTest, NonIdempotentGetsNewConnection)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
    const ScriptedUpstream upstream({ { answer }, { answer } });
    UpstreamClient client(upstream.address(), {});
    EXPECT_TRUE(send(client));
    EXPECT_TRUE(send(client, false));
}

// Guards against "unknown" for a request that provably did not run.
TEST(UpstreamClientTest, RefusedConnectionIsNotRun)
{
    Poco::Net::SocketAddress closedPort;
    {
        const Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        closedPort = listener.address();
    }
    UpstreamClient client(closedPort, {});
    const auto answer = send(client);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().ran, RunState::NotRun);
    const auto late = send(client, true, -1s);
    EXPECT_EQ(late.error(),
              (Refusal{ RefusalReason::DeadlineExceeded, RunState::NotRun, {}, "deadline passed before the request was sent" }));
}
