#include "mesh/links/meshlink.h"
#include "async/net/asynclistener.h"
#include "core/systemclock.h"

#include <gtest/gtest.h>
#include <vector>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

const DataCentreName Vienna("vienna");
constexpr Duration UsualSilence = 750ms;

/** Another node that accepts connections and keeps them, and answers pings or not. */
class QuietPeer
{
public:
    explicit QuietPeer(EventLoop &loop)
        : m_listener(loop, [this](std::unique_ptr<AsyncSocket> socket) {
            auto connection = std::make_shared<MeshConnection>(std::move(socket), m_held, MeshConnection::Handlers{});
            m_connections.push_back(connection);
        })
    {
        EXPECT_TRUE(m_listener.listen({ "127.0.0.1", 0 }));
    }

    DirectoryEntry entry(const DataCentreName &dataCentre) const
    {
        return { NodeName("peer"), dataCentre, ServiceName("orders"), { "127.0.0.1", m_listener.port() }, 1, "" };
    }

    BufferBudget &held()
    {
        return m_held;
    }

private:
    BufferBudget m_held{ std::size_t{ 1024 } * 1024 };
    AsyncListener m_listener;
    std::vector<std::shared_ptr<MeshConnection>> m_connections;
};

/** Accepts connections and never reads from them. */
class StuckPeer
{
public:
    explicit StuckPeer(EventLoop &loop)
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

/** Guards against a connection that is given up as soon as it blocks, since it had nothing to send before, and against one that never is.
 */
TEST(MeshConnectionTest, PeerThatTakesNothingIsGivenUpAfterAWhile)
{
    constexpr std::size_t Megabyte = std::size_t{ 1024 } * 1024;
    SystemClock clock;
    EventLoop loop(clock);
    StuckPeer peer(loop);
    BufferBudget held(64 * Megabyte);
    bool lost = false;
    loop.spawn([&] {
        auto socket = AsyncSocket::connect(loop, peer.address(), clock.now() + 1s);
        ASSERT_TRUE(socket);
        const auto connection = std::make_shared<MeshConnection>(std::move(*socket),
                                                                 held,
                                                                 MeshConnection::Handlers{ [](MeshFrame &&) {},
                                                                                           [&] {
                                                                                               lost = true;
                                                                                           } });
        connection->start();
        loop.sleepFor(2500ms);
        RunFrame large;
        large.request.body.assign(20 * Megabyte, 'x');
        connection->send(large);
        loop.sleepFor(100ms);
        connection->send(PingFrame{});
        loop.sleepFor(100ms);
        EXPECT_FALSE(lost) << "blocked for a moment only";
        EXPECT_GT(held.reservedBytes(), Megabyte);
        loop.sleepFor(2500ms);
        connection->send(PingFrame{});
        loop.sleepFor(100ms);
        EXPECT_TRUE(lost);
        loop.stop();
    });
    loop.run();
}

/**
 * Guards against calls that go on over a connection to another data centre that has fallen silent: no status shows it there. The link is
 * avoided as soon as it leaves a question unanswered, and the calls on it end without a claim that they haven't run.
 */
TEST(MeshLinkTest, SilentLinkToAnotherDataCentreIsNoticedByItsCalls)
{
    SystemClock clock;
    EventLoop loop(clock);
    QuietPeer peer(loop);
    const MeshLink::Handlers handlers{ [](MeshLink &, MeshFrame &&) {},
                                       [](MeshLink &) {},
                                       [] {
                                           return HelloFrame{};
                                       } };
    const auto link = std::make_shared<MeshLink>(loop, peer.held(), peer.entry(DataCentreName("graz")), Vienna, handlers);
    std::optional<RunOutcome> outcome;
    loop.spawn([&] {
        link->start();
        loop.sleepFor(500ms);
        EXPECT_TRUE(link->isReachable(loop.now(), UsualSilence));
        link->vouch({});
        (void)link->call(RunFrame{}, [&](RunReply &&reply) {
            outcome = reply.outcome;
        });
        loop.sleepFor(500ms);
        link->checkLiveness(loop.now());
        EXPECT_TRUE(link->isReachable(loop.now(), UsualSilence)) << "it may still answer";
        loop.sleepFor(500ms);
        EXPECT_FALSE(link->isReachable(loop.now(), UsualSilence));
        EXPECT_FALSE(outcome);
        loop.sleepFor(1500ms);
        link->checkLiveness(loop.now());
        EXPECT_EQ(outcome, RunOutcome::Broken);
        link->stop();
        loop.stop();
    });
    loop.run();
}

/** Guards against links of a data centre that is cut off: they count as alive only while its digests list their nodes. */
TEST(MeshLinkTest, LinkToAnotherDataCentreIsAliveWhileDigestsListIt)
{
    SystemClock clock;
    EventLoop loop(clock);
    QuietPeer peer(loop);
    const MeshLink::Handlers handlers{ [](MeshLink &, MeshFrame &&) {},
                                       [](MeshLink &) {},
                                       [] {
                                           return HelloFrame{};
                                       } };
    const auto far = std::make_shared<MeshLink>(loop, peer.held(), peer.entry(DataCentreName("graz")), Vienna, handlers);
    const auto near = std::make_shared<MeshLink>(loop, peer.held(), peer.entry(Vienna), Vienna, handlers);
    loop.spawn([&] {
        far->start();
        near->start();
        loop.sleepFor(1500ms);
        LoadReport load;
        load.slots = 7;
        far->vouch(load);
        EXPECT_EQ(far->load().slots, 7U);
        loop.sleepFor(1s);
        EXPECT_TRUE(far->isReachable(loop.now(), UsualSilence));
        EXPECT_FALSE(near->isReachable(loop.now(), UsualSilence)) << "a node of the own data centre sends statuses itself";
        loop.sleepFor(1500ms);
        EXPECT_FALSE(far->isReachable(loop.now(), UsualSilence));
        far->stop();
        near->stop();
        loop.stop();
    });
    loop.run();
}

} // namespace Pimentohollow
