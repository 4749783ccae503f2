#include "claimnode.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

class ClaimsTest : public testing::Test
{
protected:
    ClaimNode makeNode(const std::string &name)
    {
        return { name, 1, clock, table, objects, [this](const ClaimOwner &) {
                    return liveness;
                } };
    }

    void advance(ClaimNode &node, Duration step)
    {
        clock.advance(step);
        node.run();
    }

    /** Claims and starts a request at @p node. */
    std::string startRun(ClaimNode &node, const std::string &key)
    {
        const auto ticket = node.begin(key);
        advance(node, ClaimBatcher::CommitInterval);
        EXPECT_EQ(node.answer(ticket), "run");
        EXPECT_TRUE(node.registry.startRun(node.claimId(ticket)));
        return node.claimId(ticket);
    }

    ManualClock clock;
    FakeTable table{ clock };
    FakeObjects objects;
    OwnerLiveness liveness = OwnerLiveness::Alive;
};

// Guards against an outcome that changes in the row, including bytes that are not UTF-8.
TEST_F(ClaimsTest, RowRoundTrips)
{
    Claim claim{ { AccountName("a"), "k" }, "f", "id", { NodeName("n"), 7 }, ClaimState::Finished, WallTime(5ms), WallTime(9ms), {} };
    claim.outcome = ClaimOutcome{ 201, { { "X", "\xff: b" } }, std::string("\0\xfe", 2), "" };
    EXPECT_EQ(claimFromRow(claim.key, claimToRow(claim)), claim);
    auto row = claimToRow(claim);
    row.erase("status");
    EXPECT_EQ(claimFromRow(claim.key, row).error().kind, ErrorKind::InvalidInput);
}

// Guards against one commit per claim, more than 25 claims in a group, and more than 10 commits per second.
TEST_F(ClaimsTest, CommitsInGroups)
{
    auto node = makeNode("n");
    std::vector<ClaimTicket> tickets{ node.begin("first") };
    node.run();
    EXPECT_EQ(node.answer(tickets[0]), "run") << "the first claim must not wait";
    for (int n = 0; n < 60; ++n) {
        tickets.push_back(node.begin("k" + std::to_string(n)));
    }
    for (const std::size_t commits : { 2U, 3U, 4U }) {
        advance(node, 99ms);
        EXPECT_EQ(table.commits, commits - 1);
        advance(node, 1ms);
        EXPECT_EQ(table.commits, commits);
    }
    for (const auto it : tickets) {
        EXPECT_EQ(node.answer(it), "run");
    }
}

// Guards against one taken claim that blocks the others of its group, also when resends keep coming.
TEST_F(ClaimsTest, CommitsTheOthersWithoutTheTakenClaim)
{
    auto other = makeNode("o");
    other.registry.finish(startRun(other, "taken"), { 200, {}, "done", "" });
    advance(other, 100ms);

    auto node = makeNode("n");
    const auto taken = node.begin("taken");
    const auto fresh = node.begin("fresh");
    node.run();
    EXPECT_EQ(node.answer(taken), "replay");
    node.begin("taken");
    advance(node, 100ms);
    EXPECT_EQ(node.answer(fresh), "run");
}

// Guards against a slow or lost answer that reads as "not run" while the request runs, or that blocks its key.
struct CommitFaultCase {
    const char *name;
    std::vector<Fault> faults;
    const char *answer;
};

class CommitFaultTest : public ClaimsTest, public testing::WithParamInterface<CommitFaultCase>
{
};

TEST_P(CommitFaultTest, AnswersTruthfullyAndFreesTheKey)
{
    auto node = makeNode("n");
    table.faults.assign(GetParam().faults.begin(), GetParam().faults.end());
    const auto ticket = node.begin("k");
    for (int n = 0; n < 12; ++n) {
        node.run();
        clock.advance(100ms);
    }
    EXPECT_EQ(node.answer(ticket), GetParam().answer);
    table.faults.clear();
    if (node.answer(ticket) == "run") {
        return;
    }
    EXPECT_EQ(std::get<Refusal>(node.answers[ticket]).ran, RunState::NotRun);
    advance(node, 16s);
    advance(node, 1s);
    EXPECT_FALSE(table.rows.contains(claimRowKey({ AccountName("a"), "k" })));
    startRun(node, "k");
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    CommitFaultTest,
    testing::Values(CommitFaultCase{ "unavailable", { Fault::Unavailable }, "platform_unavailable" },
                    CommitFaultCase{ "timeout", { Fault::TimeoutBeforeWrite }, "run" },
                    CommitFaultCase{ "lost", { Fault::AnswerLost }, "run" },
                    CommitFaultCase{ "late", { Fault::LateWrite }, "run" },
                    CommitFaultCase{ "lostThenDown", { Fault::AnswerLost, Fault::Unavailable }, "platform_unavailable" },
                    CommitFaultCase{ "lateThenDown", { Fault::LateWrite, Fault::Unavailable }, "platform_unavailable" },
                    CommitFaultCase{ "silent", std::vector<Fault>(20, Fault::AnswerLost), "platform_unavailable" },
                    CommitFaultCase{ "slow", { Fault::Slow }, "platform_unavailable" }),
    [](const auto &testCase) {
        return std::string(testCase.param.name);
    });

// Guards against a second run by a resend, for each state of the first request, at the same node and at another one.
struct ResendCase {
    const char *name;
    const char *end;
    const char *fingerprint;
    OwnerLiveness liveness;
    const char *answerHere;
    const char *answerElsewhere;
};

class ResendTest : public ClaimsTest, public testing::WithParamInterface<ResendCase>
{
};

TEST_P(ResendTest, NeverRunsAgain)
{
    auto first = makeNode("first");
    auto other = makeNode("other");
    const std::string end = GetParam().end;
    const auto claimId = startRun(first, "k");
    if (end == "small" || end == "large") {
        first.registry.finish(claimId, { 200, {}, std::string(end == "small" ? 10 : LargestInlineBody + 1, 'x'), "" });
    } else if (end == "lost") {
        first.registry.lose(claimId);
    }
    advance(first, 100ms);
    liveness = GetParam().liveness;
    const auto here = first.begin("k", GetParam().fingerprint);
    const auto elsewhere = other.begin("k", GetParam().fingerprint);
    for (int n = 0; n < 20; ++n) {
        other.run();
        advance(first, 10ms);
    }
    other.run();
    EXPECT_EQ(first.answer(here), GetParam().answerHere);
    EXPECT_EQ(other.answer(elsewhere), GetParam().answerElsewhere);
    if (end == "large") {
        EXPECT_EQ(std::get<ReplayOutcome>(other.answers[elsewhere]).outcome.body.size(), LargestInlineBody + 1);
    }
}

INSTANTIATE_TEST_SUITE_P(
    States,
    ResendTest,
    testing::Values(ResendCase{ "small", "small", "f", OwnerLiveness::Alive, "replay", "replay" },
                    ResendCase{ "large", "large", "f", OwnerLiveness::Alive, "replay", "replay" },
                    ResendCase{ "lost", "lost", "f", OwnerLiveness::Alive, "outcome_lost", "outcome_lost" },
                    ResendCase{ "running", "", "f", OwnerLiveness::Alive, "in_progress", "in_progress" },
                    ResendCase{ "unknownOwner", "", "f", OwnerLiveness::Unknown, "in_progress", "in_progress" },
                    ResendCase{ "deadOwner", "", "f", OwnerLiveness::Dead, "in_progress", "outcome_lost" },
                    ResendCase{ "otherBody", "small", "g", OwnerLiveness::Alive, "idempotency_key_reused", "idempotency_key_reused" }),
    [](const auto &testCase) {
        return std::string(testCase.param.name);
    });

// Guards against "not run" for a request that this process ran, while the platform is unavailable, and against unbounded memory.
TEST_F(ClaimsTest, RecordedOutcomesStayKnown)
{
    auto node = makeNode("n");
    node.registry.finish(startRun(node, "k"), { 200, {}, "done", "" });
    advance(node, 100ms);
    EXPECT_EQ(node.registry.openClaims(), 0U);
    table.faults.assign(10, Fault::Unavailable);
    const auto ticket = node.begin("k");
    advance(node, 100ms);
    EXPECT_EQ(node.answer(ticket), "replay");
    table.faults.clear();
    for (int n = 0; n < 20; ++n) {
        const std::string body(std::size_t(1024) * 1024, 'x');
        node.registry.finish(startRun(node, std::to_string(n)), { 200, {}, body, "" });
        advance(node, 100ms);
    }
    table.faults.assign(10, Fault::Unavailable);
    const auto forgotten = node.begin("k");
    advance(node, 100ms);
    EXPECT_EQ(node.answer(forgotten), "platform_unavailable");
}

// Guards against a grant that is used long after it was given, when the process was paused.
TEST_F(ClaimsTest, StaleGrantDoesNotRun)
{
    auto node = makeNode("n");
    const auto ticket = node.begin("k");
    node.run();
    clock.advance(ClaimRegistry::GrantLifetime + 1s);
    EXPECT_FALSE(node.registry.startRun(node.claimId(ticket)));
    node.run();
    EXPECT_FALSE(table.rows.contains(claimRowKey({ AccountName("a"), "k" })));
}

// Guards against expired rows and objects that stay for ever, and against the removal of a live claim.
TEST_F(ClaimsTest, SweepsExpiredClaimsOnly)
{
    auto node = makeNode("n");
    Random random(5);
    ClaimSweeper sweeper(table, objects, DataCentreName("dc"), clock, random);
    node.registry.finish(startRun(node, "old"), { 200, {}, std::string(LargestInlineBody + 1, 'x'), "" });
    advance(node, OutcomeRetention);
    startRun(node, "new");
    EXPECT_EQ(sweeper.step()->removedClaims, 0U);
    clock.advance(ExpiryMargin);
    EXPECT_EQ(sweeper.step()->removedClaims, 1U);
    EXPECT_EQ(sweeper.step()->removedClaims, 0U);
    EXPECT_TRUE(objects.objects.empty());
    EXPECT_EQ(table.rows.size(), 2U) << "the live claim and its expiry row";
}

// Guards against two gatherers in one data centre and against gathering in a small fleet.
TEST(ClaimGatheringTest, PicksOneMember)
{
    std::vector<NodeName> members{ NodeName("a"), NodeName("b"), NodeName("c") };
    EXPECT_FALSE(claimGatherer(DataCentreName("dc"), GatheringFleetSize - 1, members));
    const auto gatherer = claimGatherer(DataCentreName("dc"), GatheringFleetSize, members);
    std::reverse(members.begin(), members.end());
    EXPECT_EQ(claimGatherer(DataCentreName("dc"), GatheringFleetSize, members), gatherer);
    EXPECT_FALSE(claimGatherer(DataCentreName("dc"), GatheringFleetSize, {}));
}
