#include "http/http.h"

#include <gtest/gtest.h>
#include <Poco/Net/ServerSocket.h>
#include <thread>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

/** Accepts connections sequentially; on each it reads one request per scripted response, sends the response, then closes. */
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
    void serve(const Connection &responses)
    {
        Poco::Net::StreamSocket socket = m_listener.acceptConnection();
        ByteStream stream(socket);
        for (const auto &it : responses) {
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

tl::expected<HttpResponseMessage, Refusal> send(UpstreamClient &client, bool idempotent = true, Duration timeout = 10s)
{
    Cancellation cancellation;
    return client.send(Get, idempotent, std::chrono::steady_clock::now() + timeout, cancellation);
}

struct InvalidResponseCase {
    std::string name;
    std::string bytes;
};

class InvalidResponseTest : public testing::TestWithParam<InvalidResponseCase>
{
};

} // namespace

// Guards against forwarding a response that is incomplete, or whose end is unknown, as a success or as "not run".
TEST_P(InvalidResponseTest, HasUnknownOutcome)
{
    const ScriptedUpstream upstream({ { GetParam().bytes } });
    UpstreamClient client(upstream.address(), {});
    const auto response = send(client);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().reason, RefusalReason::UpstreamFailed);
    EXPECT_EQ(response.error().ran, RunState::Unknown);
}

INSTANTIATE_TEST_SUITE_P(
    Responses,
    InvalidResponseTest,
    testing::Values(InvalidResponseCase{ "Nothing", "" },
                    InvalidResponseCase{ "HalfHead", "HTTP/1.1 200 OK\r\nContent-Le" },
                    InvalidResponseCase{ "HalfBody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab" },
                    InvalidResponseCase{ "HalfChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab" },
                    InvalidResponseCase{ "NoLastChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n" },
                    InvalidResponseCase{ "NoLength", "HTTP/1.1 200 OK\r\n\r\nab" },
                    InvalidResponseCase{ "TwoLengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" },
                    InvalidResponseCase{ "BadStatus", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n" },
                    InvalidResponseCase{ "Status000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n" },
                    InvalidResponseCase{ "Status600", "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n" },
                    InvalidResponseCase{ "SwitchingProtocols",
                                         "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
                    InvalidResponseCase{ "NameWithBlank", "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 0\r\n\r\n" },
                    InvalidResponseCase{ "NameWithControlByte", "HTTP/1.1 200 OK\r\nX-\x01Note: 1\r\nContent-Length: 0\r\n\r\n" },
                    InvalidResponseCase{ "NotHttp", "hello\r\n\r\n" }),
    [](const auto &it) {
        return it.param.name;
    });

// Guards against reusing a connection that the upstream has closed, and against matching a response to the wrong request.
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

// Guards against sending a request that isn't idempotent on a reused connection, where it could fail without a response.
TEST(UpstreamClientTest, UsesNewConnectionForNonIdempotentRequest)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
    const ScriptedUpstream upstream({ { response }, { response } });
    UpstreamClient client(upstream.address(), {});
    EXPECT_TRUE(send(client));
    EXPECT_TRUE(send(client, false));
}

// Guards against reporting "unknown" for a request that cannot have run.
TEST(UpstreamClientTest, ReportsNotRunIfConnectionIsRefused)
{
    Poco::Net::SocketAddress closedPort;
    {
        const Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        closedPort = listener.address();
    }
    UpstreamClient client(closedPort, {});
    const auto response = send(client);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().ran, RunState::NotRun);
    const auto expired = send(client, true, -1s);
    EXPECT_EQ(expired.error(),
              (Refusal{ RefusalReason::DeadlineExceeded, RunState::NotRun, {}, "deadline passed before the request was sent" }));
}
