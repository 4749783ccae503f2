#include "keys/keys.h"
#include "support/platformfleet.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

using namespace Pimentohollow;
using namespace Pimentohollow::Testing;

namespace
{

/** Entry node A without an upstream; serving nodes B and C with one each. */
class FaultTest : public testing::Test
{
protected:
    FaultTest()
    {
        entry.node = fleet.startNode("a");
        first = startSite("b");
        second = startSite("c");
        // Both upstreams have served a lookup, so the entry node knows both.
        EXPECT_TRUE(eventually([this] {
            entry.caller().get("/echo", withKey({ { "X-Test-Id", "setup" } }));
            return first.control("runs?id=setup") != "0" && second.control("runs?id=setup") != "0";
        }));
    }

    TestSite startSite(const std::string &name)
    {
        TestSite site;
        site.node = fleet.startNode(name);
        site.upstream = TestFleet::startUpstream(*site.node, "echo");
        return site;
    }

    HttpHeaders withKey(HttpHeaders more = {}) const
    {
        more.push_back({ "Authorization", "Bearer " + fleet.key() });
        return more;
    }

    int lookup() const
    {
        return entry.caller().get("/echo", withKey()).status;
    }

    HttpResponseMessage order(const std::string &id, HttpHeaders more = {}) const
    {
        more.push_back({ "Idempotency-Key", id });
        return entry.caller().post("/orders", "order " + id, withKey(std::move(more)));
    }

    int runs(const std::string &id) const
    {
        return std::stoi(first.control("runs?id=" + id)) + std::stoi(second.control("runs?id=" + id));
    }

    /** The site whose upstream is running a request; the first one if none is. */
    TestSite &busySite()
    {
        eventually([this] {
            return isBusy(first) || isBusy(second);
        });
        return isBusy(second) ? second : first;
    }

    static bool isBusy(const TestSite &site)
    {
        return site.control("summary").find(R"("running":1)") != std::string::npos;
    }

    /** Sends a slow order and calls @p fault with the site that runs it, while it runs. */
    HttpResponseMessage slowOrder(const std::string &id, const std::function<void(TestSite &)> &fault)
    {
        std::thread other([&] {
            fault(busySite());
        });
        auto answer = order(id, { { "X-Service-Us", "1000000" } });
        other.join();
        return answer;
    }

    void setPlatform(const StandinBehaviour &behaviour)
    {
        fleet.platform().setBehaviour(behaviour);
    }

    PlatformFleet fleet;
    TestSite entry;
    TestSite first;
    TestSite second;
};

bool says(const HttpResponseMessage &answer, std::string_view field)
{
    return answer.body.find(field) != std::string::npos;
}

constexpr std::string_view NotRun = R"("ran":"no")";
constexpr std::string_view Unknown = R"("ran":"unknown")";

} // namespace

// Guards against a second run of an order whose serving node was killed while it ran, and against a false "not run".
TEST_F(FaultTest, OrderIsNotRepeatedAfterItsNodeWasKilled)
{
    const auto answer = slowOrder("killed", [](TestSite &site) {
        site.node->signal(SIGKILL);
    });
    EXPECT_EQ(answer.status, 503) << answer.body;
    EXPECT_TRUE(says(answer, Unknown)) << answer.body;
    EXPECT_TRUE(eventually([this] {
        return lookup() == 200;
    }));
    for (int n = 0; n < 3; ++n) {
        const auto resend = order("killed");
        EXPECT_NE(resend.status, 200) << resend.body;
        EXPECT_FALSE(says(resend, NotRun)) << resend.body;
    }
    EXPECT_EQ(runs("killed"), 1);
}

// Guards against a paused serving node that delays refusals beyond the deadline or runs an order twice when it resumes.
TEST_F(FaultTest, PausedNodeRunsNothingTwice)
{
    constexpr int Orders = 12;
    first.node->signal(SIGSTOP);
    std::vector<std::string> unfinished;
    for (int n = 0; n < Orders; ++n) {
        const std::string id = fmt::format("paused-{}", n);
        if (order(id).status != 200) {
            unfinished.push_back(id);
        }
    }
    EXPECT_TRUE(eventually([this] {
        return lookup() == 200;
    }));
    first.node->signal(SIGCONT);
    for (const auto &it : unfinished) {
        EXPECT_TRUE(eventually([this, &it] {
            const auto resend = order(it);
            return resend.status == 200 || says(resend, Unknown);
        }));
    }
    for (int n = 0; n < Orders; ++n) {
        EXPECT_LE(runs(fmt::format("paused-{}", n)), 1) << n;
    }
}

// Guards against a claim that is taken for somebody else's, or made twice, when the answers to writes are lost.
TEST_F(FaultTest, OrdersRunOnceWhenAnswersOfThePlatformAreLost)
{
    constexpr int Orders = 10;
    StandinBehaviour behaviour;
    behaviour.loseAnswers = 5;
    setPlatform(behaviour);
    for (int n = 0; n < Orders; ++n) {
        const std::string id = fmt::format("lost-{}", n);
        EXPECT_TRUE(eventually([this, &id] {
            return order(id).status == 200;
        })) << id;
        EXPECT_EQ(runs(id), 1) << id;
    }
}

// Guards against lookups lost, or orders run without a claim, when the platform and a serving node fail together.
TEST_F(FaultTest, ServesWithoutPlatformAndWithOneNodeLess)
{
    StandinBehaviour outage;
    outage.outage = StandinOutage::Down;
    setPlatform(outage);
    first.node->signal(SIGKILL);
    EXPECT_TRUE(eventually([this] {
        return lookup() == 200 && lookup() == 200 && lookup() == 200;
    }));
    const auto refused = order("outage");
    EXPECT_EQ(refused.status, 503) << refused.body;
    EXPECT_TRUE(says(refused, NotRun)) << refused.body;
    EXPECT_EQ(runs("outage"), 0);
    setPlatform({});
    EXPECT_TRUE(eventually([this] {
        return order("outage").status == 200;
    }));
    EXPECT_EQ(runs("outage"), 1);
}

// Guards against requests interrupted, lost or run twice while a serving node is replaced under load.
TEST_F(FaultTest, DrainUnderLoadInterruptsNothing)
{
    constexpr int Callers = 8;
    constexpr int OrdersEach = 15;
    std::atomic<int> answered{ 0 };
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([this, caller, &answered] {
            for (int n = 0; n < OrdersEach; ++n) {
                const auto answer = order(fmt::format("drain-{}-{}", caller, n), { { "X-Service-Us", "20000" } });
                answered += answer.status == 200 ? 1 : 0;
                EXPECT_EQ(answer.status, 200) << answer.body;
            }
        });
    }
    first.node->signal(SIGTERM);
    EXPECT_EQ(first.node->wait(std::chrono::seconds(60)), 0);
    for (auto &it : callers) {
        it.join();
    }
    EXPECT_EQ(answered, Callers * OrdersEach);
    for (int caller = 0; caller < Callers; ++caller) {
        for (int n = 0; n < OrdersEach; ++n) {
            EXPECT_EQ(runs(fmt::format("drain-{}-{}", caller, n)), 1);
        }
    }
}

// Guards against a key that still works after its withdrawal was handed to a node while the platform was away.
TEST_F(FaultTest, WithdrawalThroughANodeReachesConnectedCallers)
{
    StandinBehaviour outage;
    outage.outage = StandinOutage::Close;
    setPlatform(outage);
    auto connected = entry.caller();
    EXPECT_EQ(connected.get("/echo", withKey()).status, 200);
    const Withdrawal withdrawal{ KeyId("k1"), "operator", "lost laptop", 1'800'000'000 };
    const auto body = writeWithdrawal(signWithdrawal("test pepper 0123456789", withdrawal));
    TestClient admin(second.node->port("admin"));
    EXPECT_EQ(admin.post("/v1/withdrawals", body, { { "Authorization", "Bearer wrong" } }).status, 401);
    EXPECT_EQ(admin.post("/v1/withdrawals", body, { { "Authorization", "Bearer test operator token 0123456789" } }).status, 202);
    EXPECT_TRUE(eventually([&] {
        return connected.get("/echo", withKey()).status == 401;
    }));
}

// Guards against a request that crashes the upstreams of one node after the other because each counts crashes alone.
TEST_F(FaultTest, PoisonRequestIsKnownToOtherNodes)
{
    // Gossip tells all nodes of a crash within this time; until then each counts its own crashes only.
    constexpr auto SpreadTime = std::chrono::seconds(2);
    const std::string poison = "a lookup with the poison-marker in it";
    // Each upstream crashes once, so no node has seen two crashes itself.
    for (TestSite *site : { &first, &second }) {
        ASSERT_TRUE(eventually([&] {
            entry.caller().post("/echo", poison, withKey());
            return site->upstream->wait(std::chrono::milliseconds(0)).has_value();
        }));
    }
    for (TestSite *site : { &first, &second }) {
        site->upstream = TestFleet::startUpstream(*site->node, "echo");
    }
    std::this_thread::sleep_for(SpreadTime);
    for (TestSite *site : { &first, &second, &entry }) {
        EXPECT_EQ(site->caller().post("/echo", poison, withKey()).status, 422);
    }
    EXPECT_EQ(lookup(), 200);
    EXPECT_FALSE(first.upstream->wait(std::chrono::milliseconds(0)));
    EXPECT_FALSE(second.upstream->wait(std::chrono::milliseconds(0)));
}

// Guards against a status that hides which version a node has in force.
TEST_F(FaultTest, StatusShowsTheVersion)
{
    const auto version = [this] {
        return TestClient(second.node->port("admin")).get("/v1/status").body;
    };
    EXPECT_NE(version().find(R"("version":1)"), std::string::npos) << version();
    fleet.change([](FleetConfiguration &target) {
        target.accounts.at(AccountName("florists")).burst = 900;
    });
    EXPECT_TRUE(eventually([&] {
        return version().find(R"("version":2)") != std::string::npos;
    }));
}
