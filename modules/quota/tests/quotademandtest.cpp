#include "quota/tests/quotafleet.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const AccountName Florist("florist");

struct DemandCase {
    const char *name;
    AccountRate rate;
    std::size_t dataCentres;
    std::size_t nodesEach;
    /** Requests per second, as a part of the rate. */
    double load;
    bool oneNode;
};

/** Section 1.3 of the design: at most 0.1 % refusals within the rate. */
constexpr double Target = 0.999;

} // namespace

class QuotaDemandTest : public testing::TestWithParam<DemandCase>
{
};

// Guards against an account that is refused within its rate because its requests arrive at few nodes, or because its
// burst is smaller than the number of shares.
TEST_P(QuotaDemandTest, DemandWithinTheRateIsAdmitted)
{
    const auto &it = GetParam();
    QuotaFleet fleet(3, it.dataCentres, it.nodesEach);
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
        fleet.setAccounts(n, { { Florist, it.rate } });
    }
    std::uint64_t admitted = 0;
    std::uint64_t decided = 0;
    fleet.onDecision = [&](std::size_t, const AccountName &, AdmissionState state, Duration waited) {
        ++decided;
        admitted += state == AdmissionState::Admitted ? 1 : 0;
        EXPECT_LE(waited, TokenExchange::WaitTime + 1ms);
    };
    Random random(4);
    const auto spacing = std::chrono::duration<double>(static_cast<double>(OneToken) / (static_cast<double>(it.rate.rate) * it.load));
    const auto fill = std::chrono::duration<double>(static_cast<double>(it.rate.burst) / static_cast<double>(it.rate.rate));
    const auto start = fleet.clock.now() + 5s + std::chrono::duration_cast<Duration>(fill);
    auto next = start;
    while (fleet.clock.now() < start + 60s) {
        fleet.step();
        for (; fleet.clock.now() >= next; next += std::chrono::duration_cast<Duration>(spacing)) {
            fleet.request(it.oneNode ? 1 : random.below(fleet.nodes.size()), Florist);
        }
    }
    EXPECT_GE(static_cast<double>(admitted), Target * static_cast<double>(decided)) << admitted << " of " << decided;
}

INSTANTIATE_TEST_SUITE_P(Demands,
                         QuotaDemandTest,
                         testing::Values(DemandCase{ "Spread", { 100 * OneToken, 100 * OneToken }, 2, 4, 0.8, false },
                                         DemandCase{ "OneNode", { 100 * OneToken, 100 * OneToken }, 2, 4, 0.8, true },
                                         DemandCase{ "OneNodeOfMany", { 100 * OneToken, 200 * OneToken }, 1, 30, 0.8, true },
                                         DemandCase{ "SmallBurst", { 20 * OneToken, 8 * OneToken }, 2, 4, 0.7, false },
                                         DemandCase{ "BurstOfOne", { OneToken, OneToken }, 2, 4, 0.5, false },
                                         DemandCase{ "BurstOfOneAtOneNode", { OneToken / 5, OneToken }, 2, 4, 0.8, true },
                                         DemandCase{ "BurstOfTwo", { OneToken / 2, 2 * OneToken }, 4, 4, 0.7, false }),
                         [](const auto &testCase) {
                             return std::string(testCase.param.name);
                         });
