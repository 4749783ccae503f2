#include "peer/peer.h"

#include <future>
#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

enum class Fault {
    None,
    Lose, ///< drop the frame
    Repeat, ///< deliver it twice
    Swap, ///< deliver it after the next one
    Fail, ///< report an error to the sender
};

/** One direction of a fake channel; applies a fault to the frame with a given number. */
class FakePipe
{
public:
    Result<void> send(const std::string &frame)
    {
        const std::lock_guard lock(m_mutex);
        const Fault fault = m_sent++ == m_faultyFrame ? m_fault : Fault::None;
        const std::string content = frame.substr(FrameCodec::LengthBytes);
        if (m_silent || fault == Fault::Lose) {
            return {};
        }
        if (fault == Fault::Fail) {
            return failure(ErrorKind::Unavailable, "fake.send", "told to fail");
        }
        if (fault == Fault::Swap) {
            m_held = content;
            return {};
        }
        m_frames.post(content);
        if (fault == Fault::Repeat) {
            m_frames.post(content);
        }
        if (!m_held.empty()) {
            m_frames.post(std::exchange(m_held, {}));
        }
        return {};
    }

    Result<std::string> receive(TimePoint deadline)
    {
        if (auto frame = m_frames.take(deadline)) {
            return *frame;
        }
        const auto kind = m_frames.closed() ? ErrorKind::Closed : ErrorKind::Timeout;
        return failure(kind, "fake.receive", "no frame");
    }

    void close()
    {
        m_frames.close();
    }

    void setFault(int frame, Fault fault)
    {
        const std::lock_guard lock(m_mutex);
        m_faultyFrame = frame;
        m_fault = fault;
    }

    void setSilent()
    {
        const std::lock_guard lock(m_mutex);
        m_silent = true;
    }

private:
    Mailbox<std::string> m_frames{ 1000 };
    std::mutex m_mutex;
    int m_sent = 0;
    int m_faultyFrame = -1;
    Fault m_fault = Fault::None;
    bool m_silent = false;
    std::string m_held;
};

struct FakeConnection {
    FakePipe toServer;
    FakePipe toClient;
};

class FakeChannel : public FrameChannel
{
public:
    FakeChannel(std::shared_ptr<FakeConnection> connection, bool client)
        : m_connection(std::move(connection))
        , m_out(client ? m_connection->toServer : m_connection->toClient)
        , m_in(client ? m_connection->toClient : m_connection->toServer)
    {
    }

    Result<void> send(const std::string &frame) override
    {
        return m_out.send(frame);
    }

    Result<std::string> receive(TimePoint deadline) override
    {
        return m_in.receive(deadline);
    }

    void close() override
    {
        m_out.close();
        m_in.close();
    }

    std::string peer() const override
    {
        return "fake";
    }

private:
    std::shared_ptr<FakeConnection> m_connection;
    FakePipe &m_out;
    FakePipe &m_in;
};

CallRequest callWithBody(const std::string &body)
{
    CallRequest request;
    request.request.body = body;
    return request;
}

CallResponse echo(const CallRequest &request)
{
    return { request.callId, HttpResponseMessage{ 200, "OK", {}, request.request.body }, 0, std::nullopt };
}

/** A PeerLink whose other end is played by the test. */
class PeerLinkTest : public testing::Test
{
protected:
    PeerLinkTest()
    {
        auto accepted = std::async(std::launch::async, [this] {
            return MessageChannel::accept(std::make_unique<FakeChannel>(connection, false), codec, { NodeName("b"), 2, {} }, soon());
        });
        auto opened = MessageChannel::connect(std::make_unique<FakeChannel>(connection, true), codec, { NodeName("a"), 1, {} }, soon());
        server = std::move(*accepted.get());
        link = std::make_unique<PeerLink>(std::move(*opened), LinkTimings{ 20ms, 5 });
    }

    static TimePoint soon()
    {
        return std::chrono::steady_clock::now() + 10s;
    }

    using Reply = tl::expected<CallResponse, CallFailure>;

    std::future<Reply> startCall(const std::string &body, Duration limit = 10s)
    {
        return std::async(std::launch::async, [this, body, limit] {
            return link->call(callWithBody(body), std::chrono::steady_clock::now() + limit, cancellation);
        });
    }

    /** The next message of type @p Message at the server; heartbeats are answered meanwhile. */
    template <typename Message>
    std::optional<Message> next()
    {
        while (auto message = server->receive(soon())) {
            if (auto *wanted = std::get_if<Message>(&*message)) {
                return *wanted;
            }
            if (auto *heartbeat = std::get_if<Heartbeat>(&*message)) {
                server->send(*heartbeat);
            }
        }
        return std::nullopt;
    }

    static std::string bodyOf(const Reply &reply)
    {
        return reply ? std::get<HttpResponseMessage>(reply->result).body : "no answer";
    }

    std::shared_ptr<FakeConnection> connection = std::make_shared<FakeConnection>();
    FrameCodec codec{ "secret", 10000 };
    Cancellation cancellation;
    std::unique_ptr<MessageChannel> server;
    std::unique_ptr<PeerLink> link;
};

} // namespace

// Guards against answers that reach the wrong caller when they come out of order.
TEST_F(PeerLinkTest, AnswersFindTheirCallers)
{
    auto first = startCall("1");
    const auto firstCall = next<CallRequest>();
    auto second = startCall("2");
    const auto secondCall = next<CallRequest>();
    server->send(echo(*secondCall));
    server->send(echo(*firstCall));
    EXPECT_EQ(bodyOf(first.get()), "1");
    EXPECT_EQ(bodyOf(second.get()), "2");
}

// Guards against a late answer that is taken for the answer to another call.
TEST_F(PeerLinkTest, LateAnswerIsDropped)
{
    auto late = startCall("late", 1ms);
    const auto lateCall = next<CallRequest>();
    EXPECT_EQ(late.get().error(), CallFailure::TimedOut);
    EXPECT_EQ(next<CancelCall>()->callId, lateCall->callId);
    server->send(echo(*lateCall));
    server->send(echo(*lateCall));
    auto other = startCall("other");
    server->send(echo(*next<CallRequest>()));
    EXPECT_EQ(bodyOf(other.get()), "other");
    EXPECT_EQ(link->droppedAnswers(), 2U);
}

// Guards against work that goes on at the serving node after the caller has left.
TEST_F(PeerLinkTest, CancellationIsPassedOn)
{
    auto call = startCall("x");
    const auto request = next<CallRequest>();
    cancellation.cancel();
    EXPECT_EQ(call.get().error(), CallFailure::Cancelled);
    EXPECT_EQ(next<CancelCall>()->callId, request->callId);
}

// Guards against new calls on a link whose other side is leaving, and against losing the ones in progress.
TEST_F(PeerLinkTest, GoAwayLetsRunningCallsFinish)
{
    auto call = startCall("x");
    const auto request = next<CallRequest>();
    server->send(GoAway{});
    server->send(echo(*request));
    EXPECT_EQ(bodyOf(call.get()), "x");
    EXPECT_FALSE(link->usable());
}

// Guards against a call that hangs until its deadline on a connection that went silent.
TEST_F(PeerLinkTest, SilenceInterruptsCalls)
{
    auto call = startCall("x", 1h);
    ASSERT_TRUE(next<CallRequest>());
    connection->toClient.setSilent();
    EXPECT_EQ(call.get().error(), CallFailure::Interrupted);
    EXPECT_FALSE(link->usable());
    EXPECT_EQ(link->call(callWithBody("y"), soon(), cancellation).error(), CallFailure::NotSent);
}

// Guards against "unknown" for a call that the serving node can't have received.
TEST_F(PeerLinkTest, FailedSendIsNotSent)
{
    for (int n = 0; n < 100; ++n) {
        connection->toServer.setFault(n, Fault::Fail);
        if (auto reply = link->call(callWithBody("x"), std::chrono::steady_clock::now() + 5ms, cancellation);
            reply.error() == CallFailure::NotSent) {
            SUCCEED();
            return;
        }
    }
    FAIL() << "no send failed";
}

struct ChannelFaultCase {
    Fault fault;
    bool towardsServer;
};

class PeerLinkFaultTest : public PeerLinkTest, public testing::WithParamInterface<ChannelFaultCase>
{
};

// Guards against wrong answers when the channel loses, repeats or swaps frames: a call gets its own answer or none.
TEST_P(PeerLinkFaultTest, NeverGivesAWrongAnswer)
{
    auto &pipe = GetParam().towardsServer ? connection->toServer : connection->toClient;
    pipe.setFault(3, GetParam().fault);
    auto serverLoop = std::async(std::launch::async, [this] {
        int runs = 0;
        while (auto request = next<CallRequest>()) {
            ++runs;
            server->send(echo(*request));
        }
        return runs;
    });
    constexpr int Calls = 10;
    for (int n = 0; n < Calls; ++n) {
        const std::string body = std::to_string(n);
        const auto reply = link->call(callWithBody(body), std::chrono::steady_clock::now() + 200ms, cancellation);
        if (reply) {
            EXPECT_EQ(bodyOf(reply), body);
        }
    }
    link.reset();
    EXPECT_LE(serverLoop.get(), Calls);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         PeerLinkFaultTest,
                         testing::Values(ChannelFaultCase{ Fault::Lose, true },
                                         ChannelFaultCase{ Fault::Lose, false },
                                         ChannelFaultCase{ Fault::Repeat, true },
                                         ChannelFaultCase{ Fault::Repeat, false },
                                         ChannelFaultCase{ Fault::Swap, true },
                                         ChannelFaultCase{ Fault::Swap, false }));
