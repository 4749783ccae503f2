#include "messages/messages.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace Pimentohollow;

namespace
{

const MessageAuthenticator FleetSecret("fleet secret");

MemberUpdate member()
{
    return { NodeName("vie-1"), DataCentreName("vie"), { "127.0.0.1", 7000, 7001 }, MemberState::Suspected, 9, 4 };
}

UpstreamRecord upstream()
{
    return { NodeName("vie-1"), DataCentreName("vie"), ServiceName("catalogue"), UpstreamState::Draining, 3, 17, 160, 12, 1, 80, 100 };
}

std::vector<GossipMessage> samples()
{
    const VersionSummary versions{ 41, 2, 0xfeedfacecafebeefULL };
    const std::vector<GossipUpdate> updates{ member(), upstream(), WithdrawalUpdate{ "k1", "signed" }, FingerprintEntry{ "f", 2, "x" } };
    return { Ping{ 7, NodeName("vie-2"), versions, updates },
             Ack{ 7, NodeName("vie-2"), versions, {} },
             IndirectPing{ 7, NodeName("vie-2"), { "127.0.0.1", 1, 2 } },
             Exchange{ versions, updates },
             DataCentreDigest{ member(), versions, { { DataCentreName("vie"), 5 } }, true },
             TokenRequest{ 1, AccountName("florist"), 1'500'000, 9, true },
             TokenGrant{ 1, AccountName("florist"), 1'000'000, 9, 1'000'000, 2000, true, true },
             ShareRequest{ 1, 3 },
             ShareGrant{ 1, 77, { 1, 63 } } };
}

DatagramCodec codec(const std::string &name, std::uint64_t incarnation = 1)
{
    return { NodeName(name), incarnation, FleetSecret };
}

} // namespace

// Guards against a message type whose fields get lost or swapped on the way.
TEST(DatagramCodecTest, RoundTripsEveryMessage)
{
    auto sender = codec("vie-1", 5);
    auto receiver = codec("vie-2");
    for (const auto &it : samples()) {
        const auto datagram = sender.encode(it);
        ASSERT_TRUE(datagram);
        const auto decoded = receiver.decode(*datagram);
        ASSERT_TRUE(decoded) << decoded.error().describe();
        EXPECT_EQ(decoded->message, it);
        EXPECT_EQ(decoded->sender, NodeName("vie-1"));
        EXPECT_EQ(decoded->incarnation, 5U);
    }
}

// Guards against replays, and against dropping datagrams that were only reordered.
TEST(DatagramCodecTest, AcceptsEachDatagramOnce)
{
    auto sender = codec("a", 5);
    auto receiver = codec("b");
    const auto first = *sender.encode(Ack{});
    const auto second = *sender.encode(Ack{});
    EXPECT_TRUE(receiver.decode(second));
    EXPECT_TRUE(receiver.decode(first));
    EXPECT_EQ(receiver.decode(first).error().kind, ErrorKind::Conflict);
    EXPECT_EQ(receiver.decode(second).error().kind, ErrorKind::Conflict);
    EXPECT_TRUE(receiver.decode(*codec("a", 6).encode(Ack{})));
    EXPECT_EQ(receiver.decode(*sender.encode(Ack{})).error().kind, ErrorKind::Conflict) << "the earlier process is gone";
    EXPECT_EQ(receiver.counters().replayed, 3U);
}

// Guards against datagrams that the network would fragment.
TEST(DatagramCodecTest, RefusesOversizedMessages)
{
    auto sender = codec("a");
    Exchange message;
    EXPECT_LE(sender.encode(message)->size() + DatagramCodec::freeBytes(NodeName("a"), message), DatagramCodec::MaximumBytes);
    message.updates.emplace_back(WithdrawalUpdate{ "k", std::string(DatagramCodec::freeBytes(NodeName("a"), message) + 64, 'x') });
    EXPECT_FALSE(sender.encode(message));
    EXPECT_FALSE(codec("b").decode(std::string(DatagramCodec::MaximumBytes + 1, '\1')));
}

// Guards against crashes, unbounded allocation and acceptance of damaged or foreign datagrams. The damaged body is
// signed again, so that the parser itself is reached.
TEST(DatagramCodecTest, DamagedDatagramsGiveAnError)
{
    const bool passed = rc::check("a damaged body parses to a valid message or gives an error", [] {
        auto sender = codec("a");
        auto receiver = codec("b");
        const auto messages = samples();
        auto datagram = *sender.encode(messages[*rc::gen::inRange<std::size_t>(0, messages.size())]);
        datagram.resize(datagram.size() - MessageAuthenticator::TagBytes);
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(1, datagram.size()), rc::gen::arbitrary<char>()));
        for (const auto &[position, value] : changes) {
            datagram[position] = value;
        }
        datagram.resize(*rc::gen::inRange<std::size_t>(1, datagram.size() + 1));
        const auto tag = FleetSecret.tag(datagram);
        datagram.append(tag.begin(), tag.end());
        const auto decoded = receiver.decode(datagram);
        RC_ASSERT(receiver.counters().accepted + receiver.counters().malformed == 1U);
        RC_ASSERT(decoded || decoded.error().kind == ErrorKind::InvalidInput);
        datagram.back() = static_cast<char>(datagram.back() + 1);
        RC_ASSERT(receiver.decode(datagram).error().kind == ErrorKind::Unauthorized);
    });
    EXPECT_TRUE(passed);
}
