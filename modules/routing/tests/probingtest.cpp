#include "routing/routing.h"

#include "core/manualclock.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

using namespace Pimentohollow;
using namespace std::chrono_literals;

struct CusumCase {
    const char *name;
    std::vector<double> samples;
    std::size_t target;
    bool alarm;
};

class CusumTest : public testing::TestWithParam<CusumCase>
{
};

// Guards against a rule that differs from the paper's: threshold 10, delta 1, zeta 8, q 5, three streams.
TEST_P(CusumTest, FollowsThePaper)
{
    GreedyCyclicCusum rule(3, { 10.0, 1.0, 8.0, 5 });
    bool alarm = false;
    for (const auto it : GetParam().samples) {
        alarm = rule.onSample(it);
    }
    EXPECT_EQ(rule.target(), GetParam().target);
    EXPECT_EQ(alarm, GetParam().alarm);
}

INSTANTIATE_TEST_SUITE_P(Samples,
                         CusumTest,
                         testing::Values(CusumCase{ "movesOnBelowHalfDelta", { 0.5 }, 1, false },
                                         CusumCase{ "staysWhilePositive", { 0.6 }, 0, false },
                                         // 1 * 3 - 0.5 = 2.5, then theta = 3: 2.5 + 3 * 3 - 4.5 = 7
                                         CusumCase{ "estimateFromEarlierSamples", { 3.0, 3.0 }, 0, false },
                                         CusumCase{ "alarm", { 3.0, 3.0, 2.5 }, 1, true },
                                         // The current sample must not be in its own estimate: 1 * 10.4 - 0.5 < 10
                                         CusumCase{ "firstSampleUsesDelta", { 10.4 }, 0, false },
                                         CusumCase{ "longestStay", { 0.6, 0.6, 0.6, 0.6, 0.6 }, 1, false },
                                         CusumCase{ "cyclic", { 0.0, 0.0, 0.0 }, 0, false }),
                         [](const auto &testCase) {
                             return std::string(testCase.param.name);
                         });

// Guards against more false alarms than the paper's bound e^A allows.
TEST(GreedyCyclicCusumTest, KeepsTheFalseAlarmBound)
{
    std::mt19937_64 engine(20261204);
    std::normal_distribution<double> normal;
    double samples = 0;
    for (int run = 0; run < 400; ++run) {
        GreedyCyclicCusum rule(4, { 5.0, 1.0, 8.0, 100 });
        do {
            ++samples;
        } while (!rule.onSample(normal(engine)));
    }
    EXPECT_GE(samples / 400, std::exp(5.0));
}

// Guards against probes faster than the fixed rate, and against a slow upstream without own traffic that stays unnoticed.
TEST(SuspectProberTest, EjectsTheSlowUpstream)
{
    ManualClock clock;
    UpstreamTable table(DataCentreName("here"));
    OutlierEjector ejector(table, clock);
    const ServiceName service("s");
    for (const auto *it : { "a", "b", "c" }) {
        UpstreamRecord record;
        record.node = NodeName(it);
        record.dataCentre = DataCentreName("far");
        record.service = service;
        record.state = UpstreamState::Ready;
        table.apply(record, clock.now());
    }
    SuspectProber prober(service, table, ejector, clock);
    Random random(4);
    bool ejected = false;
    for (int n = 0; n < 200 && !ejected; ++n) {
        clock.advance(SuspectProber::ProbeInterval);
        const auto node = prober.next();
        ASSERT_TRUE(node);
        EXPECT_FALSE(prober.next());
        const bool slow = n >= 100 && *node == NodeName("b");
        const Duration usual(static_cast<Duration::rep>(random.exponential(20e6)));
        const Duration latency = slow ? usual + 100ms : usual;
        ejected = prober.onProbe(*node, AnswerKind::Success, latency);
        EXPECT_TRUE(n >= 100 || !ejected) << "a false alarm";
    }
    EXPECT_TRUE(table.find(NodeName("b"))->isEjected(clock.now()));
}
