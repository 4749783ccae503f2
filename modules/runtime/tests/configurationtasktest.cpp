#include "runtime/configuration/configurationtask.h"
#include "core/systemclock.h"
#include "eventually.h"
#include "storage/memory/memoryobjectstore.h"
#include "storage/memory/memorytableservice.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;

namespace
{

constexpr const char *Pepper = "pepper";

class RefuseAll : public CallHandler
{
public:
    CallResponse handle(CallRequest request, TimePoint /*deadline*/, Cancellation & /*cancellation*/) override
    {
        return { request.callId, Refusal{}, 0, std::nullopt };
    }
};

class EventForwarder : public GossipObserver
{
public:
    explicit EventForwarder(ConfigurationTask &task)
        : m_task(task)
    {
    }

    void onGossipEvent(const MembershipEvent &event) override
    {
        m_task.onGossipEvent(event);
    }

    void onGossipRound(const std::shared_ptr<const FleetSnapshot> & /*snapshot*/) override
    {
    }

private:
    ConfigurationTask &m_task;
};

/** The shared-state part of one node; its platform is unavailable while @ref faults say so. */
class TestNode
{
public:
    TestNode(
        const std::string &name, TableService &table, ObjectStore &objects, const Clock &clock, const std::optional<GossipEndpoint> &seed)
        : m_store(table, objects)
        , m_codec("fleet secret", std::size_t{ 4 } * 1024 * 1024)
        , m_peers(m_codec, options(name))
        , m_gossip(settings(name, seed), MessageAuthenticator("fleet secret"), clock, std::hash<std::string>()(name))
        , m_task(NodeName(name), DataCentreName("dc"), { m_store, tracker, keys, m_gossip, m_peers, clock }, {})
        , m_forwarder(m_task)
    {
        gossipPort = *m_gossip.open("127.0.0.1:0");
        PeerServerOptions server;
        server.address = "127.0.0.1:0";
        server.self = options(name).self;
        server.changes = &m_task;
        m_server = std::move(*PeerServer::start(server, m_codec, m_handler, clock));
        m_gossip.start(static_cast<std::uint16_t>(m_server->port()), &m_forwarder);
        m_task.start();
    }

    ~TestNode()
    {
        m_task.stop();
        m_gossip.stop();
    }
    TestNode(const TestNode &) = delete;
    TestNode &operator=(const TestNode &) = delete;

    ConfigurationTask &task()
    {
        return m_task;
    }

    ConfigurationTracker tracker;
    KeyTable keys{ Pepper };
    std::uint16_t gossipPort = 0;

private:
    static PeerPoolOptions options(const std::string &name)
    {
        PeerPoolOptions result;
        result.self.node = NodeName(name);
        result.self.incarnation = 1;
        return result;
    }

    static MembershipSettings settings(const std::string &name, const std::optional<GossipEndpoint> &seed)
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

    ConfigurationStore m_store;
    FrameCodec m_codec;
    PeerPool m_peers;
    GossipTask m_gossip;
    ConfigurationTask m_task;
    EventForwarder m_forwarder;
    RefuseAll m_handler;
    std::unique_ptr<PeerServer> m_server;
};

class ConfigurationTaskTest : public testing::Test
{
protected:
    /** Applies an account as version @p version; the first one gets a key. */
    void applyVersion(std::uint64_t version)
    {
        auto base = *m_store.load();
        FleetChange change;
        change.version = version;
        change.changeId = "change-" + std::to_string(version);
        change.author = "test";
        change.reason = "test";
        const AccountName account("account-" + std::to_string(version));
        change.upserts.emplace_back(AccountEntity{ account, 10, 10 });
        if (version == 1) {
            change.upserts.emplace_back(
                KeyEntity{ KeyId("key-" + std::to_string(version)), account, digestText(keyDigest(Pepper, ClientKeyText)), {}, {} });
        }
        const auto outcome = m_store.apply(base, change);
        ASSERT_TRUE(outcome) << outcome.error().describe();
        ASSERT_TRUE(outcome->applied);
    }

    static constexpr const char *ClientKeyText = "ph_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";

    SystemClock m_clock;
    MemoryTableService m_table;
    MemoryObjectStore m_objects;
    ConfigurationStore m_store{ m_table, m_objects };
    /** The platform as a node sees it that is cut off from it. */
    std::shared_ptr<FaultInjector> m_outage = std::make_shared<FaultInjector>();
    MemoryTableService m_unavailableTable{ m_outage };
    MemoryObjectStore m_unavailableObjects{ m_outage };
};

} // namespace

// Guards against a node without platform that stays at an old version although a peer has a newer one.
TEST_F(ConfigurationTaskTest, NodeWithoutPlatformFollowsItsPeer)
{
    m_outage->setAll(PlatformFault::Unavailable);
    applyVersion(1);
    TestNode first("a", m_table, m_objects, m_clock, std::nullopt);
    TestNode second("b", m_unavailableTable, m_unavailableObjects, m_clock, GossipEndpoint{ "127.0.0.1", first.gossipPort });
    EXPECT_TRUE(eventually([&] {
        return second.tracker.version() == 1;
    }));
    applyVersion(2);
    EXPECT_TRUE(eventually([&] {
        return second.tracker.version() == 2;
    }));
    EXPECT_EQ(second.keys.check(ClientKeyText).status, KeyStatus::Valid);
    EXPECT_FALSE(second.task().platformReachable());
}

// Guards against a withdrawal accepted during an outage that stays local or is never recorded on the platform.
TEST_F(ConfigurationTaskTest, WithdrawalIsSpreadAndRecorded)
{
    m_outage->setAll(PlatformFault::Unavailable);
    applyVersion(1);
    TestNode first("a", m_table, m_objects, m_clock, std::nullopt);
    TestNode second("b", m_unavailableTable, m_unavailableObjects, m_clock, GossipEndpoint{ "127.0.0.1", first.gossipPort });
    ASSERT_TRUE(eventually([&] {
        return first.tracker.version() == 1 && second.tracker.version() == 1;
    }));
    const Withdrawal withdrawal{ KeyId("key-1"), "operator", "lost laptop", 1'800'000'000 };
    ASSERT_TRUE(second.task().acceptWithdrawal(signWithdrawal(Pepper, withdrawal)));
    EXPECT_EQ(second.keys.check(ClientKeyText).status, KeyStatus::Withdrawn);
    EXPECT_TRUE(eventually([&] {
        return first.keys.check(ClientKeyText).status == KeyStatus::Withdrawn && m_store.head()->version == 2;
    }));
    EXPECT_EQ(m_store.load()->fleet.keys.at(KeyId("key-1")).withdrawalReason, "lost laptop");
}

// Guards against a withdrawal by somebody without the pepper.
TEST_F(ConfigurationTaskTest, RefusesUnsignedWithdrawal)
{
    applyVersion(1);
    TestNode node("a", m_table, m_objects, m_clock, std::nullopt);
    const auto result = node.task().acceptWithdrawal(signWithdrawal("another pepper", { KeyId("key-1"), "x", "y", 0 }));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::Unauthorized);
    EXPECT_FALSE(node.keys.isWithdrawn(KeyId("key-1")));
}
