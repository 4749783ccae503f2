#include "mesh/decisions/calltreeadmission.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

const ServiceName Reminders("reminders");
const ServiceName Catalogue("catalogue");
const RouteName Browse("browse/catalogue");
const RouteName Order("order/orders");
const RouteName Check("check/reminders");
const RouteName Occasions("occasions/occasions");

/** Load at four entry nodes. */
struct LoadCase {
    const char *name;
    /** Slots of the smallest service. */
    double slots;
    /** Minimum and maximum admitted fraction of each request kind, in the order browse, order, check, occasions. */
    std::array<std::pair<double, double>, 4> admitted;
};

class CallTreeAdmissionTest : public ::testing::TestWithParam<LoadCase>
{
};

struct RequestKind {
    RouteName route;
    std::uint32_t rank;
    double rate;
    std::vector<ServiceWork> work;
};

/** The request kinds of the Vienna site at their typical rates, a quarter of which arrives at each node. */
const std::vector<RequestKind> RequestKinds{
    { Browse, 4, 47, { { Catalogue, 450'000 }, { Reminders, 240'000 } } },
    { Order, 0, 19, { { ServiceName("orders"), 300'000 }, { Reminders, 120'000 } } },
    { Check, 2, 19, { { Reminders, 48'000 } } },
    { Occasions, 4, 19, { { ServiceName("occasions"), 300'000 } } },
};

} // namespace

/**
 * Guards against shedding at services where the work of the services above is already lost. With too few slots at the smallest service, the
 * most urgent call trees are admitted, the least urgent ones share the rest, those that don't reach the service aren't affected, and the
 * admitted load fits the slots.
 */
TEST_P(CallTreeAdmissionTest, SlotsAreDividedByRank)
{
    constexpr std::size_t Nodes = 4;
    constexpr Duration Length = 6s;
    constexpr Duration Step = 1ms;
    std::array<CallTreeAdmission, Nodes> nodes;
    for (auto &node : nodes) {
        for (const auto &kind : RequestKinds) {
            node.recordWork(kind.route, kind.work);
        }
    }
    std::array<std::array<int, 2>, 4> counts{}; // admitted, requested, of the second half
    double busySeconds = 0;
    std::array<double, 4> due{};
    std::size_t next = 0;
    for (Duration elapsed{}; elapsed < Length; elapsed += Step) {
        const TimePoint now = TimePoint{ 1h } + elapsed;
        if (elapsed % CallTreeAdmission::AdjustInterval == 0ms) {
            for (std::size_t n = 0; n < Nodes; ++n) {
                for (std::size_t other = 0; other < Nodes; ++other) {
                    if (n != other) {
                        nodes.at(n).applyReport({ NodeName(std::to_string(other)) }, nodes.at(other).demand(), now);
                    }
                }
                nodes.at(n).setCapacity(Reminders, { GetParam().slots, GetParam().slots, 20ms });
                for (const char *it : { "catalogue", "orders", "occasions" }) {
                    nodes.at(n).setCapacity(ServiceName(it), { 400, 100, 0ms });
                }
                nodes.at(n).adjust(now);
            }
        }
        for (std::size_t n = 0; n < RequestKinds.size(); ++n) {
            for (due.at(n) += RequestKinds[n].rate * Nodes * std::chrono::duration<double>(Step).count(); due.at(n) >= 1; due.at(n) -= 1) {
                const bool admitted = !nodes.at(next++ % Nodes).admit(RequestKinds[n].route, RequestKinds[n].rank, now);
                if (elapsed < Length / 2) {
                    continue;
                }
                counts.at(n)[0] += admitted ? 1 : 0;
                ++counts.at(n)[1];
                for (const auto &it : RequestKinds[n].work) {
                    busySeconds += admitted && it.service == Reminders ? it.microseconds / 1e6 : 0;
                }
            }
        }
    }
    for (std::size_t n = 0; n < RequestKinds.size(); ++n) {
        const double part = static_cast<double>(counts.at(n)[0]) / counts.at(n)[1];
        EXPECT_GE(part, GetParam().admitted.at(n).first) << RequestKinds[n].route.text();
        EXPECT_LE(part, GetParam().admitted.at(n).second) << RequestKinds[n].route.text();
    }
    EXPECT_LE(busySeconds, GetParam().slots * 3 * 1.05) << "the admitted load exceeds the slots";
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         CallTreeAdmissionTest,
                         ::testing::Values(LoadCase{ "Enough", 80, { { { 1, 1 }, { 1, 1 }, { 1, 1 }, { 1, 1 } } } },
                                           LoadCase{ "HalfLeft", 38, { { { 0.4, 0.6 }, { 1, 1 }, { 1, 1 }, { 1, 1 } } } },
                                           LoadCase{ "QuarterLeft", 19, { { { 0.05, 0.2 }, { 1, 1 }, { 1, 1 }, { 1, 1 } } } },
                                           LoadCase{ "EighthLeft", 10.5, { { { 0, 0.05 }, { 1, 1 }, { 0, 0.5 }, { 1, 1 } } } }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

/** Guards against routes that stay refused after the service that their call trees reached no longer exists. */
TEST(CallTreeAdmissionTest, RemovedServiceNoLongerLimitsItsRoutes)
{
    CallTreeAdmission admission;
    admission.recordWork(Browse, RequestKinds[0].work);
    admission.setCapacity(Catalogue, { 400, 0, 0ms });
    int admitted = 0;
    for (int n = 0; n < 40000; ++n) {
        const TimePoint now = TimePoint{ 1h } + n * 10ms;
        if (n % 10 == 0) {
            admission.setCapacity(Catalogue, { 400, 0, 0ms });
            admission.adjust(now);
        }
        if (!admission.admit(Browse, 4, now)) {
            admission.recordWork(Browse, { { Catalogue, 450'000 } });
            admitted = n >= 39000 ? admitted + 1 : admitted;
        }
    }
    EXPECT_EQ(admitted, 1000);
}

/**
 * Guards against retries of whole call trees while a nested service sheds, which take the capacity of call trees that could still finish.
 */
TEST(CallTreeAdmissionTest, UncongestedOnlyWhileAllServicesHaveCapacity)
{
    struct Case {
        double slots;
        Duration wait;
        bool uncongested;
    };
    for (const auto &it : { Case{ 80, 0ms, true }, Case{ 80, 15ms, false }, Case{ 10, 0ms, false } }) {
        CallTreeAdmission admission;
        EXPECT_FALSE(admission.isUncongested(Browse)) << "unknown route";
        admission.recordWork(Browse, { { Catalogue, 400'000, 1 }, { Reminders, 200'000, 8 } });
        for (int n = 0; n < 2000; ++n) {
            const TimePoint now = TimePoint{ 1h } + n * 10ms;
            // 100 requests per second need 40 slots of the first service and 20 of the second.
            static_cast<void>(admission.admit(Browse, 2, now));
            if (n % 10 == 0) {
                admission.setCapacity(Catalogue, { 400, 40, 0ms });
                admission.setCapacity(Reminders, { it.slots, 20, it.wait });
                admission.adjust(now);
            }
        }
        EXPECT_EQ(admission.isUncongested(Browse), it.uncongested) << it.slots;
    }
}

} // namespace Pimentohollow
