#include "routing/routing.h"

#include "core/manualclock.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const ServiceName Service("s");

UpstreamRecord makeRecord(const std::string &node, const std::string &dataCentre, std::uint32_t limit = 10)
{
    UpstreamRecord record;
    record.node = NodeName(node);
    record.dataCentre = DataCentreName(dataCentre);
    record.service = Service;
    record.state = UpstreamState::Ready;
    record.sequence = 1;
    record.concurrencyLimit = limit;
    return record;
}

class RoutingTest : public testing::Test
{
protected:
    void add(const std::vector<std::string> &nodes, const std::string &dataCentre = "here")
    {
        for (const auto &it : nodes) {
            table.apply(makeRecord(it, dataCentre), clock.now());
        }
    }

    std::string choose(const std::vector<NodeName> &tried = {})
    {
        const auto selection = selector.choose(Service, tried);
        return selection ? selection->node.text() : "none";
    }

    std::set<std::string> chosen(int draws = 200)
    {
        std::set<std::string> nodes;
        for (int n = 0; n < draws; ++n) {
            nodes.insert(choose());
        }
        return nodes;
    }

    void answer(const std::string &node, AnswerKind kind, int count, Duration latency = 5ms)
    {
        for (int n = 0; n < count; ++n) {
            ejector.onAnswer(NodeName(node), kind, latency);
        }
    }

    ManualClock clock;
    Random random{ 7 };
    UpstreamTable table{ DataCentreName("here") };
    UpstreamSelector selector{ table, clock, random };
    OutlierEjector ejector{ table, clock };
};

} // namespace

// Guards against an old copy that revives a draining upstream or hides newer load.
TEST_F(RoutingTest, NewestSequenceWins)
{
    auto record = makeRecord("a", "here");
    record.sequence = 5;
    record.state = UpstreamState::Draining;
    EXPECT_TRUE(table.apply(record, clock.now()));
    EXPECT_FALSE(table.apply(makeRecord("a", "here"), clock.now()));
    EXPECT_EQ(choose(), "none");
    table.remove(NodeName("a"));
    EXPECT_TRUE(table.apply(makeRecord("a", "here"), clock.now()));
    EXPECT_EQ(choose(), "a");
}

// Guards against own calls that are counted twice, and against a count that wraps below zero.
TEST_F(RoutingTest, CountsOwnCallsOnce)
{
    add({ "a" });
    table.callStarted(NodeName("a"));
    auto record = makeRecord("a", "here");
    record.sequence = 2;
    record.inFlight = 3;
    table.apply(record, clock.now());
    EXPECT_EQ(table.find(NodeName("a"))->othersInFlight, 2U);
    table.callEnded(NodeName("a"));
    table.callEnded(NodeName("a"));
    EXPECT_EQ(table.find(NodeName("a"))->ownInFlight, 0U);
}

struct SelectionCase {
    const char *name;
    /** What is wrong with the local upstreams a and b: '-' nothing, 'd' draining, 'e' ejected, 's' ejected
     *  for slowness, 'f' full, 'u' unreachable, 't' tried. */
    const char *local;
    /** The same for the remote upstream r. */
    char remote;
    std::set<std::string> expected;
};

class SelectionTest : public RoutingTest, public testing::WithParamInterface<SelectionCase>
{
protected:
    void spoil(const std::string &node, char fault)
    {
        auto record = makeRecord(node, node == "r" ? "far" : "here");
        record.state = fault == 'd' ? UpstreamState::Draining : UpstreamState::Ready;
        table.apply(record, clock.now());
        auto &health = table.find(record.node)->health;
        if (fault == 'f') {
            health.shedShare = 1.0;
        } else if (fault == 'e' || fault == 's') {
            health.ejectedUntil = clock.now() + 1s;
            health.slow = fault == 's';
        } else if (fault == 't') {
            m_tried.push_back(record.node);
        }
        table.setReachable(record.node, fault != 'u');
    }

    std::vector<NodeName> m_tried;
};

// Guards against work for draining, tried or ejected upstreams, and against refusals while another data centre has room.
TEST_P(SelectionTest, FollowsTheOrder)
{
    spoil("a", GetParam().local[0]);
    spoil("b", GetParam().local[1]);
    spoil("r", GetParam().remote);
    std::set<std::string> nodes;
    for (int n = 0; n < 100; ++n) {
        nodes.insert(choose(m_tried));
    }
    EXPECT_EQ(nodes, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         SelectionTest,
                         testing::Values(SelectionCase{ "allWell", "--", '-', { "a", "b" } },
                                         SelectionCase{ "oneDraining", "d-", '-', { "b" } },
                                         SelectionCase{ "oneFull", "f-", '-', { "b" } },
                                         SelectionCase{ "localFull", "ff", '-', { "r" } },
                                         SelectionCase{ "localEjected", "ee", '-', { "r" } },
                                         SelectionCase{ "localUnreachable", "uu", '-', { "r" } },
                                         SelectionCase{ "localTried", "tt", '-', { "r" } },
                                         SelectionCase{ "allFull", "ff", 'f', { "a", "b" } },
                                         SelectionCase{ "slowBeforeFull", "sf", 'f', { "a" } },
                                         SelectionCase{ "slowAfterRoom", "ss", '-', { "r" } },
                                         SelectionCase{ "allEjected", "ee", 'e', { "a", "b" } },
                                         SelectionCase{ "allTried", "tt", 't', { "none" } },
                                         SelectionCase{ "allDraining", "dd", 'd', { "none" } }),
                         [](const auto &testCase) {
                             return std::string(testCase.param.name);
                         });

// Guards against a choice that misses the usable upstreams among many unusable ones.
RC_GTEST_FIXTURE_PROP(RoutingTest, FindsUsableUpstreams, ())
{
    const auto faults = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4)));
    std::set<std::string> usable;
    std::vector<NodeName> tried;
    for (std::size_t n = 0; n < faults.size(); ++n) {
        auto record = makeRecord(std::to_string(n), "here");
        record.state = faults[n] == 1 ? UpstreamState::Draining : UpstreamState::Ready;
        table.apply(record, clock.now());
        if (faults[n] == 2) {
            tried.push_back(record.node);
        } else if (faults[n] == 3) {
            table.find(record.node)->health.ejectedUntil = clock.now() + 1s;
        } else if (faults[n] == 0) {
            usable.insert(record.node.text());
        }
    }
    const auto node = choose(tried);
    RC_ASSERT(usable.empty() || usable.contains(node));
    RC_ASSERT(std::find(tried.begin(), tried.end(), NodeName(node)) == tried.end());
}

// Guards against entry nodes that leave a full upstream all at once, never come back, or keep sending everything to it.
TEST_F(RoutingTest, SpillsByTheShareOfRefusals)
{
    add({ "local" });
    add({ "remote" }, "far");
    for (int n = 0; n < 100; ++n) {
        answer("local", n % 2 == 0 ? AnswerKind::Shed : AnswerKind::Success, 1);
    }
    int local = 0;
    for (int n = 0; n < 1000; ++n) {
        local += choose() == "local";
    }
    EXPECT_GT(local, 400);
    EXPECT_LT(local, 600);
    answer("local", AnswerKind::Shed, 1000);
    EXPECT_TRUE(chosen().contains("local"));
    answer("local", AnswerKind::Success, 100);
    EXPECT_EQ(chosen(), std::set<std::string>{ "local" });
}

struct EjectionCase {
    const char *name;
    AnswerKind kind;
    int count;
    Duration latency;
    bool ejected;
};

class EjectionTest : public RoutingTest, public testing::WithParamInterface<EjectionCase>
{
};

// Guards against an upstream that keeps its work although it fails or is slow, and against ejections without cause.
TEST_P(EjectionTest, DecidesByAnswers)
{
    add({ "a", "b", "c", "d" });
    for (const auto *it : { "b", "c", "d" }) {
        answer(it, AnswerKind::Success, 20);
    }
    answer("a", GetParam().kind, GetParam().count, GetParam().latency);
    EXPECT_EQ(ejector.ejected(Service) == 1, GetParam().ejected);
    EXPECT_EQ(chosen().contains("a"), !GetParam().ejected);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         EjectionTest,
                         testing::Values(EjectionCase{ "fewFailures", AnswerKind::Failure, 4, 0ms, false },
                                         EjectionCase{ "failures", AnswerKind::Failure, 5, 0ms, true },
                                         EjectionCase{ "shed", AnswerKind::Shed, 100, 0ms, false },
                                         EjectionCase{ "slow", AnswerKind::Success, 10, 50ms, true },
                                         EjectionCase{ "slightlySlow", AnswerKind::Success, 50, 14ms, false }),
                         [](const auto &testCase) {
                             return std::string(testCase.param.name);
                         });

// Guards against failures mixed with successes that never come in a row.
TEST_F(RoutingTest, EjectsByShareOfFailures)
{
    add({ "a", "b" });
    for (int n = 0; n < 30; ++n) {
        answer("a", AnswerKind::Failure, 3);
        answer("a", AnswerKind::Success, 1);
    }
    EXPECT_EQ(ejector.ejected(Service), 1U);
}

// Guards against a service that loses more than half of its upstreams, or all because the whole service is slow.
TEST_F(RoutingTest, EjectsAtMostHalf)
{
    add({ "a", "b", "c", "d", "e" });
    for (const auto *it : { "a", "b", "c", "d", "e" }) {
        answer(it, AnswerKind::Success, 40, 500ms);
    }
    EXPECT_EQ(ejector.ejected(Service), 0U);
    for (const auto *it : { "a", "b", "c", "d", "e" }) {
        answer(it, AnswerKind::Failure, 40);
    }
    EXPECT_EQ(ejector.ejected(Service), 2U);
}

// Guards against the ejection of a slow upstream whose work has no place elsewhere.
TEST_F(RoutingTest, KeepsSlowUpstreamWhenOthersAreFull)
{
    for (const auto *it : { "a", "b" }) {
        auto record = makeRecord(it, "here");
        record.inFlight = 10;
        table.apply(record, clock.now());
    }
    answer("b", AnswerKind::Success, 20);
    answer("a", AnswerKind::Success, 20, 50ms);
    EXPECT_EQ(ejector.ejected(Service), 0U);
    auto record = makeRecord("b", "here");
    record.sequence = 2;
    record.inFlight = 8;
    table.apply(record, clock.now());
    answer("a", AnswerKind::Success, 10, 50ms);
    EXPECT_EQ(ejector.ejected(Service), 1U);
}

// Guards against a readmitted upstream that gets full load at once, or long trust while it still fails.
TEST_F(RoutingTest, ReadmitsSlowlyOnProbation)
{
    add({ "a", "b" });
    const auto *upstream = table.find(NodeName("a"));
    answer("a", AnswerKind::Failure, 5);
    clock.advance(OutlierEjector::FirstEjection);
    EXPECT_FALSE(upstream->isEjected(clock.now()));
    EXPECT_EQ(upstream->capacity(clock.now()), 1.0);
    answer("a", AnswerKind::Failure, 1);
    clock.advance(OutlierEjector::FirstEjection);
    EXPECT_TRUE(upstream->isEjected(clock.now())) << "the second ejection lasts twice as long";
    clock.advance(OutlierEjector::FirstEjection);
    answer("a", AnswerKind::Success, 3);
    answer("a", AnswerKind::Failure, 1);
    EXPECT_FALSE(upstream->isEjected(clock.now()));
    clock.advance(SlowStart::Ramp);
    EXPECT_EQ(upstream->capacity(clock.now()), 10.0);
}

struct HedgeCase {
    bool idempotent;
    std::uint32_t retriesLeft;
    int attempts;
    double load;
    Duration remaining;
    bool hedged;
};

class HedgeTest : public testing::TestWithParam<HedgeCase>
{
};

// Guards against a second run of non-idempotent work and against hedges beyond the retry budget or under load.
TEST_P(HedgeTest, RespectsTheBudget)
{
    ManualClock clock;
    HedgePolicy policy;
    for (int n = 0; n < GetParam().attempts; ++n) {
        policy.onFirstAttempt(Service);
    }
    RequestContext context;
    context.service = Service;
    context.idempotent = GetParam().idempotent;
    context.retriesLeft = GetParam().retriesLeft;
    context.deadline = clock.now() + GetParam().remaining;
    EXPECT_EQ(policy.delay(context, clock.now(), GetParam().load).has_value(), GetParam().hedged);
}

INSTANTIATE_TEST_SUITE_P(Conditions,
                         HedgeTest,
                         testing::Values(HedgeCase{ true, 1, 21, 0.1, 1s, true },
                                         HedgeCase{ false, 1, 21, 0.1, 1s, false },
                                         HedgeCase{ true, 0, 21, 0.1, 1s, false },
                                         HedgeCase{ true, 1, 19, 0.1, 1s, false },
                                         HedgeCase{ true, 1, 21, 0.8, 1s, false },
                                         HedgeCase{ true, 1, 21, 0.1, 99ms, false }));

// Guards against an estimate that is not the 95th percentile.
TEST(HedgePolicyTest, TracksTheQuantile)
{
    HedgePolicy policy;
    Random random(3);
    int above = 0;
    RequestContext context;
    context.service = Service;
    context.idempotent = true;
    context.retriesLeft = 1;
    context.deadline = TimePoint::max();
    for (int n = 0; n < 20000; ++n) {
        const Duration latency(static_cast<Duration::rep>(random.exponential(20e6)));
        policy.onFirstAttempt(Service);
        policy.onAnswer(Service, latency);
        above += n >= 10000 && latency > policy.delay(context, TimePoint(), 0.0).value_or(0ms);
    }
    EXPECT_NEAR(above / 10000.0, 0.05, 0.01);
}

// Guards against entry nodes that starve the service, flood it, or notice its recovery late. Records are up to 1 s old.
TEST_F(RoutingTest, EntryShareFollowsTheService)
{
    add({ "a", "b", "c", "d" });
    ServiceLoad load(table, clock, random);
    double demand = 10.0;
    double served = 0;
    double admitted = 0;
    std::uint64_t sequence = 1;
    for (int tick = 0; tick < 1000; ++tick) {
        clock.advance(10ms);
        demand = tick < 800 ? 10.0 : 0.5;
        const double arriving = demand * load.share(Service, Priority::Normal);
        if (tick % 100 < 4) {
            auto record = makeRecord(std::string(1, char('a' + tick % 100)), "here");
            record.sequence = ++sequence;
            record.normalAdmittedPercent = static_cast<std::uint8_t>(100 * std::min(1.0, 1.0 / arriving));
            table.apply(record, clock.now());
        }
        if (tick >= 200 && tick < 800) {
            served += std::min(1.0, arriving) / 600;
            admitted += arriving / 600;
        }
    }
    EXPECT_GE(served, 0.95) << "goodput as a share of the capacity";
    EXPECT_LE(admitted, 5.0) << "work that reaches the serving nodes, at a demand of 10";
    EXPECT_EQ(load.share(Service, Priority::Normal), 1.0) << "2 s after the end of the overload";
    EXPECT_EQ(load.share(Service, Priority::Important), 1.0);
}
