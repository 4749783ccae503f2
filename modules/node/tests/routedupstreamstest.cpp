#include "node/routing/routedupstreams.h"
#include "core/core.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

class RoutedUpstreamsTest : public testing::Test
{
protected:
    RoutedUpstreamsTest()
    {
        context.service = ServiceName("s");
        add("near", "dc1", "10.0.0.1");
        add("far", "dc2", "fd00::2");
        upstreams.update(snapshot);
    }

    void add(const std::string &node, const std::string &dataCentre, const std::string &host)
    {
        MemberUpdate member;
        member.node = NodeName(node);
        member.dataCentre = DataCentreName(dataCentre);
        member.address = { host, 1, 7000 };
        snapshot.members.push_back(member);
        UpstreamRecord record;
        record.node = member.node;
        record.dataCentre = member.dataCentre;
        record.service = context.service;
        record.state = UpstreamState::Ready;
        record.sequence = 1;
        record.concurrencyLimit = 10;
        snapshot.upstreams.push_back(record);
    }

    std::string choose(const std::vector<NodeName> &tried = {})
    {
        const auto target = upstreams.choose(context, tried);
        return target ? target->peerAddress : "none";
    }

    ManualClock clock;
    FleetSnapshot snapshot;
    RequestContext context;
    RoutedUpstreams upstreams{ DataCentreName("dc1"), clock, 1 };
};

} // namespace

// Guards against calls to another data centre while the own one has room, and against addresses that can't be connected to.
TEST_F(RoutedUpstreamsTest, PrefersTheOwnDataCentre)
{
    EXPECT_EQ(choose(), "10.0.0.1:7000");
    EXPECT_EQ(choose({ NodeName("near") }), "[fd00::2]:7000");
    EXPECT_EQ(choose({ NodeName("near"), NodeName("far") }), "none");
    EXPECT_TRUE(upstreams.hasOther(context, { NodeName("near") }));
}

// Guards against calls to nodes that left, and against a place in flight that is never given back.
TEST_F(RoutedUpstreamsTest, FollowsMembershipAndAnswers)
{
    const UpstreamTarget near{ NodeName("near"), "10.0.0.1:7000" };
    for (int n = 0; n < 100; ++n) {
        EXPECT_EQ(choose(), "10.0.0.1:7000");
        upstreams.finished(context, near, { 0, HttpResponseMessage{}, 0, std::nullopt }, 1ms);
    }
    snapshot.members.erase(snapshot.members.begin());
    upstreams.update(snapshot);
    EXPECT_EQ(choose(), "[fd00::2]:7000");
}

// Guards against more calls to a draining node before gossip tells of it, and against a node that stays excluded.
TEST_F(RoutedUpstreamsTest, AvoidsANodeThatRefusedBecauseItDrains)
{
    const UpstreamTarget near{ NodeName("near"), "10.0.0.1:7000" };
    EXPECT_EQ(choose(), "10.0.0.1:7000");
    upstreams.finished(context, near, { 0, Refusal{ RefusalReason::Draining, RunState::NotRun, {}, "" }, 0, std::nullopt }, 1ms);
    EXPECT_EQ(choose(), "[fd00::2]:7000");
    clock.advance(4s);
    upstreams.update(snapshot);
    EXPECT_EQ(choose(), "10.0.0.1:7000");
}

// Guards against an upstream ejected because it truthfully refused work under load.
TEST(AnswerKindTest, TellsRefusalsFromFailures)
{
    const auto kind = [](RefusalReason reason, RunState ran) {
        return answerKind(Refusal{ reason, ran, {}, "" });
    };
    EXPECT_EQ(kind(RefusalReason::Overloaded, RunState::NotRun), AnswerKind::Shed);
    EXPECT_EQ(kind(RefusalReason::NoUpstream, RunState::NotRun), AnswerKind::Failure);
    EXPECT_EQ(kind(RefusalReason::UpstreamFailed, RunState::Unknown), AnswerKind::Failure);
    EXPECT_EQ(answerKind(HttpResponseMessage{ 404, "", {}, "" }), AnswerKind::Success);
    EXPECT_EQ(answerKind(HttpResponseMessage{ 500, "", {}, "" }), AnswerKind::Failure);
    EXPECT_EQ(answerKind(HttpResponseMessage{ 503, "", {}, "" }), AnswerKind::Success);
}
