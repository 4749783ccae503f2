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

/** The decision classes of one node and its status exchange. */
struct ExchangingNode {
    explicit ExchangingNode(TimePoint startedAt)
        : accounts(startedAt)
        , retryBudget({}, startedAt)
        , crashes(clock)
        , exchange(accounts, retryBudget, treeAdmission, crashes)
    {
        exchange.setFleet(1, 250ms);
        accounts.setLimit(Florists, Limit, startedAt);
        // As a node does ten times per second.
        retryBudget.refresh(Orders, startedAt);
    }

    std::size_t consumeAllTokens(TimePoint now)
    {
        std::size_t admitted = 0;
        while (!accounts.admit(Florists, Limit, now)) {
            ++admitted;
        }
        return admitted;
    }

    std::size_t useAllRetries(TimePoint now)
    {
        std::size_t granted = 0;
        while (!retryBudget.acquireRetry(Orders, 0, {}, now)) {
            ++granted;
        }
        return granted;
    }

    /** Sends the initial status of a connection. */
    void sendInitialStatus(const char *ownName, ExchangingNode &other, TimePoint now)
    {
        StatusFrame first;
        exchange.fillInitial(first, now);
        other.exchange.applyStatus(NodeName(ownName), first, now);
    }

    /** Creates a digest as sent by the relay of a data centre. */
    DigestFrame makeDigest(const char *relay, std::uint64_t sequence, TimePoint now)
    {
        DigestFrame frame;
        frame.dataCentre = DataCentreName("vienna");
        frame.relayAddress = relay;
        frame.incarnation = 1;
        frame.sequence = sequence;
        exchange.fillDigest(frame, now);
        return frame;
    }

    /** Sends a periodic status. */
    void sendPeriodicStatus(const char *ownName, ExchangingNode &other, TimePoint now)
    {
        StatusFrame regular;
        exchange.fillPeriodic(regular, now);
        other.exchange.applyStatus(NodeName(ownName), regular, now);
    }

    ManualClock clock;
    AccountRateLimiter accounts;
    ServiceRetryBudget retryBudget;
    CallTreeAdmission treeAdmission;
    CrashTracker crashes;
    StatusExchange exchange;
};

} // namespace

/** Guards against a restarted node that grants a burst, or retries, that the fleet used up before its start. */
TEST(StatusExchangeTest, RestartedNodeAppliesEarlierUsage)
{
    const TimePoint now{ 1h };
    ExchangingNode old(now - 1min);
    EXPECT_GE(old.consumeAllTokens(now), static_cast<std::size_t>(Limit.burst));
    EXPECT_GT(old.useAllRetries(now), 5U);

    ExchangingNode restarted(now);
    old.sendInitialStatus("old", restarted, now);
    EXPECT_LE(restarted.consumeAllTokens(now), 1U);
    EXPECT_LE(restarted.useAllRetries(now), 1U);
}

/** Guards against counts from before a node's start that are charged as new usage: accounts would be refused for seconds. */
TEST(StatusExchangeTest, CountsFromBeforeTheStartAreNotChargedAgain)
{
    const TimePoint now{ 1h };
    ExchangingNode old(now - 1min);
    old.consumeAllTokens(now - 30s);

    ExchangingNode restarted(now);
    old.sendInitialStatus("old", restarted, now);
    EXPECT_GE(restarted.accounts.available(Florists, Limit, now), Limit.burst * 0.9);
}

/** Guards against a joining node that consumes tokens from the buckets of all others (seen on jtk-wien quiet-1: 67 more refusals). */
TEST(StatusExchangeTest, JoiningNodeConsumesNoTokensOfOthers)
{
    const TimePoint now{ 1h };
    ExchangingNode one(now - 1min);
    ExchangingNode other(now - 1min);
    one.consumeAllTokens(now - 30s);

    ExchangingNode joining(now);
    one.sendInitialStatus("one", joining, now);
    other.sendInitialStatus("other", joining, now);
    joining.sendInitialStatus("joining", one, now);
    EXPECT_GE(one.accounts.available(Florists, Limit, now), Limit.burst * 0.9);
}

/** Guards against a node that grants a burst that others used before the account's first request at this node. */
TEST(StatusExchangeTest, PeriodicStatusReportsUsageSinceTheInitialOne)
{
    const TimePoint now{ 1h };
    ExchangingNode one(now - 1min);
    ExchangingNode other(now - 1min);
    one.sendInitialStatus("one", other, now);
    one.consumeAllTokens(now);
    StatusFrame regular;
    one.exchange.fillPeriodic(regular, now);
    other.exchange.applyStatus(NodeName("one"), regular, now);
    EXPECT_LT(other.accounts.available(Florists, Limit, now), Limit.burst * 0.1);
}

/** Guards against name indices that a node can't resolve, or resolves to the names of an earlier process of the sender. */
TEST(StatusExchangeTest, NamesAreResolvedPerSenderProcess)
{
    const TimePoint now{ 1h };
    const NodeName sender("sender");
    const AccountName others("others");
    ExchangingNode receiver(now - 1min);
    receiver.accounts.setLimit(others, Limit, now);
    ExchangingNode earlier(now - 1min);
    earlier.consumeAllTokens(now);
    StatusFrame frame;
    earlier.exchange.fillPeriodic(frame, now);
    EXPECT_EQ(frame.names.size(), 1U);
    receiver.exchange.applyStatus(sender, frame, now);
    StatusFrame second;
    earlier.exchange.fillPeriodic(second, now);
    EXPECT_TRUE(second.names.empty());
    EXPECT_EQ(second.accountDemand.size(), 1U);

    // The sender restarts and assigns its name indices in another order.
    ExchangingNode later(now);
    later.accounts.setLimit(others, Limit, now);
    while (!later.accounts.admit(others, Limit, now)) {
    }
    StatusFrame regular;
    later.exchange.fillPeriodic(regular, now);
    ASSERT_EQ(regular.accountDemand.size(), 1U);
    StatusFrame first;
    later.exchange.fillInitial(first, now);
    const double before = receiver.accounts.available(others, Limit, now);
    receiver.exchange.applyStatus(sender, first, now);
    EXPECT_LT(receiver.accounts.available(others, Limit, now), before);

    StatusFrame unknown;
    unknown.accountDemand.push_back({ 77, 1000, 50, 0, 0 });
    receiver.exchange.applyStatus(sender, unknown, now);
}

/** Guards against usage in one data centre that isn't reported to the others, which receive it only in digests. */
TEST(StatusExchangeTest, DigestReportsUsageOfADataCentre)
{
    const TimePoint now{ 1h };
    ExchangingNode relay(now - 1min);
    ExchangingNode member(now - 1min);
    ExchangingNode elsewhere(now - 1min);
    member.sendInitialStatus("member", relay, now);
    EXPECT_TRUE(elsewhere.exchange.applyDigest(relay.makeDigest("relay", 1, now), now));
    EXPECT_GE(elsewhere.accounts.available(Florists, Limit, now), Limit.burst * 0.9);

    member.consumeAllTokens(now);
    member.useAllRetries(now);
    member.sendPeriodicStatus("member", relay, now);
    const auto digest = relay.makeDigest("relay", 2, now);
    EXPECT_EQ(digest.nodeCount, 2U);
    EXPECT_TRUE(elsewhere.exchange.applyDigest(digest, now));
    EXPECT_LT(elsewhere.accounts.available(Florists, Limit, now), Limit.burst * 0.1);
    EXPECT_LE(elsewhere.useAllRetries(now), 1U);
}

/** Guards against digests applied twice or out of order, and against applying the sums of two nodes that both act as the relay. */
TEST(StatusExchangeTest, AppliesDigestsOfOneRelayPerDataCentre)
{
    const TimePoint now{ 1h };
    ExchangingNode relay(now - 1min);
    ExchangingNode second(now - 1min);
    ExchangingNode elsewhere(now - 1min);
    const auto old = relay.makeDigest("relay", 1, now);
    EXPECT_TRUE(elsewhere.exchange.applyDigest(relay.makeDigest("relay", 2, now), now));
    EXPECT_FALSE(elsewhere.exchange.applyDigest(old, now)) << "older than the last one";
    EXPECT_FALSE(elsewhere.exchange.applyDigest(second.makeDigest("second", 7, now), now)) << "digests of the first relay still arrive";
    EXPECT_TRUE(elsewhere.exchange.applyDigest(second.makeDigest("second", 8, now + 2s), now + 2s)) << "the first relay has timed out";
}

/** Guards against usage that is charged again when another node becomes the relay: accounts would be refused for seconds. */
TEST(StatusExchangeTest, RelayChangeDoesNotChargeUsageAgain)
{
    const TimePoint now{ 1h };
    ExchangingNode relay(now - 1min);
    ExchangingNode second(now - 1min);
    ExchangingNode elsewhere(now - 1min);
    relay.consumeAllTokens(now - 30s);
    relay.sendInitialStatus("relay", second, now - 30s);
    EXPECT_TRUE(elsewhere.exchange.applyDigest(relay.makeDigest("relay", 1, now - 20s), now - 20s));
    EXPECT_TRUE(elsewhere.exchange.applyDigest(second.makeDigest("second", 1, now), now));
    EXPECT_GE(elsewhere.accounts.available(Florists, Limit, now), Limit.burst * 0.9);
}

struct FleetCase {
    const char *name;
    std::size_t peers;
};

class StatusIntervalTest : public ::testing::TestWithParam<FleetCase>
{
};

/** Guards against status intervals so long in large fleets that nodes time out and reconnect between two statuses. */
TEST_P(StatusIntervalTest, OneLateStatusDoesNotCloseConnections)
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
