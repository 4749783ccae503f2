#include "mesh/node/statusexchange.h"
#include "core/manualclock.h"
#include "mesh/links/meshlink.h"

#include <gtest/gtest.h>
#include <string>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

const AccountName Florists("florists");
const ServiceName Orders("orders");
constexpr AccountLimit Limit{ 10, 100 };

/** The decisions of one node, and what connects them with other nodes. */
struct ExchangingNode {
    explicit ExchangingNode(TimePoint startedAt)
        : accounts(startedAt)
        , repeats({}, startedAt)
        , crashes(clock)
        , exchange(accounts, repeats, trees, crashes)
    {
        exchange.setFleet(1, 250ms);
        accounts.setLimit(Florists, Limit, startedAt);
    }

    std::size_t spendAll(TimePoint now)
    {
        std::size_t admitted = 0;
        while (!accounts.admit(Florists, Limit, now)) {
            ++admitted;
        }
        return admitted;
    }

    std::size_t repeatAll(TimePoint now)
    {
        std::size_t granted = 0;
        while (repeats.tryRepeat(Orders, 0, {}, now)) {
            ++granted;
        }
        return granted;
    }

    /** Sends the first status of a connection. */
    void tellFirst(const char *ownName, ExchangingNode &other, TimePoint now)
    {
        StatusFrame first;
        exchange.fillFirst(first, now);
        other.exchange.take(NodeName(ownName), first, now);
    }

    /** A digest as the relay of a data centre sends it. */
    DigestFrame digest(const char *relay, std::uint64_t sequence, TimePoint now)
    {
        DigestFrame frame;
        frame.dataCentre = DataCentreName("vienna");
        frame.relay = relay;
        frame.incarnation = 1;
        frame.sequence = sequence;
        exchange.fillDigest(frame, now);
        return frame;
    }

    /** Sends a regular status. */
    void tell(const char *ownName, ExchangingNode &other, TimePoint now)
    {
        StatusFrame regular;
        exchange.fillRegular(regular, now);
        other.exchange.take(NodeName(ownName), regular, now);
    }

    ManualClock clock;
    AccountAllowance accounts;
    RepeatBudget repeats;
    TreeAdmission trees;
    CrashTracker crashes;
    StatusExchange exchange;
};

} // namespace

/** Guards against a restarted node that grants a burst, or repeats, that the fleet has spent before its start. */
TEST(StatusExchangeTest, RestartedNodeLearnsWhatWasSpent)
{
    const TimePoint now{ 1h };
    ExchangingNode old(now - 1min);
    EXPECT_GE(old.spendAll(now), static_cast<std::size_t>(Limit.burst));
    EXPECT_GT(old.repeatAll(now), 5U);

    ExchangingNode restarted(now);
    old.tellFirst("old", restarted, now);
    EXPECT_LE(restarted.spendAll(now), 1U);
    EXPECT_LE(restarted.repeatAll(now), 1U);
}

/** Guards against counts from before a node's start that are taken for new spending: accounts would be refused for seconds. */
TEST(StatusExchangeTest, CountsFromBeforeTheStartAreNotChargedAgain)
{
    const TimePoint now{ 1h };
    ExchangingNode old(now - 1min);
    old.spendAll(now - 30s);

    ExchangingNode restarted(now);
    old.tellFirst("old", restarted, now);
    EXPECT_GE(restarted.accounts.available(Florists, Limit, now), Limit.burst * 0.9);
}

/** Guards against a node that joins and takes tokens out of the buckets of all others (seen on jtk-wien quiet-1: 67 more refusals). */
TEST(StatusExchangeTest, JoiningNodeLeavesTheBucketsOfOthersAlone)
{
    const TimePoint now{ 1h };
    ExchangingNode one(now - 1min);
    ExchangingNode other(now - 1min);
    one.spendAll(now - 30s);

    ExchangingNode joining(now);
    one.tellFirst("one", joining, now);
    other.tellFirst("other", joining, now);
    joining.tellFirst("joining", one, now);
    EXPECT_GE(one.accounts.available(Florists, Limit, now), Limit.burst * 0.9);
}

/** Guards against a node that grants a burst which others took before its own first request of the account. */
TEST(StatusExchangeTest, RegularFrameTellsSpendingSinceTheFirst)
{
    const TimePoint now{ 1h };
    ExchangingNode one(now - 1min);
    ExchangingNode other(now - 1min);
    one.tellFirst("one", other, now);
    one.spendAll(now);
    StatusFrame regular;
    one.exchange.fillRegular(regular, now);
    other.exchange.take(NodeName("one"), regular, now);
    EXPECT_LT(other.accounts.available(Florists, Limit, now), Limit.burst * 0.1);
}

/** Guards against numbers that a node can't resolve, or resolves to the names of an earlier process of the sender. */
TEST(StatusExchangeTest, NamesAreTakenFromTheProcessThatSends)
{
    const TimePoint now{ 1h };
    const NodeName sender("sender");
    const AccountName others("others");
    ExchangingNode receiver(now - 1min);
    receiver.accounts.setLimit(others, Limit, now);
    ExchangingNode earlier(now - 1min);
    earlier.spendAll(now);
    StatusFrame frame;
    earlier.exchange.fillRegular(frame, now);
    EXPECT_EQ(frame.names.size(), 1U);
    receiver.exchange.take(sender, frame, now);
    StatusFrame second;
    earlier.exchange.fillRegular(second, now);
    EXPECT_TRUE(second.names.empty());
    EXPECT_EQ(second.demand.size(), 1U);

    // The sender starts anew, and numbers its names in another order.
    ExchangingNode later(now);
    later.accounts.setLimit(others, Limit, now);
    while (!later.accounts.admit(others, Limit, now)) {
    }
    StatusFrame regular;
    later.exchange.fillRegular(regular, now);
    ASSERT_EQ(regular.demand.size(), 1U);
    StatusFrame first;
    later.exchange.fillFirst(first, now);
    const double before = receiver.accounts.available(others, Limit, now);
    receiver.exchange.take(sender, first, now);
    EXPECT_LT(receiver.accounts.available(others, Limit, now), before);

    StatusFrame unknown;
    unknown.demand.push_back({ 77, 1000, 50, 0, 0 });
    receiver.exchange.take(sender, unknown, now);
}

/** Guards against spending in one data centre that the others don't learn of, although no node tells them directly. */
TEST(StatusExchangeTest, DigestTellsWhatADataCentreSpent)
{
    const TimePoint now{ 1h };
    ExchangingNode relay(now - 1min);
    ExchangingNode member(now - 1min);
    ExchangingNode elsewhere(now - 1min);
    member.tellFirst("member", relay, now);
    EXPECT_TRUE(elsewhere.exchange.takeDigest(relay.digest("relay", 1, now), now));
    EXPECT_GE(elsewhere.accounts.available(Florists, Limit, now), Limit.burst * 0.9);

    member.spendAll(now);
    member.repeatAll(now);
    member.tell("member", relay, now);
    const auto digest = relay.digest("relay", 2, now);
    EXPECT_EQ(digest.nodes, 2U);
    EXPECT_TRUE(elsewhere.exchange.takeDigest(digest, now));
    EXPECT_LT(elsewhere.accounts.available(Florists, Limit, now), Limit.burst * 0.1);
    EXPECT_LE(elsewhere.repeatAll(now), 1U);
}

/** Guards against digests that are taken twice or in the wrong order, and against the sums of two nodes that both take themselves for the
 * relay. */
TEST(StatusExchangeTest, OneRelayOfADataCentreIsHeard)
{
    const TimePoint now{ 1h };
    ExchangingNode relay(now - 1min);
    ExchangingNode second(now - 1min);
    ExchangingNode elsewhere(now - 1min);
    const auto old = relay.digest("relay", 1, now);
    EXPECT_TRUE(elsewhere.exchange.takeDigest(relay.digest("relay", 2, now), now));
    EXPECT_FALSE(elsewhere.exchange.takeDigest(old, now)) << "older than the last one";
    EXPECT_FALSE(elsewhere.exchange.takeDigest(second.digest("second", 7, now), now)) << "the first relay is heard";
    EXPECT_TRUE(elsewhere.exchange.takeDigest(second.digest("second", 8, now + 2s), now + 2s)) << "the first relay is silent";
}

/** Guards against spending that is charged again when another node becomes the relay: accounts would be refused for seconds. */
TEST(StatusExchangeTest, ChangeOfTheRelayChargesNothingAgain)
{
    const TimePoint now{ 1h };
    ExchangingNode relay(now - 1min);
    ExchangingNode second(now - 1min);
    ExchangingNode elsewhere(now - 1min);
    relay.spendAll(now - 30s);
    relay.tellFirst("relay", second, now - 30s);
    EXPECT_TRUE(elsewhere.exchange.takeDigest(relay.digest("relay", 1, now - 20s), now - 20s));
    EXPECT_TRUE(elsewhere.exchange.takeDigest(second.digest("second", 1, now), now));
    EXPECT_GE(elsewhere.accounts.available(Florists, Limit, now), Limit.burst * 0.9);
}

struct FleetCase {
    const char *name;
    std::size_t peers;
};

class StatusIntervalTest : public ::testing::TestWithParam<FleetCase>
{
};

/** Guards against fleets so large that nodes take each other for dead between two statuses, and dial again all the time. */
TEST_P(StatusIntervalTest, ConnectionsSurviveOneLateStatus)
{
    EXPECT_LT(StatusExchange::intervalFor(GetParam().peers) * 2, MeshLink::SilenceTimeout);
    EXPECT_GE(StatusExchange::intervalFor(GetParam().peers), 250ms);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         StatusIntervalTest,
                         ::testing::Values(FleetCase{ "Single", 0 },
                                           FleetCase{ "Small", 15 },
                                           FleetCase{ "Grown", 85 },
                                           FleetCase{ "Large", 299 },
                                           FleetCase{ "VeryLarge", 999 }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

} // namespace Pimentohollow
