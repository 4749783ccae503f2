#include "runtime/quota/quotatask.h"
#include "core/systemclock.h"
#include "eventually.h"
#include "storage/memory/memorytableservice.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;

namespace
{

constexpr auto Patience = std::chrono::seconds(60);
constexpr double Rate = 50;
constexpr double Burst = 200;
const AccountName Account("a");

/** The quota part of one node of a data centre. */
class TestNode : public GossipObserver
{
public:
    TestNode(const std::string &name, TableService &table, const Clock &clock, const std::optional<GossipEndpoint> &seed)
        : m_gossip(membership(name, seed), MessageAuthenticator("fleet secret"), clock, 1)
        , quota(shares(name), { table, m_gossip, clock }, std::hash<std::string>()(name))
    {
        gossipPort = *m_gossip.open("127.0.0.1:0");
        FleetConfiguration fleet;
        fleet.accounts[Account] = { Account, Rate, Burst };
        fleet.dataCentres[DataCentreName("dc")] = { DataCentreName("dc"), {} };
        quota.onConfiguration(FleetView(1, fleet));
        quota.start();
        m_gossip.start(1, this);
    }

    ~TestNode() override
    {
        m_gossip.stop();
        quota.stop();
    }
    TestNode(const TestNode &) = delete;
    TestNode &operator=(const TestNode &) = delete;

    /** As the node does when it shuts down: the others no longer count on it. */
    void drain()
    {
        m_gossip.post([](Membership &membership) {
            membership.drain();
        });
        quota.drain();
    }

    void onGossipEvent(const MembershipEvent &event) override
    {
        quota.onGossipEvent(event);
    }

    void onGossipRound(const std::shared_ptr<const FleetSnapshot> &snapshot) override
    {
        quota.onGossipRound(*snapshot);
    }

private:
    static MembershipSettings membership(const std::string &name, const std::optional<GossipEndpoint> &seed)
    {
        MembershipSettings result;
        result.node = NodeName(name);
        result.dataCentre = DataCentreName("dc");
        result.address.host = "127.0.0.1";
        result.incarnation = 1;
        if (seed) {
            result.seeds.push_back(*seed);
        }
        return result;
    }

    static ShareSettings shares(const std::string &name)
    {
        ShareSettings result;
        result.node = NodeName(name);
        result.dataCentre = DataCentreName("dc");
        result.address = { "127.0.0.1", static_cast<std::uint16_t>(name.front()), 1 };
        result.incarnation = 1;
        return result;
    }

    GossipTask m_gossip;

public:
    QuotaTask quota;
    std::uint16_t gossipPort = 0;
};

} // namespace

// Guards against nodes that together admit more than the account's rate and burst, or leave its shares idle.
TEST(QuotaTaskTest, TwoNodesShareOneRate)
{
    const SystemClock clock;
    MemoryTableService table;
    const TimePoint start = clock.now();
    TestNode first("a", table, clock, std::nullopt);
    TestNode second("b", table, clock, GossipEndpoint{ "127.0.0.1", first.gossipPort });
    ASSERT_TRUE(eventually([&] {
        return first.quota.activeShares() + second.quota.activeShares() == SharesPerDataCentre && first.quota.activeShares() > 0
            && second.quota.activeShares() > 0;
    }));
    double admitted = 0;
    // All requests come to one node, which therefore needs the tokens of the other.
    for (int n = 0; n < 400; ++n) {
        admitted += first.quota.take(Account) ? 0 : 1;
    }
    for (int n = 0; n < 400; ++n) {
        admitted += second.quota.take(Account) ? 0 : 1;
    }
    const double seconds = std::chrono::duration<double>(clock.now() - start).count();
    EXPECT_LE(admitted, Rate * seconds + Burst);
    EXPECT_GT(admitted, 0);
}

// Guards against a refusal that doesn't say when to come back, or an unknown account that runs.
TEST(QuotaTaskTest, RefusesUnknownAccounts)
{
    const SystemClock clock;
    MemoryTableService table;
    TestNode node("a", table, clock, std::nullopt);
    const auto refusal = node.quota.take(AccountName("unknown"));
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, RefusalReason::RateExceeded);
    EXPECT_EQ(refusal->ran, RunState::NotRun);
    EXPECT_GT(refusal->retryAfter, Duration::zero());
}

// Guards against a drained node that keeps shares, which nobody could use until the lease ends.
TEST(QuotaTaskTest, DrainingGivesAllSharesToTheOther)
{
    const SystemClock clock;
    MemoryTableService table;
    TestNode first("a", table, clock, std::nullopt);
    ASSERT_TRUE(eventually([&] {
        return first.quota.activeShares() == SharesPerDataCentre;
    }));
    first.drain();
    EXPECT_TRUE(first.quota.waitUntilDrained(clock.now() + Patience));
    EXPECT_EQ(first.quota.activeShares(), 0U);
    TestNode second("b", table, clock, GossipEndpoint{ "127.0.0.1", first.gossipPort });
    EXPECT_TRUE(eventually([&] {
        return second.quota.activeShares() == SharesPerDataCentre;
    }));
}
