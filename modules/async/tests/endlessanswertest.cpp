#include "async/async.h"
#include "core/systemclock.h"

#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <string>
#include <thread>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

/** Bytes sent once, and bytes repeated until the connection is closed. */
struct EndlessAnswerCase {
    const char *name;
    const char *beginning;
    std::string repeated;
};

class EndlessAnswerTest : public ::testing::TestWithParam<EndlessAnswerCase>
{
};

/** Sends from its own thread, as fast as the other side reads. */
class EndlessServer
{
public:
    explicit EndlessServer(const EndlessAnswerCase &shape)
        : m_shape(shape)
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] {
            serve();
        })
    {
    }

    ~EndlessServer()
    {
        m_thread.join();
    }

    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    IpEndpoint endpoint() const
    {
        return { "127.0.0.1", m_socket.address().port() };
    }

private:
    void serve()
    {
        constexpr std::size_t BlockBytes = std::size_t{ 256 } * 1024;
        std::string block;
        while (block.size() < BlockBytes) {
            block += m_shape.repeated;
        }
        try {
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            const std::string beginning = m_shape.beginning;
            connection.sendBytes(beginning.data(), static_cast<int>(beginning.size()));
            while (true) {
                std::size_t sent = 0;
                while (sent < block.size()) {
                    sent += static_cast<std::size_t>(connection.sendBytes(block.data() + sent, static_cast<int>(block.size() - sent)));
                }
            }
        } catch (const Poco::Exception &) {
            return; // the reader has closed the connection
        }
    }

    const EndlessAnswerCase &m_shape;
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

} // namespace

/**
 * Guards against an answer without end that holds the loop: the reader would go on after its deadline, and all other requests of the node
 * would wait.
 */
TEST_P(EndlessAnswerTest, EndsAtTheDeadlineAndLetsOthersRun)
{
    constexpr std::size_t MaximumBodyBytes = std::size_t{ 64 } * 1024 * 1024;
    constexpr Duration AnswerTime = 300ms;
    // The users count an answer as late from half a second on.
    constexpr Duration MaximumLateness = 500ms;
    constexpr Duration TickInterval = 1ms;
    SystemClock clock;
    EventLoop loop(clock);
    EndlessServer server(GetParam());
    bool ended = false;
    Duration longestStall{};
    loop.spawn([&] {
        TimePoint before = clock.now();
        while (!ended) {
            loop.sleepFor(TickInterval);
            const TimePoint now = clock.now();
            longestStall = std::max<Duration>(longestStall, now - before);
            before = now;
        }
        loop.stop();
    });
    loop.spawn([&] {
        const TimePoint start = clock.now();
        auto socket = AsyncSocket::connect(loop, server.endpoint(), start + 1s);
        ASSERT_TRUE(socket);
        HttpConnection connection(std::move(*socket));
        const auto answer = connection.readResponse(false, MaximumBodyBytes, true, start + AnswerTime);
        EXPECT_FALSE(answer);
        EXPECT_LT(clock.now() - start, AnswerTime + MaximumLateness);
        ended = true;
    });
    loop.run();
    EXPECT_LT(longestStall, MaximumLateness);
}

INSTANTIATE_TEST_SUITE_P(Shapes,
                         EndlessAnswerTest,
                         ::testing::Values(EndlessAnswerCase{ "Body", "HTTP/1.1 200 OK\r\n\r\n", std::string(1024, 'b') },
                                           EndlessAnswerCase{
                                               "SmallChunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n" },
                                           EndlessAnswerCase{ "ChunkExtensions",
                                                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                                              "1;" + std::string(240, 'e') + "\r\nb\r\n" }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

} // namespace Pimentohollow
