#include "core/core.h"
#include "peer/peer.h"

#include <array>
#include <future>
#include <gtest/gtest.h>
#include <list>
#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <poll.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

/** Forwards connections to another port; existing connections can go silent while new ones work. */
class Relay
{
public:
    explicit Relay(int target)
        : m_target(target)
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_acceptor([this] {
            acceptLoop();
        })
    {
    }

    ~Relay()
    {
        m_stopping = true;
        m_acceptor.join();
        for (auto &it : m_pumps) {
            it.join();
        }
    }

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    std::string address() const
    {
        return m_listener.address().toString();
    }

    /** From now on the connections opened so far carry nothing, and aren't closed. */
    void silenceExisting()
    {
        m_silentBefore = m_generation.load();
    }

private:
    void acceptLoop()
    {
        while (!m_stopping) {
            if (!m_listener.poll({ 0, 10000 }, Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::StreamSocket inner = m_listener.acceptConnection();
            Poco::Net::StreamSocket outer(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(m_target)));
            const int generation = m_generation++;
            m_pumps.emplace_back([this, inner, outer, generation] {
                pump(inner, outer, generation);
            });
        }
    }

    void pump(Poco::Net::StreamSocket inner, Poco::Net::StreamSocket outer, int generation)
    {
        std::array<pollfd, 2> fds{ pollfd{ inner.impl()->sockfd(), POLLIN, 0 }, pollfd{ outer.impl()->sockfd(), POLLIN, 0 } };
        std::array<char, 4096> bytes{};
        while (!m_stopping) {
            ::poll(fds.data(), fds.size(), 5);
            for (std::size_t n = 0; n < fds.size() && generation >= m_silentBefore; ++n) {
                if (fds[n].revents == 0) {
                    continue;
                }
                auto &from = n == 0 ? inner : outer;
                auto &to = n == 0 ? outer : inner;
                try {
                    const int count = from.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
                    if (count <= 0) {
                        return;
                    }
                    to.sendBytes(bytes.data(), count);
                } catch (const Poco::Exception &) {
                    return;
                }
            }
        }
    }

    int m_target;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopping{ false };
    std::atomic<int> m_generation{ 0 };
    std::atomic<int> m_silentBefore{ 0 };
    std::list<std::thread> m_pumps;
    std::thread m_acceptor;
};

/** Counts runs and answers with the request's body; a call with the body "wait" ends only when released. */
class CountingHandler : public CallHandler
{
public:
    CallResponse handle(CallRequest request, TimePoint /*deadline*/, Cancellation & /*cancellation*/) override
    {
        ++runs;
        if (request.request.body == "wait") {
            released.get_future().wait();
        }
        return { 0, HttpResponseMessage{ 200, "OK", {}, request.request.body }, 0, std::nullopt };
    }

    std::atomic<int> runs{ 0 };
    std::promise<void> released;
};

class PeerPoolTest : public testing::Test
{
protected:
    PeerPoolTest()
    {
        PeerServerOptions serverOptions;
        serverOptions.address = "127.0.0.1:0";
        serverOptions.self = { NodeName("b"), 7, {} };
        server = std::move(*PeerServer::start(serverOptions, codec, handler, clock));
        relay = std::make_unique<Relay>(server->port());
        PeerPoolOptions options;
        options.self = { NodeName("a"), 1, {} };
        options.timings = { 20ms, 5 };
        pool = std::make_unique<PeerPool>(codec, options);
    }

    ~PeerPoolTest() override
    {
        pool.reset();
        server.reset();
    }

    CallResponse call(const std::string &body)
    {
        CallRequest request;
        request.attemptId = randomHex(16);
        request.remaining = 10s;
        request.request.body = body;
        return pool->call(relay->address(), request, clock.now() + 10s, cancellation);
    }

    static std::string bodyOf(const CallResponse &response)
    {
        const auto *answer = std::get_if<HttpResponseMessage>(&response.result);
        return answer == nullptr ? std::get<Refusal>(response.result).detail : answer->body;
    }

    SystemClock clock;
    FrameCodec codec{ "secret", 100000 };
    CountingHandler handler;
    Cancellation cancellation;
    std::unique_ptr<PeerServer> server;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<PeerPool> pool;
};

} // namespace

// Guards against an outcome that is lost, or a second run, when the connection goes silent while the call runs.
TEST_F(PeerPoolTest, AsksForTheOutcomeOverANewConnection)
{
    auto answer = std::async(std::launch::async, [this] {
        return call("wait");
    });
    while (handler.runs == 0) {
        std::this_thread::sleep_for(1ms);
    }
    relay->silenceExisting();
    std::this_thread::sleep_for(150ms);
    handler.released.set_value();
    EXPECT_EQ(bodyOf(answer.get()), "wait");
    EXPECT_EQ(handler.runs, 1);
}

// Guards against "unknown" for a call that a silent connection swallowed, and against its late run.
TEST_F(PeerPoolTest, SwallowedCallIsNotRun)
{
    EXPECT_EQ(bodyOf(call("1")), "1");
    EXPECT_EQ(bodyOf(call("2")), "2");
    relay->silenceExisting();
    const auto response = call("3");
    ASSERT_TRUE(std::holds_alternative<Refusal>(response.result));
    EXPECT_EQ(std::get<Refusal>(response.result).ran, RunState::NotRun);
    EXPECT_EQ(handler.runs, 2);
    EXPECT_EQ(bodyOf(call("4")), "4");
}

// Guards against a peer with another fleet secret that gets calls run.
TEST_F(PeerPoolTest, StrangersAreRefused)
{
    const FrameCodec otherCodec("other secret", 100000);
    PeerPoolOptions options;
    options.self = { NodeName("x"), 9, {} };
    PeerPool stranger(otherCodec, options);
    CallRequest request;
    request.attemptId = "x";
    request.remaining = 1s;
    const auto response = stranger.call("127.0.0.1:" + std::to_string(server->port()), request, clock.now() + 1s, cancellation);
    EXPECT_EQ(std::get<Refusal>(response.result).ran, RunState::NotRun);
    EXPECT_EQ(handler.runs, 0);
}
