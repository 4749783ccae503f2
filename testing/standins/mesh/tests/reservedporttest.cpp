#include "standins/mesh/reservedport.h"

#include <gtest/gtest.h>
#include <map>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

namespace Pimentohollow::Testing
{

namespace
{

/** More than there are ports to reserve, so that each of them is tried, and tried again as another process would. */
constexpr int Tries = 20'000;

Poco::Net::SocketAddress address(const ReservedPort &port)
{
    return Poco::Net::SocketAddress(port.endpoint().text());
}

} // namespace

// Guards against tests that run at the same time and start listeners on each other's ports.
TEST(ReservedPortTest, IsGivenOnce)
{
    const ReservedPort held;
    ASSERT_NE(held.endpoint().port, 0);
    for (int n = 0; n < Tries; ++n) {
        ASSERT_NE(ReservedPort().endpoint().port, held.endpoint().port);
    }
}

// Guards against a listener of a node under test that can't bind its reserved port.
TEST(ReservedPortTest, BindsForTheProgramUnderTest)
{
    const ReservedPort port;
    EXPECT_NO_THROW(Poco::Net::ServerSocket{ address(port) });
    EXPECT_NO_THROW(Poco::Net::DatagramSocket{ address(port) });
}

// Guards against a gossip listener that doesn't start because a socket of another test has the port for UDP only.
TEST(ReservedPortTest, IsFreeForDatagrams)
{
    constexpr int Neighbours = 20;
    const ReservedPort first;
    std::map<int, Poco::Net::DatagramSocket> others;
    for (int n = 1; n <= Neighbours; ++n) {
        const int port = first.endpoint().port + n;
        try {
            others.emplace(port, Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
        } catch (const Poco::Net::NetException &) { // another process has it
        }
    }
    const ReservedPort second;
    EXPECT_FALSE(others.contains(second.endpoint().port));
    EXPECT_NO_THROW(Poco::Net::DatagramSocket{ address(second) });
}

// Guards against a connection that is given the port of a listener which hasn't started, or is being restarted.
TEST(ReservedPortTest, IsBelowTheRangeOfTheKernel)
{
    constexpr std::uint16_t FirstOfKernel = 32768;
    for (int n = 0; n < Tries; ++n) {
        ASSERT_LT(ReservedPort().endpoint().port, FirstOfKernel);
    }
}

} // namespace Pimentohollow::Testing
