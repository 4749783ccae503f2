#include "quota/tests/fleetbound.h"
#include "quota/tests/quotafleet.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const AccountName Florist("florist");
constexpr AccountRate Rate{ 60 * OneToken, 30 * OneToken };

/** A fleet of three data centres whose configuration names two or three of them. */
class SplitScenario
{
public:
    SplitScenario(std::uint64_t seed, QuotaFaults off)
        : m_fleet(seed, 3, 3, off, 40s)
        , m_random(seed)
        , m_bound(Rate)
    {
        m_fleet.onDecision = [this](std::size_t, const AccountName &, AdmissionState state, Duration) {
            excess += state == AdmissionState::Admitted && !m_bound.admit(m_fleet.clock.now()) ? 1 : 0;
        };
        for (std::size_t n = 0; n < m_fleet.nodes.size(); ++n) {
            m_fleet.setAccounts(n, { { Florist, Rate } });
        }
        configure(2, false);
    }

    /** The change reaches the nodes one after the other in the worst order: those that mint more by it first. */
    void configure(std::size_t dataCentres, bool slowly)
    {
        const bool added = dataCentres > m_fleet.configured;
        m_fleet.configured = dataCentres;
        for (std::size_t place = 0; place < m_fleet.nodes.size(); ++place) {
            const auto n = added ? m_fleet.nodes.size() - 1 - place : place;
            m_fleet.nodes[n].shares->setDataCentres(m_fleet.configuredDataCentres());
            if (slowly) {
                run(std::chrono::milliseconds(m_random.below(3'000)));
            }
        }
    }

    void run(Duration time)
    {
        const auto end = m_fleet.clock.now() + time;
        while (m_fleet.clock.now() < end) {
            m_fleet.step(5ms);
            m_fleet.request(m_random.below(m_fleet.nodes.size()), Florist);
        }
    }

    /** Whether the processes of a data centre mint. */
    bool mints(std::size_t dataCentre)
    {
        for (std::size_t n = 0; n < m_fleet.nodes.size(); ++n) {
            if (m_fleet.dataCentreOf(n) == dataCentre && m_fleet.nodes[n].ledger->activeShares(m_fleet.clock.now()) > 0) {
                return true;
            }
        }
        return false;
    }

    std::uint32_t split(std::size_t n) const
    {
        return m_fleet.nodes[n].shares->split();
    }

    std::uint64_t excess = 0;

private:
    QuotaFleet m_fleet;
    Random m_random;
    FleetBound m_bound;
};

} // namespace

// Guards against a new data centre that mints while others still divide by the old number, and against one that mints
// after it was removed.
TEST(QuotaSplitTest, AddingAndRemovingADataCentreKeepsTheBound)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SplitScenario scenario(seed, {});
        scenario.run(20s);
        EXPECT_TRUE(scenario.mints(0));
        EXPECT_FALSE(scenario.mints(2));
        scenario.configure(3, true);
        scenario.run(20s);
        EXPECT_TRUE(scenario.mints(2));
        EXPECT_EQ(scenario.split(0), 3U);
        scenario.configure(2, true);
        scenario.run(30s);
        EXPECT_FALSE(scenario.mints(2));
        EXPECT_EQ(scenario.split(0), 2U);
        EXPECT_EQ(scenario.excess, 0U);
    }
}

// Guards against a bound that holds without the check of the other data centres' rows.
TEST(QuotaSplitTest, BoundFailsWithoutTheCheck)
{
    QuotaFaults off;
    off.splitIgnored = true;
    std::uint64_t excess = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SplitScenario scenario(seed, off);
        scenario.run(20s);
        scenario.configure(3, true);
        scenario.run(20s);
        excess += scenario.excess;
    }
    EXPECT_GT(excess, 0U);
}
