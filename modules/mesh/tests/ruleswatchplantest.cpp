#include "mesh/decisions/ruleswatchplan.h"

#include <gtest/gtest.h>
#include <string>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration Step = 10ms;
constexpr Duration StoreLatency = 20ms;
constexpr Duration RoleCheckInterval = 100ms;
constexpr TimePoint Start{ 1h };
/** Time before the fault, in which the nodes agree on who watches. */
constexpr Duration CalmTime = 5s;

/** Which calls the store answers from CalmTime on. */
enum class StoreFault {
    None,
    OpenCallsUnanswered, ///< calls that are open at that moment get no answer
    FirstNodesUnanswered, ///< calls of all nodes but the last get no answer
    FirstNodesRejected, ///< calls of all nodes but the last fail at once
    FirstNodeUnanswered,
};

struct FleetCase {
    const char *name;
    std::size_t nodes;
    Duration deadline;
    Duration statusInterval;
    StoreFault fault;
};

/** The nodes of one data centre, the statuses between them and the store, in simulated time. */
class SimulatedDataCentre
{
public:
    explicit SimulatedDataCentre(const FleetCase &fleet)
        : m_fleet(fleet)
    {
        for (std::size_t n = 0; n < fleet.nodes; ++n) {
            m_nodes.push_back(
                { std::string(1, static_cast<char>('a' + n)), RulesWatchPlan(fleet.deadline, Start), 0, std::nullopt, Start });
            // Every node reads the rules at its start.
            m_nodes.back().plan.recordAnswer({}, true, Start, Start);
        }
    }

    void runUntil(TimePoint end)
    {
        for (; m_now < end; m_now += Step) {
            if (m_now == Start + CalmTime) {
                m_faultActive = true;
            }
            for (std::size_t n = 0; n < m_nodes.size(); ++n) {
                updateNode(n);
            }
            const auto elapsed = m_now - Start;
            if (elapsed % m_fleet.statusInterval < Step) {
                exchangeStatuses();
            }
        }
    }

    void publish()
    {
        ++m_version;
    }

    std::size_t nodesBehind() const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [this](const Node &it) {
            return it.version != m_version;
        }));
    }

    std::size_t calls() const
    {
        return m_calls;
    }

private:
    struct Call {
        WatchLimits limits;
        TimePoint startedAt{};
        bool answered = true;
    };
    struct Node {
        std::string address;
        RulesWatchPlan plan;
        unsigned version = 0;
        std::optional<Call> call;
        TimePoint nextCheckAt{};
    };

    RoleCandidate candidate(const Node &node) const
    {
        return { node.address, node.plan.storeAnswers(), true };
    }

    bool isServed(std::size_t n) const
    {
        const bool last = n + 1 == m_nodes.size();
        switch (m_fleet.fault) {
        case StoreFault::None:
        case StoreFault::OpenCallsUnanswered:
            return true;
        case StoreFault::FirstNodeUnanswered:
            return !m_faultActive || n != 0;
        case StoreFault::FirstNodesUnanswered:
        case StoreFault::FirstNodesRejected:
            return !m_faultActive || last;
        }
        return true;
    }

    void updateNode(std::size_t n)
    {
        auto &node = m_nodes[n];
        if (node.call) {
            updateCall(n);
            return;
        }
        if (m_now < node.nextCheckAt) {
            return;
        }
        std::vector<RoleCandidate> peers;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != n) {
                peers.push_back(candidate(m_nodes[other]));
            }
        }
        if (node.plan.isDue(candidate(node), peers, m_now)) {
            node.call = Call{ node.plan.limits(m_fleet.statusInterval), m_now, true };
            ++m_calls;
        } else {
            node.nextCheckAt = m_now + RoleCheckInterval;
        }
    }

    void updateCall(std::size_t n)
    {
        auto &node = m_nodes[n];
        const Duration elapsed = m_now - node.call->startedAt;
        const bool abandoned = m_fleet.fault == StoreFault::OpenCallsUnanswered && node.call->startedAt < Start + CalmTime;
        if (m_faultActive && (abandoned || !isServed(n))) {
            node.call->answered = false;
        }
        const bool rejected = !node.call->answered && m_fleet.fault == StoreFault::FirstNodesRejected;
        if (rejected || elapsed >= node.call->limits.wait + node.call->limits.answerTime) {
            node.plan.recordFailure(!rejected);
            node.nextCheckAt = m_now + (rejected ? 500ms : 0ms);
            node.call.reset();
        } else if (node.call->answered && elapsed >= StoreLatency && (node.version != m_version || elapsed >= node.call->limits.wait)) {
            node.plan.recordAnswer(node.call->limits, node.version != m_version, node.call->startedAt, m_now);
            node.version = m_version;
            node.call.reset();
        }
    }

    void exchangeStatuses()
    {
        for (const auto &from : m_nodes) {
            for (auto &to : m_nodes) {
                if (from.version > to.version) {
                    to.version = from.version;
                }
                if (from.version == to.version) {
                    to.plan.confirm(m_now - from.plan.confirmationAge(m_now));
                }
            }
        }
    }

    FleetCase m_fleet;
    std::vector<Node> m_nodes;
    TimePoint m_now = Start;
    unsigned m_version = 0;
    bool m_faultActive = false;
    std::size_t m_calls = 0;
};

class RulesWatchPlanTest : public ::testing::TestWithParam<FleetCase>
{
};

} // namespace

/** Guards against rules that miss their deadline because nodes rely on others whose calls to the store get no answer. */
TEST_P(RulesWatchPlanTest, NewRulesReachAllNodesWithinTheDeadline)
{
    for (Duration delay = 0ms; delay < 3s; delay += 50ms) {
        SimulatedDataCentre dataCentre(GetParam());
        dataCentre.runUntil(Start + CalmTime + delay);
        dataCentre.publish();
        dataCentre.runUntil(Start + CalmTime + delay + GetParam().deadline);
        EXPECT_EQ(dataCentre.nodesBehind(), 0U) << "published " << delay.count() / 1'000'000 << " ms after the fault";
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         RulesWatchPlanTest,
                         ::testing::Values(FleetCase{ "Calm", 8, 2s, 250ms, StoreFault::None },
                                           FleetCase{ "OpenCallsUnanswered", 8, 2s, 250ms, StoreFault::OpenCallsUnanswered },
                                           FleetCase{ "FirstNodeUnanswered", 8, 2s, 250ms, StoreFault::FirstNodeUnanswered },
                                           FleetCase{ "FirstNodesUnanswered", 8, 2s, 250ms, StoreFault::FirstNodesUnanswered },
                                           FleetCase{ "FirstNodesRejected", 8, 2s, 250ms, StoreFault::FirstNodesRejected },
                                           FleetCase{ "LargeCalm", 24, 3s, 900ms, StoreFault::None },
                                           FleetCase{ "LargeOpenCallsUnanswered", 24, 3s, 900ms, StoreFault::OpenCallsUnanswered },
                                           FleetCase{ "LargeFirstNodesUnanswered", 24, 3s, 900ms, StoreFault::FirstNodesUnanswered }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

class RulesWatchCostTest : public ::testing::TestWithParam<FleetCase>
{
};

/** Guards against nodes that call the store although the confirmations of the watching node reach them in time. */
TEST_P(RulesWatchCostTest, OneNodeCallsWhileTheStoreServesAll)
{
    constexpr Duration Observed = 20s;
    SimulatedDataCentre dataCentre(GetParam());
    dataCentre.runUntil(Start + Observed);
    RulesWatchPlan plan(GetParam().deadline, Start);
    plan.recordAnswer({}, false, Start, Start);
    const Duration wait = plan.limits(GetParam().statusInterval).wait;
    EXPECT_LE(dataCentre.calls(), static_cast<std::size_t>(Observed / wait) + 1);
    EXPECT_GE(dataCentre.calls(), static_cast<std::size_t>(Observed / (wait + 2 * Step)) - 1);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         RulesWatchCostTest,
                         ::testing::Values(FleetCase{ "Small", 8, 2s, 250ms, StoreFault::None },
                                           FleetCase{ "Large", 24, 3s, 900ms, StoreFault::None }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

/** Guards against a slow store whose answers all come after the time limit, so that the node never learns of new rules. */
TEST(SlowStoreTest, TimeForAnAnswerGrowsUntilTheStoreMeetsIt)
{
    constexpr Duration SlowAnswer = 1500ms;
    RulesWatchPlan plan(2s, Start);
    int failures = 0;
    while (plan.limits(250ms).wait + plan.limits(250ms).answerTime < SlowAnswer && failures < 10) {
        plan.recordFailure(true);
        ++failures;
    }
    EXPECT_LE(failures, 2);
    const Duration slowTime = plan.limits(250ms).answerTime;
    plan.recordAnswer(plan.limits(250ms), false, Start, Start + SlowAnswer);
    EXPECT_EQ(plan.limits(250ms).answerTime, slowTime) << "a slow answer must not shorten the time";
    for (int n = 0; n < 3; ++n) {
        plan.recordAnswer(plan.limits(250ms), false, Start, Start + StoreLatency);
    }
    EXPECT_LT(plan.limits(250ms).answerTime, slowTime);
}

} // namespace Pimentohollow
