#include "mesh/links/meshlink.h"
#include "async/net/asynclistener.h"
#include "core/systemclock.h"

#include <array>
#include <gtest/gtest.h>
#include <vector>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

const DataCentreName Vienna("vienna");
constexpr Duration MaximumSilence = 750ms;

/** A peer that accepts connections and keeps them open, but never reads or sends. */
class QuietPeer
{
public:
    explicit QuietPeer(EventLoop &loop)
        : m_listener(loop, [this](std::unique_ptr<AsyncSocket> socket) {
            auto connection = std::make_shared<MeshConnection>(std::move(socket), m_bufferBudget, MeshConnection::Handlers{});
            m_connections.push_back(connection);
        })
    {
        EXPECT_TRUE(m_listener.listen({ "127.0.0.1", 0 }));
    }

    DirectoryEntry entry(const DataCentreName &dataCentre) const
    {
        return { NodeName("peer"), dataCentre, ServiceName("orders"), { "127.0.0.1", m_listener.port() }, 1, {} };
    }

    BufferBudget &bufferBudget()
    {
        return m_bufferBudget;
    }

private:
    BufferBudget m_bufferBudget{ std::size_t{ 1024 } * 1024 };
    AsyncListener m_listener;
    std::vector<std::shared_ptr<MeshConnection>> m_connections;
};

/** Accepts connections and never reads from them. */
class StalledPeer
{
public:
    explicit StalledPeer(EventLoop &loop)
        : m_listener(loop, [this](std::unique_ptr<AsyncSocket> socket) {
            m_sockets.push_back(std::move(socket));
        })
    {
        EXPECT_TRUE(m_listener.listen({ "127.0.0.1", 0 }));
    }

    IpEndpoint address() const
    {
        return { "127.0.0.1", m_listener.port() };
    }

private:
    AsyncListener m_listener;
    std::vector<std::unique_ptr<AsyncSocket>> m_sockets;
};

} // namespace

/**
 * Guards against a connection that is closed as soon as a write blocks, because its last write was long ago, and against one that is never
 * closed.
 */
TEST(MeshConnectionTest, ClosesConnectionWhenPeerStopsReading)
{
    constexpr std::size_t Megabyte = std::size_t{ 1024 } * 1024;
    SystemClock clock;
    EventLoop loop(clock);
    StalledPeer peer(loop);
    BufferBudget bufferBudget(64 * Megabyte);
    bool disconnected = false;
    loop.spawn([&] {
        auto socket = AsyncSocket::connect(loop, peer.address(), clock.now() + 1s);
        ASSERT_TRUE(socket);
        const auto connection = std::make_shared<MeshConnection>(std::move(*socket),
                                                                 bufferBudget,
                                                                 MeshConnection::Handlers{ [](MeshFrame &&) {},
                                                                                           [&] {
                                                                                               disconnected = true;
                                                                                           } });
        connection->start();
        loop.sleepFor(2500ms);
        RunFrame largeFrame;
        largeFrame.request.body.assign(20 * Megabyte, 'x');
        connection->send(largeFrame);
        loop.sleepFor(100ms);
        connection->send(PingFrame{});
        loop.sleepFor(100ms);
        EXPECT_FALSE(disconnected) << "a briefly blocked connection stays open";
        EXPECT_GT(bufferBudget.reservedBytes(), Megabyte);
        loop.sleepFor(2500ms);
        connection->send(PingFrame{});
        loop.sleepFor(100ms);
        EXPECT_TRUE(disconnected);
        loop.stop();
    });
    loop.run();
}

/**
 * Guards against calls that continue on a silent connection to another data centre, where no missing status reveals the failure. The link
 * is avoided once it leaves a probe unanswered, and its pending calls fail with an outcome that doesn't exclude that they ran.
 */
TEST(MeshLinkTest, CallDetectsSilentLinkToAnotherDataCentre)
{
    SystemClock clock;
    EventLoop loop(clock);
    QuietPeer peer(loop);
    const MeshLink::Handlers handlers{ [](MeshLink &, MeshFrame &&) {},
                                       [](MeshLink &) {},
                                       [] {
                                           return HelloFrame{};
                                       } };
    const auto link = std::make_shared<MeshLink>(loop, peer.bufferBudget(), peer.entry(DataCentreName("graz")), Vienna, handlers);
    std::optional<RunOutcome> outcome;
    loop.spawn([&] {
        link->start();
        loop.sleepFor(500ms);
        EXPECT_TRUE(link->isReachable(loop.now(), MaximumSilence));
        link->confirmAlive({});
        (void)link->call(RunFrame{}, [&](RunReply &&reply) {
            outcome = reply.outcome;
        });
        loop.sleepFor(500ms);
        link->checkLiveness(loop.now());
        EXPECT_TRUE(link->isReachable(loop.now(), MaximumSilence)) << "the probe may still be answered";
        loop.sleepFor(500ms);
        EXPECT_FALSE(link->isReachable(loop.now(), MaximumSilence));
        EXPECT_FALSE(outcome);
        loop.sleepFor(1500ms);
        link->checkLiveness(loop.now());
        EXPECT_EQ(outcome, RunOutcome::Broken);
        link->stop();
        loop.stop();
    });
    loop.run();
}

/** Guards against using links to a data centre that is cut off: they are reachable only while its digests list their nodes. */
TEST(MeshLinkTest, RemoteLinkIsReachableWhileDigestsConfirmIt)
{
    SystemClock clock;
    EventLoop loop(clock);
    QuietPeer peer(loop);
    const MeshLink::Handlers handlers{ [](MeshLink &, MeshFrame &&) {},
                                       [](MeshLink &) {},
                                       [] {
                                           return HelloFrame{};
                                       } };
    const auto remote = std::make_shared<MeshLink>(loop, peer.bufferBudget(), peer.entry(DataCentreName("graz")), Vienna, handlers);
    const auto local = std::make_shared<MeshLink>(loop, peer.bufferBudget(), peer.entry(Vienna), Vienna, handlers);
    loop.spawn([&] {
        remote->start();
        local->start();
        loop.sleepFor(1500ms);
        LoadReport load;
        load.slots = 7;
        remote->confirmAlive(load);
        EXPECT_EQ(remote->load().slots, 7U);
        loop.sleepFor(1s);
        EXPECT_TRUE(remote->isReachable(loop.now(), MaximumSilence));
        EXPECT_FALSE(local->isReachable(loop.now(), MaximumSilence)) << "a peer in the same data centre must send its own statuses";
        loop.sleepFor(1500ms);
        EXPECT_FALSE(remote->isReachable(loop.now(), MaximumSilence));
        remote->stop();
        local->stop();
        loop.stop();
    });
    loop.run();
}

/** Guards against a departure that a node reads from the store and keeps from its peer, which was restarted and can't read the store. */
TEST(MeshLinkTest, PeerIsToldOfStoredDepartures)
{
    SystemClock clock;
    EventLoop loop(clock);
    BufferBudget bufferBudget(std::size_t{ 1024 } * 1024);
    std::vector<UpstreamNotice> received;
    std::shared_ptr<MeshConnection> connection;
    AsyncListener peer(loop, [&](std::unique_ptr<AsyncSocket> accepted) {
        connection = std::make_shared<MeshConnection>(
            std::move(accepted),
            bufferBudget,
            MeshConnection::Handlers{ [&](MeshFrame &&frame) {
                                         if (const auto *hello = std::get_if<HelloFrame>(&frame)) {
                                             received.push_back(hello->receiverUpstream);
                                         } else if (const auto *notice = std::get_if<UpstreamNoticeFrame>(&frame)) {
                                             received.push_back(notice->notice);
                                         }
                                     },
                                      [] {} });
        connection->start();
    });
    ASSERT_TRUE(peer.listen({ "127.0.0.1", 0 }));
    const DirectoryEntry entry{ NodeName("peer"), Vienna, ServiceName("orders"), { "127.0.0.1", peer.port() }, 1, {} };
    const MeshLink::Handlers handlers{ [](MeshLink &, MeshFrame &&) {},
                                       [](MeshLink &) {},
                                       [] {
                                           return HelloFrame{};
                                       } };
    UpstreamDepartures first;
    first.add("i-1", 1000);
    UpstreamDepartures second;
    second.add("i-2", 2000);
    const auto link = std::make_shared<MeshLink>(loop, bufferBudget, entry, Vienna, handlers);
    loop.spawn([&] {
        const auto awaitNotices = [&](std::size_t count) {
            const TimePoint deadline = clock.now() + 5s;
            while (received.size() < count && clock.now() < deadline) {
                loop.sleepFor(1ms);
            }
            return received.size();
        };
        link->keepStoredDepartures(first);
        link->start();
        EXPECT_EQ(awaitNotices(1), 1U);
        link->keepStoredDepartures(first);
        link->keepStoredDepartures(second);
        EXPECT_EQ(awaitNotices(2), 2U);
        link->stop();
        connection->close();
        while (loop.fibers() > 1) {
            loop.sleepFor(1ms);
        }
        loop.stop();
    });
    loop.run();
    ASSERT_EQ(received.size(), 2U);
    EXPECT_TRUE(received[0].departuresComplete && received[1].departuresComplete);
    EXPECT_EQ(received[0].departures, first) << "in the first frame of the connection";
    EXPECT_TRUE(received[1].departures.includes(second)) << "on the open connection";
}

/** Guards against a reply of which a part is taken as the whole when the link fails within its frame, and against a call without an end. */
TEST(MeshLinkTest, CutReplyIsNoAnswer)
{
    SystemClock clock;
    EventLoop loop(clock);
    BufferBudget bufferBudget(std::size_t{ 1024 } * 1024);
    RunReplyFrame reply;
    reply.callId = 1;
    reply.result.outcome = RunOutcome::Answered;
    reply.result.response.status = 200;
    reply.result.response.headers = { { "X-Request-Id", "a" } };
    reply.result.response.body = "the whole body";
    std::string bytes;
    appendFrame(bytes, reply);
    std::size_t sentBytes = 0;
    bool resets = false;
    AsyncListener peer(loop, [&](std::unique_ptr<AsyncSocket> accepted) {
        loop.spawn([&, socket = std::shared_ptr<AsyncSocket>(std::move(accepted))] {
            std::array<char, 4096> received{};
            std::string frames;
            bool called = false;
            while (!called) {
                const auto count = socket->read(received, clock.now() + 5s);
                if (!count) {
                    return;
                }
                frames.append(received.data(), *count);
                std::string_view rest(frames);
                for (auto frame = extractFrame(rest); frame && *frame; frame = extractFrame(rest)) {
                    called = called || std::holds_alternative<RunFrame>(**frame);
                }
            }
            (void)socket->writeAll(std::string_view(bytes).substr(0, sentBytes), clock.now() + 5s);
            if (resets) {
                loop.sleepFor(1ms);
                socket->reset();
            } else {
                socket->close();
            }
        });
    });
    ASSERT_TRUE(peer.listen({ "127.0.0.1", 0 }));
    const DirectoryEntry entry{ NodeName("peer"), Vienna, ServiceName("orders"), { "127.0.0.1", peer.port() }, 1, {} };
    const MeshLink::Handlers handlers{ [](MeshLink &, MeshFrame &&) {},
                                       [](MeshLink &) {},
                                       [] {
                                           return HelloFrame{};
                                       } };
    loop.spawn([&] {
        for (resets = false; true; resets = true) {
            for (sentBytes = 0; sentBytes <= bytes.size(); ++sentBytes) {
                const auto link = std::make_shared<MeshLink>(loop, bufferBudget, entry, Vienna, handlers);
                std::vector<RunReply> replies;
                link->start();
                while (link->disconnectedSince()) {
                    loop.sleepFor(1ms);
                }
                (void)link->call(RunFrame{}, [&](RunReply &&it) {
                    replies.push_back(std::move(it));
                });
                const TimePoint deadline = clock.now() + 5s;
                while (replies.empty() && clock.now() < deadline) {
                    loop.sleepFor(1ms);
                }
                link->stop();
                ASSERT_EQ(replies.size(), 1U) << sentBytes << " of " << bytes.size() << " bytes";
                const bool whole = sentBytes == bytes.size();
                EXPECT_EQ(replies[0].outcome, whole ? RunOutcome::Answered : RunOutcome::Broken) << sentBytes << " bytes";
                EXPECT_EQ(replies[0].response.body, whole ? reply.result.response.body : "");
            }
            if (resets) {
                break;
            }
        }
        // A fiber that is suspended when its loop ends is never unwound, which the leak check of ASan reports.
        while (loop.fibers() > 1) {
            loop.sleepFor(1ms);
        }
        loop.stop();
    });
    loop.run();
}

} // namespace Pimentohollow
