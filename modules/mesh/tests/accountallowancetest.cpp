#include "mesh/decisions/accountallowance.h"
#include "core/random.h"

#include <array>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

const AccountName Florists("florists");
constexpr AccountLimit Limit{ 150, 150 };
constexpr std::size_t Nodes = 16;
constexpr Duration ReportInterval = 250ms;
constexpr Duration ReportDelay = 5ms;

/** A demand on a fleet, by node. */
struct DemandCase {
    const char *name;
    /** Requests per second at all nodes together, in the first and in the second half. */
    double before;
    double after;
    /** Part of the demand that enters at the first four nodes in the second half. */
    double skew;
    /** The first half of the nodes can't hear the second one in the second half. */
    bool cut;
    /** Least part of what the limit allows that must be admitted. */
    double leastAdmitted;
};

class AccountAllowanceTest : public ::testing::TestWithParam<DemandCase>
{
};

struct PlayResult {
    std::size_t asked = 0;
    std::size_t admitted = 0;
    /** What a single bucket would have admitted. */
    std::size_t owed = 0;
    double worstWindow = 0;
};

PlayResult play(const DemandCase &demand)
{
    constexpr Duration Length = 20s;
    constexpr Duration Step = 1ms;
    constexpr Duration Window = 5s;
    const TimePoint start{ 1h };
    std::vector<AccountAllowance> nodes(Nodes, AccountAllowance(start));
    std::array<Duration, Nodes> lastReport{};
    struct Report {
        TimePoint due{};
        std::size_t from = 0;
        std::vector<AccountSpending> spending;
    };
    std::deque<Report> reports;
    Random random(11);
    for (auto &it : nodes) {
        it.setNodes(Nodes);
    }
    PlayResult result;
    std::deque<TimePoint> window;
    double bucket = Limit.burst;
    for (Duration elapsed{}; elapsed < Length; elapsed += Step) {
        const TimePoint now = start + elapsed;
        const bool second = elapsed >= Length / 2;
        while (!reports.empty() && reports.front().due <= now) {
            const auto report = std::move(reports.front());
            reports.pop_front();
            for (std::size_t n = 0; n < Nodes; ++n) {
                const bool cut = demand.cut && second && (n < Nodes / 2) != (report.from < Nodes / 2);
                if (n != report.from && !cut) {
                    nodes.at(n).reported(NodeName(std::to_string(report.from)), report.spending, now);
                }
            }
        }
        for (std::size_t n = 0; n < Nodes; ++n) {
            if (elapsed - lastReport.at(n) >= ReportInterval || nodes.at(n).reportIsUrgent()) {
                lastReport.at(n) = elapsed;
                reports.push_back({ now + ReportDelay, n, nodes.at(n).takeReport(now) });
            }
        }
        bucket = std::min(Limit.burst, bucket + Limit.ratePerSecond * std::chrono::duration<double>(Step).count());
        const double expected = (second ? demand.after : demand.before) * std::chrono::duration<double>(Step).count();
        for (int n = 0; n < std::ceil(expected); ++n) {
            if (random.unit() >= expected - n) {
                continue;
            }
            const bool skewed = second && random.unit() < demand.skew;
            const std::size_t node = random.below(skewed ? 4 : Nodes);
            ++result.asked;
            if (bucket >= 1) {
                bucket -= 1;
                ++result.owed;
            }
            if (!nodes.at(node).admit(Florists, Limit, now)) {
                ++result.admitted;
                window.push_back(now);
            }
        }
        while (!window.empty() && window.front() + Window < now) {
            window.pop_front();
        }
        result.worstWindow = std::max(result.worstWindow, static_cast<double>(window.size()));
    }
    return result;
}

} // namespace

/** Guards against an account that gets more than its rate and burst from all nodes together, and against refusals within them. */
TEST_P(AccountAllowanceTest, TheFleetKeepsTheLimitAndGrantsIt)
{
    const auto result = play(GetParam());
    constexpr double WindowSeconds = 5;
    constexpr double Tolerance = 1.1;
    constexpr double Slack = 20;
    EXPECT_LE(result.worstWindow, (Limit.ratePerSecond * WindowSeconds + Limit.burst) * Tolerance + Slack);
    EXPECT_GE(static_cast<double>(result.admitted), static_cast<double>(result.owed) * GetParam().leastAdmitted) << "of " << result.asked;
}

INSTANTIATE_TEST_SUITE_P(Demands,
                         AccountAllowanceTest,
                         ::testing::Values(DemandCase{ "WithinTheRate", 90, 90, 0, false, 0.999 },
                                           DemandCase{ "AtTheRate", 140, 140, 0, false, 0.98 },
                                           DemandCase{ "SevenfoldSuddenly", 95, 700, 0, false, 0.95 },
                                           DemandCase{ "FromTheStart", 700, 700, 0, false, 0.95 },
                                           DemandCase{ "Skewed", 90, 90, 0.9, false, 0.999 },
                                           DemandCase{ "SkewedAndHot", 95, 600, 0.9, false, 0.9 },
                                           DemandCase{ "Cut", 95, 95, 0, true, 0.95 },
                                           DemandCase{ "CutAndHot", 95, 600, 0, true, 0.9 }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

/** Guards against accounts without a limit that are refused. */
TEST(AccountAllowanceTest, NoLimitAdmitsEverything)
{
    AccountAllowance allowance(TimePoint{ 1h });
    for (int n = 0; n < 1000; ++n) {
        EXPECT_FALSE(allowance.admit(Florists, {}, TimePoint{ 1h }));
    }
}

/** Guards against an account that finds a third of its burst although nobody has used it since the node started. */
TEST(AccountAllowanceTest, BurstFillsBeforeTheFirstRequest)
{
    const TimePoint startedAt{ 1h };
    AccountAllowance allowance(startedAt);
    std::size_t admitted = 0;
    while (admitted < 1000 && !allowance.admit(Florists, Limit, startedAt + 2s)) {
        ++admitted;
    }
    EXPECT_EQ(admitted, static_cast<std::size_t>(Limit.burst));
}

/** Guards against a burst that is granted again by each restart of a node: what was spent before isn't known to it. */
TEST(AccountAllowanceTest, RestartedNodeAssumesAPartOfTheBurst)
{
    const TimePoint startedAt{ 1h };
    AccountAllowance allowance(startedAt);
    std::size_t admitted = 0;
    while (admitted < 1000 && !allowance.admit(Florists, Limit, startedAt)) {
        ++admitted;
    }
    EXPECT_LT(static_cast<double>(admitted), Limit.burst / 2);
}

} // namespace Pimentohollow
