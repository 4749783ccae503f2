#include "runtime/gossip/gossiptask.h"
#include "core/systemclock.h"
#include "eventually.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

using namespace Pimentohollow;

namespace
{

class GossipTaskTest : public testing::Test
{
protected:
    std::unique_ptr<GossipTask> start(const std::string &name, const std::string &dataCentre, const std::string &secret = "fleet secret")
    {
        MembershipSettings settings;
        settings.node = NodeName(name);
        settings.dataCentre = DataCentreName(dataCentre);
        settings.address.host = "127.0.0.1";
        settings.incarnation = 1;
        if (m_firstPort != 0) {
            settings.seeds.push_back({ "127.0.0.1", m_firstPort });
        }
        auto task = std::make_unique<GossipTask>(settings, MessageAuthenticator(secret), m_clock, std::hash<std::string>()(name));
        const auto port = task->open("127.0.0.1:0");
        EXPECT_TRUE(port);
        if (m_firstPort == 0) {
            m_firstPort = *port;
        }
        task->start(1, nullptr);
        return task;
    }

    static bool knows(const GossipTask &task, const std::string &name)
    {
        return task.snapshot()->find(NodeName(name)) != nullptr;
    }

    SystemClock m_clock;
    std::uint16_t m_firstPort = 0;
};

} // namespace

// Guards against nodes that don't find each other through a seed, in one data centre and across two.
TEST_F(GossipTaskTest, NodesFindEachOtherAndNoticeAnEnd)
{
    const auto first = start("a", "dc1");
    auto second = start("b", "dc1");
    const auto third = start("c", "dc2");
    EXPECT_TRUE(eventually([&] {
        return knows(*first, "b") && knows(*first, "c") && knows(*third, "b");
    }));
    second->stop();
    EXPECT_TRUE(eventually([&] {
        return !knows(*first, "b") && !knows(*third, "b");
    }));
}

// Guards against a node that joins without the fleet secret.
TEST_F(GossipTaskTest, IgnoresStrangers)
{
    const auto first = start("a", "dc1");
    const auto stranger = start("x", "dc1", "another secret");
    EXPECT_TRUE(eventually([&] {
        return first->counters().unauthenticated > 0;
    }));
    EXPECT_FALSE(knows(*first, "x"));
    EXPECT_FALSE(knows(*stranger, "a"));
}

// Guards against a datagram of arbitrary bytes that stops the task.
TEST_F(GossipTaskTest, SurvivesMalformedDatagrams)
{
    const auto first = start("a", "dc1");
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress::IPv4);
    const Poco::Net::SocketAddress target("127.0.0.1", m_firstPort);
    for (const std::size_t n : { 1, 31, 32, 33, 1400, 1401, 9000 }) {
        const std::string garbage(n, '\xff');
        socket.sendTo(garbage.data(), static_cast<int>(n), target);
    }
    EXPECT_TRUE(eventually([&] {
        return first->counters().malformed + first->counters().unauthenticated >= 7;
    }));
    const auto second = start("b", "dc1");
    EXPECT_TRUE(eventually([&] {
        return knows(*first, "b");
    }));
}
