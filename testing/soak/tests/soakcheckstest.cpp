#include "soakchecks.h"
#include "soakplan.h"

#include <functional>
#include <gtest/gtest.h>
#include <set>

namespace Pimentohollow::Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Start{ 1h };

/** One change to records that break no rule, and the rule that it breaks. */
struct ViolationCase {
    const char *name;
    const char *rule;
    std::function<void(SoakRecords &)> change;
};

SentRequest request(const std::string &id, const std::string &method, const std::string &target, std::uint16_t status)
{
    return { id, method, target, 0, Start + 5s, Start + 5s + 10ms, status, true, "" };
}

SoakRecords soundRecords()
{
    SoakRecords records;
    records.requests = { request("a", "GET", "/browse/a", 200),
                         request("b", "POST", "/order/a", 200),
                         request("c", "POST", "/order/a", 503),
                         request("d", "GET", "/extra/a", 404),
                         request("e", "POST", "/order/a", 502) };
    records.runs = { { "a", "florists", "upstream-0-1", Start + 5s },
                     { "a", "florists", "upstream-1-1", Start + 5s },
                     { "b", "florists", "upstream-0-1", Start + 5s },
                     { "e", "florists", "upstream-0-1", Start + 5s } };
    records.rules = { { 1, Start, false } };
    records.accounts = { { "florists", { 1, 1 } } };
    return records;
}

class SoakChecksTest : public ::testing::TestWithParam<ViolationCase>
{
};

} // namespace

/** Guards against a soak that passes because a check can't fail. */
TEST_P(SoakChecksTest, EachViolationIsReported)
{
    auto records = soundRecords();
    ASSERT_TRUE(findViolations(records).empty()) << findViolations(records).front();
    GetParam().change(records);
    const auto violations = findViolations(records);
    ASSERT_EQ(violations.size(), 1U);
    EXPECT_TRUE(violations.front().starts_with(GetParam().rule)) << violations.front();
}

INSTANTIATE_TEST_SUITE_P(
    Rules,
    SoakChecksTest,
    ::testing::Values(ViolationCase{ "ForeignAnswer",
                                     "whole answers",
                                     [](SoakRecords &it) {
                                         it.requests[0].answerFits = false;
                                     } },
                      ViolationCase{ "SuccessWithoutRun",
                                     "whole answers",
                                     [](SoakRecords &it) {
                                         it.requests.push_back(request("f", "GET", "/browse/a", 200));
                                     } },
                      ViolationCase{ "NoAnswer",
                                     "lost",
                                     [](SoakRecords &it) {
                                         it.requests[4].status.reset();
                                     } },
                      ViolationCase{ "OrderTwice",
                                     "at most once",
                                     [](SoakRecords &it) {
                                         it.runs.push_back({ "b", "florists", "upstream-1-1", Start + 6s });
                                     } },
                      ViolationCase{ "TooManyAttempts",
                                     "at most once",
                                     [](SoakRecords &it) {
                                         it.runs.push_back({ "a", "florists", "upstream-1-1", Start + 6s });
                                     } },
                      ViolationCase{ "RefusedButRun",
                                     "true refusals",
                                     [](SoakRecords &it) {
                                         it.runs.push_back({ "c", "florists", "upstream-1-1", Start + 6s });
                                     } },
                      ViolationCase{ "OldRules",
                                     "rules in force",
                                     [](SoakRecords &it) {
                                         it.rules.push_back({ 2, Start + 2s, true });
                                     } },
                      ViolationCase{ "DrainedUpstream",
                                     "drain",
                                     [](SoakRecords &it) {
                                         it.leftAt["upstream-1-1"] = Start + 2s;
                                     } },
                      ViolationCase{ "AccountOverItsRate",
                                     "account rate",
                                     [](SoakRecords &it) {
                                         for (int n = 0; n < 30; ++n) {
                                             it.runs.push_back({ std::to_string(n), "florists", "upstream-0-1", Start + n * 100ms });
                                         }
                                     } },
                      ViolationCase{ "RepeatsOverTheBudget",
                                     "budget",
                                     [](SoakRecords &it) {
                                         it.accounts.clear();
                                         for (int n = 0; n < 120; ++n) {
                                             it.runs.push_back({ std::to_string(n / 2), "florists", "upstream-0-1", Start });
                                         }
                                     } },
                      ViolationCase{ "ProcessEnded",
                                     "process",
                                     [](SoakRecords &it) {
                                         it.badEnds.push_back("node 1 ended by itself with -6");
                                     } }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/** Guards against violations that are reported although the node was paused, or the store was away, at the time. */
TEST(SoakChecksTest, DisturbedNodesAreExcused)
{
    auto records = soundRecords();
    records.requests[4].status.reset();
    records.disturbed[0].push_back({ Start + 4s, Start + 6s });
    EXPECT_TRUE(findViolations(records).empty());
    records.disturbed.clear();
    EXPECT_FALSE(findViolations(records).empty());
}

/** Guards against seeds that don't repeat, and against kinds of faults that no seed plays. */
TEST(SoakPlanTest, SeedsRepeatAndCoverAllKinds)
{
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto plan = planFaults(seed, 10s, 5);
        const auto again = planFaults(seed, 10s, 5);
        ASSERT_EQ(plan.size(), again.size());
        for (std::size_t n = 0; n < plan.size(); ++n) {
            EXPECT_EQ(plan[n].kind, again[n].kind);
            EXPECT_EQ(plan[n].at, again[n].at);
            kinds.insert(plan[n].kind);
        }
    }
    EXPECT_EQ(kinds.size(), FaultKindNames.entries().size());
}

} // namespace Pimentohollow::Soak
