#include "mesh/decisions/accountratelimiter.h"
#include "core/random.h"

#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

const AccountName Florists("florists");
constexpr AccountLimit Limit{ 150, 150 };
constexpr Duration ReportDelay = 5ms;
/** Time in which a restarted node reconnects to the others. */
constexpr Duration ConnectTime = 30ms;

/** Demand of one account on a fleet, and the state of the fleet. */
struct DemandCase {
    const char *name;
    /** Requests per second at all nodes together, in the first and in the second half of the simulation. */
    double firstRate;
    double secondRate;
    /** Fraction of the demand that arrives at the first four nodes in the second half. */
    double skew;
    /** Number of nodes that are partitioned from the others in the second half. */
    std::size_t partitionedNodes;
    /** Minimum admitted fraction of what the limit allows. */
    double minimumAdmitted;
    /** Time between restarts in the second half; zero for none. */
    Duration restartInterval{};
    /** Number of nodes that restart at the same time, in rotation. */
    std::size_t restartedNodes = 1;
    Duration reportInterval = 250ms;
    std::size_t nodes = 16;
    /** Nodes report to the nodes of their data centre; relays report to the other data centres. */
    std::size_t dataCentres = 1;
};

class AccountRateLimiterTest : public ::testing::TestWithParam<DemandCase>
{
};

struct SimulationResult {
    std::size_t requested = 0;
    std::size_t admitted = 0;
    /** Requests that a single bucket would have admitted. */
    std::size_t allowed = 0;
    double worstWindow = 0;
};

SimulationResult simulate(const DemandCase &demand)
{
    constexpr Duration Length = 20s;
    constexpr Duration Step = 1ms;
    constexpr Duration Window = 5s;
    const TimePoint start{ 1h };
    const std::size_t count = demand.nodes;
    std::vector<AccountRateLimiter> nodes(count, AccountRateLimiter(start));
    std::vector<Duration> lastReport(count);
    std::vector<TimePoint> connectedAt(count);
    std::vector<Duration> lastDigest(demand.dataCentres);
    /** The last reporter of each data centre, for each node. */
    std::vector<std::map<std::size_t, Reporter>> relays(count);
    struct Report {
        TimePoint due{};
        std::size_t from = 0;
        std::vector<AccountUsage> usage;
        /** Number of nodes that a relay reports for; 0 in the report of a node. */
        std::size_t relayed = 0;
        TimePoint relayStart{};
    };
    const auto dataCentreOf = [&](std::size_t n) {
        return n * demand.dataCentres / count;
    };
    const auto isRecipient = [&](std::size_t n, const Report &report) {
        return (report.relayed > 0) != (dataCentreOf(n) == dataCentreOf(report.from));
    };
    std::deque<Report> reports;
    Random random(11);
    for (auto &it : nodes) {
        it.setNodes(count);
        it.setReportInterval(demand.reportInterval);
    }
    std::size_t nextRestart = 0;
    Duration restartAt = Length / 2 + demand.restartInterval;
    SimulationResult result;
    std::deque<TimePoint> window;
    double bucket = Limit.burst;
    for (Duration elapsed{}; elapsed < Length; elapsed += Step) {
        const TimePoint now = start + elapsed;
        const bool second = elapsed >= Length / 2;
        while (!reports.empty() && reports.front().due <= now) {
            const auto report = std::move(reports.front());
            reports.pop_front();
            for (std::size_t n = 0; n < count; ++n) {
                const bool partitioned = second && (n < demand.partitionedNodes) != (report.from < demand.partitionedNodes);
                if (n == report.from || partitioned || now < connectedAt.at(n) || !isRecipient(n, report)) {
                    continue;
                }
                if (report.relayed == 0) {
                    nodes.at(n).applyReport({ NodeName(std::to_string(report.from)) }, report.usage, now);
                    continue;
                }
                const Reporter reporter{ NodeName(std::to_string(report.from) + " since "
                                                  + std::to_string(report.relayStart.time_since_epoch().count())),
                                         report.relayed,
                                         false };
                const auto [knownRelay, added] = relays.at(n).try_emplace(dataCentreOf(report.from), reporter);
                if (!(knownRelay->second.name == reporter.name)) {
                    nodes.at(n).forgetReporter(knownRelay->second.name);
                    knownRelay->second = reporter;
                }
                nodes.at(n).applyReport(reporter, report.usage, now);
            }
        }
        if (demand.restartInterval > Duration::zero() && elapsed >= restartAt) {
            restartAt += demand.restartInterval;
            for (std::size_t n = 0; n < demand.restartedNodes; ++n) {
                auto &node = nodes.at(nextRestart);
                node = AccountRateLimiter(now);
                node.setNodes(count);
                node.setReportInterval(demand.reportInterval);
                connectedAt.at(nextRestart) = now + ConnectTime;
                relays.at(nextRestart).clear();
                nextRestart = (nextRestart + 1) % count;
            }
        }
        for (std::size_t n = 0; n < count; ++n) {
            if (connectedAt.at(n) != now) {
                continue;
            }
            for (std::size_t other = 0; other < count; ++other) {
                if (other != n && dataCentreOf(other) == dataCentreOf(n)) {
                    // The restarted node has received reports of some nodes before the next one receives its own.
                    nodes.at(n).applyReport({ NodeName(std::to_string(other)) }, nodes.at(other).snapshot(now), now);
                    nodes.at(other).applyReport({ NodeName(std::to_string(n)) }, nodes.at(n).snapshot(now), now);
                }
            }
        }
        for (std::size_t n = 0; n < count; ++n) {
            if (now < connectedAt.at(n)) {
                continue;
            }
            if (elapsed - lastReport.at(n) >= demand.reportInterval || nodes.at(n).reportIsUrgent()) {
                lastReport.at(n) = elapsed;
                reports.push_back({ now + ReportDelay, n, nodes.at(n).takeReport(now) });
            }
        }
        for (std::size_t dataCentre = 0; demand.dataCentres > 1 && dataCentre < demand.dataCentres; ++dataCentre) {
            std::optional<std::size_t> relay;
            for (std::size_t n = 0; n < count; ++n) {
                constexpr Duration WarmUpTime = 2s;
                const bool hasWarmedUp = now - connectedAt.at(n) >= WarmUpTime;
                const bool better = !relay || (hasWarmedUp && now - connectedAt.at(*relay) < WarmUpTime);
                relay = dataCentreOf(n) == dataCentre && now >= connectedAt.at(n) && better ? std::optional(n) : relay;
            }
            if (!relay) {
                continue;
            }
            auto &node = nodes.at(*relay);
            if (elapsed - lastDigest.at(dataCentre) >= demand.reportInterval || node.dataCentreReportIsUrgent()) {
                lastDigest.at(dataCentre) = elapsed;
                const std::size_t reporting = node.reportingNodesInDataCentre(now);
                reports.push_back({ now + ReportDelay, *relay, node.dataCentreReport(now), reporting, connectedAt.at(*relay) });
            }
        }
        bucket = std::min(Limit.burst, bucket + Limit.ratePerSecond * std::chrono::duration<double>(Step).count());
        const double expected = (second ? demand.secondRate : demand.firstRate) * std::chrono::duration<double>(Step).count();
        for (int n = 0; n < std::ceil(expected); ++n) {
            if (random.unit() >= expected - n) {
                continue;
            }
            const bool skewed = second && random.unit() < demand.skew;
            const std::size_t node = random.below(skewed ? 4 : count);
            ++result.requested;
            if (bucket >= 1) {
                bucket -= 1;
                ++result.allowed;
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

/** Guards against an account that gets more than its rate and burst from all nodes together, and against refusals within its limit. */
TEST_P(AccountRateLimiterTest, FleetEnforcesTheLimitAndGrantsAllOfIt)
{
    const auto result = simulate(GetParam());
    constexpr double WindowSeconds = 5;
    constexpr double Tolerance = 1.1;
    constexpr double Slack = 20;
    EXPECT_LE(result.worstWindow, (Limit.ratePerSecond * WindowSeconds + Limit.burst) * Tolerance + Slack);
    EXPECT_GE(static_cast<double>(result.admitted), static_cast<double>(result.allowed) * GetParam().minimumAdmitted)
        << "of " << result.requested;
}

INSTANTIATE_TEST_SUITE_P(
    Demands,
    AccountRateLimiterTest,
    ::testing::Values(DemandCase{ "WithinTheRate", 90, 90, 0, 0, 0.999 },
                      DemandCase{ "AtTheRate", 140, 140, 0, 0, 0.98 },
                      DemandCase{ "SuddenSevenfoldDemand", 95, 700, 0, 0, 0.95 },
                      DemandCase{ "OverloadedFromTheStart", 700, 700, 0, 0, 0.95 },
                      DemandCase{ "Skewed", 90, 90, 0.9, 0, 0.999 },
                      DemandCase{ "SkewedAndOverloaded", 95, 600, 0.9, 0, 0.9 },
                      DemandCase{ "Partitioned", 95, 95, 0, 8, 0.95 },
                      DemandCase{ "PartitionedAndOverloaded", 95, 600, 0, 8, 0.9 },
                      // A load from a search for failures: a data centre is cut off at the moment at which the demand rises.
                      DemandCase{ "PartitionedAndHeavilyOverloaded", 70, 1100, 0, 8, 0.9 },
                      DemandCase{ "ThirdPartitionedAndHeavilyOverloaded", 70, 1100, 0, 5, 0.9 },
                      DemandCase{ "RestartsWithinTheRate", 90, 90, 0, 0, 0.98, 1200ms },
                      DemandCase{ "RestartsAndOverloaded", 95, 600, 0, 0, 0.9, 300ms },
                      DemandCase{ "RestartsOfManyAndOverloaded", 95, 600, 0, 0, 0.8, 1500ms, 8 },
                      DemandCase{ "RestartsOfAllAndOverloaded", 95, 600, 0, 0, 0.8, 2500ms, 16 },
                      DemandCase{ "LargeFleetIntervalWithinTheRate", 90, 90, 0, 0, 0.98, 0ms, 1, 1000ms },
                      DemandCase{ "LargeFleetIntervalAndOverloaded", 95, 600, 0, 0, 0.9, 0ms, 1, 1000ms },
                      // Loads from a search for failures with 86 nodes.
                      DemandCase{ "LargeFleetWithinTheRate", 90, 90, 0, 0, 0.98, 0ms, 1, 900ms, 86 },
                      DemandCase{ "LargeFleetAndOverloaded", 95, 700, 0, 0, 0.9, 0ms, 1, 900ms, 86 },
                      DemandCase{ "LargeFleetAndHeavilyOverloaded", 70, 1100, 0, 0, 0.9, 0ms, 1, 900ms, 86 },
                      DemandCase{ "LargeFleetPartitionedAndOverloaded", 95, 600, 0, 21, 0.9, 0ms, 1, 900ms, 86 },
                      DemandCase{ "LargeFleetSkewed", 90, 90, 0.9, 0, 0.98, 0ms, 1, 900ms, 86 },
                      // Several data centres, which exchange the sums of relays instead of the reports of each node.
                      DemandCase{ "RelayedWithinTheRate", 90, 90, 0, 0, 0.999, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedAtTheRate", 140, 140, 0, 0, 0.98, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedSuddenSevenfoldDemand", 95, 700, 0, 0, 0.95, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedSkewed", 90, 90, 0.9, 0, 0.999, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedSkewedAndOverloaded", 95, 600, 0.9, 0, 0.9, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedPartitionedAndOverloaded", 95, 600, 0, 4, 0.9, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedPartitionedAndHeavilyOverloaded", 70, 1100, 0, 8, 0.9, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedPartitionedWithinTheRate", 90, 90, 0, 4, 0.95, 0ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedRestartsWithinTheRate", 90, 90, 0, 0, 0.98, 1200ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedRestartsAndOverloaded", 95, 600, 0, 0, 0.9, 300ms, 1, 250ms, 16, 4 },
                      DemandCase{ "RelayedRestartsOfManyAndOverloaded", 95, 600, 0, 0, 0.8, 1500ms, 8, 250ms, 16, 4 },
                      DemandCase{ "RelayedRestartsOfAllAndOverloaded", 95, 600, 0, 0, 0.8, 2500ms, 16, 250ms, 16, 4 },
                      DemandCase{ "RelayedLargeAndHeavilyOverloaded", 70, 1100, 0, 0, 0.9, 0ms, 1, 250ms, 96, 6 },
                      DemandCase{ "RelayedLargePartitionedAndOverloaded", 95, 600, 0, 16, 0.9, 0ms, 1, 250ms, 96, 6 },
                      DemandCase{ "RelayedVeryLargeAndOverloaded", 95, 700, 0, 0, 0.9, 0ms, 1, 600ms, 300, 6 }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/** Guards against refusals of accounts without a limit. */
TEST(AccountRateLimiterTest, AccountWithoutLimitIsNeverRefused)
{
    AccountRateLimiter limiter(TimePoint{ 1h });
    for (int n = 0; n < 1000; ++n) {
        EXPECT_FALSE(limiter.admit(Florists, {}, TimePoint{ 1h }));
    }
}

/** Guards against an account that gets only a third of its burst although it was not used since the node started. */
TEST(AccountRateLimiterTest, BurstFillsBeforeTheFirstRequest)
{
    const TimePoint startedAt{ 1h };
    AccountRateLimiter limiter(startedAt);
    std::size_t admitted = 0;
    while (admitted < 1000 && !limiter.admit(Florists, Limit, startedAt + 2s)) {
        ++admitted;
    }
    EXPECT_EQ(admitted, static_cast<std::size_t>(Limit.burst));
}

/** Guards against a burst that is granted again after each restart of a node, which doesn't know the usage before it. */
TEST(AccountRateLimiterTest, RestartedNodeGrantsOnlyAPartOfTheBurst)
{
    const TimePoint startedAt{ 1h };
    AccountRateLimiter limiter(startedAt);
    std::size_t admitted = 0;
    while (admitted < 1000 && !limiter.admit(Florists, Limit, startedAt)) {
        ++admitted;
    }
    EXPECT_LT(static_cast<double>(admitted), Limit.burst / 2);
}

} // namespace Pimentohollow
