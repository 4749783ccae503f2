#include "quota/tests/fleetbound.h"
#include "quota/tests/quotafleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const AccountName Florist("florist");

enum class Disturbance {
    Pause,
    CrashAndRestart,
    CrashAndRemove,
    DrainAndRestart,
    Partition,
    Outage,
    LostAnswers,
    ChangeRate,
    Count,
};

struct Step {
    Disturbance kind = Disturbance::Pause;
    std::size_t node = 0;
    std::chrono::milliseconds duration{};
    /** Until the next step. */
    std::chrono::milliseconds pause{};
};

struct Setting {
    AccountRate rate;
    QuotaFleet::Faults faults;
    /** All requests go to one node, another one every few seconds. */
    bool moving = false;
};

struct Verdict {
    std::uint64_t admitted = 0;
    std::uint64_t excess = 0;
    std::size_t mostHolders = 0;
};

/** One run of a fleet under load and disturbances. */
class Scenario
{
public:
    Scenario(std::uint64_t seed, const Setting &setting, QuotaFaults off)
        : m_fleet(seed, 2, 3, off, 20s)
        , m_random(seed + 1)
        , m_rate(setting.rate)
        , m_moving(setting.moving)
        , m_bound(setting.rate)
        , m_end(m_fleet.nodes.size())
    {
        m_fleet.faults = setting.faults;
        m_fleet.onDecision = [this](std::size_t, const AccountName &, AdmissionState state, Duration) {
            if (state == AdmissionState::Admitted) {
                ++m_verdict.admitted;
                m_verdict.excess += m_bound.admit(m_fleet.clock.now()) ? 0 : 1;
            }
        };
        for (std::size_t n = 0; n < m_fleet.nodes.size(); ++n) {
            m_fleet.setAccounts(n, { { Florist, m_rate } });
        }
    }

    Verdict run(const std::vector<Step> &steps)
    {
        advance(3s);
        for (const auto &it : steps) {
            disturb(it);
            advance(it.pause);
        }
        endAll();
        advance(5s);
        return m_verdict;
    }

private:
    void advance(Duration time)
    {
        const auto until = m_fleet.clock.now() + time;
        while (m_fleet.clock.now() < until) {
            m_fleet.step(5ms);
            endDue();
            // Demand above the rate, so that whatever is minted too much is also admitted.
            const auto perStep = static_cast<double>(m_rate.rate) / OneToken * 0.005 * 3 + 0.02;
            if (m_fleet.clock.now() >= m_moveAt) {
                m_hot = m_random.below(m_fleet.nodes.size());
                m_moveAt = m_fleet.clock.now() + std::chrono::milliseconds(500 + m_random.below(5'000));
            }
            const auto requests = static_cast<int>(perStep + m_random.unit());
            for (int request = 0; request < requests; ++request) {
                const auto n = m_moving ? m_hot : m_random.below(m_fleet.nodes.size());
                if (m_fleet.nodes[n].running && !m_fleet.nodes[n].paused) {
                    m_fleet.request(n, Florist);
                }
            }
            m_verdict.mostHolders = std::max(m_verdict.mostHolders, m_fleet.mostHolders());
        }
    }

    void disturb(const Step &step)
    {
        const auto n = step.node % m_fleet.nodes.size();
        const auto until = m_fleet.clock.now() + step.duration;
        auto &node = m_fleet.nodes[n];
        switch (step.kind) {
        case Disturbance::Pause:
            m_fleet.pause(n);
            m_end[n] = until;
            break;
        case Disturbance::CrashAndRestart:
            node.running = false;
            m_end[n] = until;
            break;
        case Disturbance::CrashAndRemove:
            node.running = false;
            for (auto &it : m_fleet.nodes) {
                it.shares->nodeRemoved(QuotaFleet::name(n));
            }
            m_end[n] = until;
            break;
        case Disturbance::DrainAndRestart:
            node.shares->drain(m_fleet.clock.now());
            m_end[n] = until;
            break;
        case Disturbance::Partition:
            m_fleet.connected = [](std::size_t a, std::size_t b) {
                return a == b;
            };
            m_partitionEnd = until;
            break;
        case Disturbance::Outage:
            m_fleet.faults.outage = true;
            m_outageEnd = until;
            break;
        case Disturbance::LostAnswers:
            m_fleet.faults.lostAnswer = 0.5;
            break;
        default:
            changeRate();
        }
    }

    /** A change reaches the nodes one after the other; the bound is the greater of both until all loans have ended. */
    void changeRate()
    {
        const AccountRate changed{ m_rate.rate * (1 + m_random.below(4)) / 2, m_rate.burst * (1 + m_random.below(4)) / 2 };
        m_bound.setRate({ std::max(m_rate.rate, changed.rate), std::max(m_rate.burst, changed.burst) }, m_fleet.clock.now());
        for (std::size_t n = 0; n < m_fleet.nodes.size(); ++n) {
            m_fleet.setAccounts(n, { { Florist, changed } });
            advance(std::chrono::milliseconds(m_random.below(400)));
        }
        m_rate = changed;
        advance(2500ms);
        m_bound.setRate(changed, m_fleet.clock.now());
    }

    void endDue()
    {
        for (std::size_t n = 0; n < m_end.size(); ++n) {
            if (m_end[n] != TimePoint{} && m_fleet.clock.now() >= m_end[n]) {
                endAt(n);
            }
        }
        if (m_fleet.clock.now() >= m_partitionEnd) {
            m_fleet.connected = {};
        }
        m_fleet.faults.outage = m_fleet.faults.outage && m_fleet.clock.now() < m_outageEnd;
    }

    void endAt(std::size_t n)
    {
        m_end[n] = {};
        if (m_fleet.nodes[n].running && m_fleet.nodes[n].paused) {
            m_fleet.resume(n);
            return;
        }
        m_fleet.start(n);
        m_fleet.setAccounts(n, { { Florist, m_rate } });
    }

    void endAll()
    {
        for (std::size_t n = 0; n < m_end.size(); ++n) {
            if (m_end[n] != TimePoint{}) {
                endAt(n);
            }
        }
        m_partitionEnd = m_fleet.clock.now();
        m_outageEnd = m_fleet.clock.now();
    }

    QuotaFleet m_fleet;
    Random m_random;
    AccountRate m_rate;
    bool m_moving;
    std::size_t m_hot = 0;
    TimePoint m_moveAt{};
    FleetBound m_bound;
    Verdict m_verdict;
    std::vector<TimePoint> m_end;
    TimePoint m_partitionEnd{};
    TimePoint m_outageEnd{};
};

std::vector<Step> anySteps()
{
    const auto step = rc::gen::apply(
        [](int kind, std::size_t node, int duration, int pause) {
            return Step{ static_cast<Disturbance>(kind), node, std::chrono::milliseconds(duration), std::chrono::milliseconds(pause) };
        },
        rc::gen::inRange(0, static_cast<int>(Disturbance::Count)),
        rc::gen::inRange<std::size_t>(0, 6),
        rc::gen::inRange(0, 40'000),
        rc::gen::inRange(0, 8'000));
    return *rc::gen::resize(10, rc::gen::container<std::vector<Step>>(step));
}

AccountRate anyRate()
{
    return *rc::gen::element(AccountRate{ 200 * OneToken, 50 * OneToken },
                             AccountRate{ 200 * OneToken, 13 * OneToken },
                             AccountRate{ 2 * OneToken, 60 * OneToken },
                             AccountRate{ 40 * OneToken, 6 * OneToken },
                             AccountRate{ 3 * OneToken, OneToken },
                             AccountRate{ OneToken / 2, 2 * OneToken });
}

} // namespace

// Guards against any way by which an account gets more than its rate and burst summed over all nodes, or by which two
// processes use the same share.
TEST(QuotaPropertyTest, NeverMoreThanRateAndBurst)
{
    EXPECT_TRUE(rc::check("admitted <= rate x time + burst in every interval", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto harsh = *rc::gen::arbitrary<bool>();
        const QuotaFleet::Faults faults{ harsh ? 0.05 : 0.0, harsh ? 0.1 : 0.01, harsh ? 0.1 : 0.01, false, 0.02 };
        const auto verdict = Scenario(seed, { anyRate(), faults, *rc::gen::arbitrary<bool>() }, {}).run(anySteps());
        RC_ASSERT(verdict.excess == 0U);
        RC_ASSERT(verdict.mostHolders <= 1U);
    }));
}

struct FaultCase {
    const char *name;
    QuotaFaults off;
    Setting setting;
    std::vector<Step> steps;
};

class QuotaFaultTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against a property that holds only because it never looks: with a mechanism turned off it must fail.
TEST_P(QuotaFaultTest, PropertyFailsWithoutTheMechanism)
{
    std::uint64_t violations = 0;
    std::uint64_t intact = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto broken = Scenario(seed, GetParam().setting, GetParam().off).run(GetParam().steps);
        const auto whole = Scenario(seed, GetParam().setting, {}).run(GetParam().steps);
        violations += broken.excess + (broken.mostHolders > 1 ? 1 : 0);
        intact += whole.excess + (whole.mostHolders > 1 ? 1 : 0);
    }
    EXPECT_GT(violations, 0U);
    EXPECT_EQ(intact, 0U);
}

namespace
{

std::vector<Step> repeated(Disturbance kind, std::size_t times, std::chrono::milliseconds duration, std::chrono::milliseconds pause)
{
    std::vector<Step> steps;
    for (std::size_t n = 0; n < times; ++n) {
        steps.push_back({ kind, n, duration, pause });
    }
    return steps;
}

QuotaFaults off(bool QuotaFaults::*mechanism)
{
    QuotaFaults faults;
    faults.*mechanism = true;
    return faults;
}

/** More burst than a restart costs in rate, and the other way round. */
constexpr AccountRate LargeBurst{ 2 * OneToken, 60 * OneToken };
constexpr AccountRate LargeRate{ 400 * OneToken, 13 * OneToken };
constexpr QuotaFleet::Faults Quiet{};
constexpr QuotaFleet::Faults Repeating{ 0, 1, 0, false, 0 };
constexpr QuotaFleet::Faults Late{ 0, 0, 0.5, false, 0 };
const std::vector<Step> Undisturbed = repeated(Disturbance::Outage, 2, 1s, 10s);

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Mechanisms,
    QuotaFaultTest,
    testing::Values(FaultCase{ "EmptyBucket",
                               off(&QuotaFaults::newHolderStartsFull),
                               { LargeBurst, Quiet, false },
                               repeated(Disturbance::CrashAndRestart, 8, 50ms, 5s) },
                    FaultCase{ "GiverSubtracts", off(&QuotaFaults::giverKeepsTokens), { LargeBurst, Quiet, true }, Undisturbed },
                    FaultCase{ "GiverReservesCapacity", off(&QuotaFaults::giverKeepsCapacity), { LargeRate, Quiet, true }, Undisturbed },
                    FaultCase{ "LateGrants", off(&QuotaFaults::lateGrantsAccepted), { LargeRate, Late, true }, Undisturbed },
                    FaultCase{ "RepeatedGrants", off(&QuotaFaults::repeatedGrantsAccepted), { LargeRate, Repeating, true }, Undisturbed },
                    FaultCase{
                        "Lease", off(&QuotaFaults::leaseIgnored), { LargeBurst, Quiet, false }, { { Disturbance::Pause, 1, 40s, 45s } } },
                    FaultCase{ "WaitAfterReclaim",
                               off(&QuotaFaults::reclaimWithoutWaiting),
                               { LargeRate, Quiet, true },
                               repeated(Disturbance::CrashAndRestart, 12, 50ms, 3s) }),
    [](const auto &testCase) {
        return std::string(testCase.param.name);
    });
