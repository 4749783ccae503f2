#include "configuration/configuration.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const std::string GoodFleet = R"(defaults:
  deadline: 2s
  policy_profile: goodput
data_centres:
  - name: vienna-1
services:
  - name: catalogue
  - name: ordering
    maximum_limit: 160
routes:
  - name: occasions
    service: catalogue
    path_prefix: /occasions
    methods: [GET]
    idempotent: true
  - name: orders
    service: ordering
    path_prefix: /orders
    methods: [POST]
    important: true
accounts:
  - name: florist
    rate: 50
    burst: 100
exceptions:
  - name: florist-season
    reason: Valentine's Day, agreed with the florist
    expires: 2027-02-15T00:00:00Z
    account: florist
    rate: 80
  - name: slow-printer
    reason: the printer of the card shop answers slowly
    route: orders
    deadline: 5s
  - name: slow-printer-florist
    reason: the florist waits at the counter
    route: orders
    account: florist
    deadline: 1s
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

WallTime time(const std::string &text)
{
    return *parseTime(text);
}

} // namespace

struct FleetFault {
    std::string from;
    std::string to;
    int line;
    std::string field;
    std::string message;
};

void PrintTo(const FleetFault &fault, std::ostream *stream) // NOLINT(readability-identifier-naming)
{
    *stream << fault.to;
}

class FleetFaultTest : public testing::TestWithParam<FleetFault>
{
};

// Guards against a faulty document that is accepted, or rejected without file, line and field.
TEST_P(FleetFaultTest, NamesFileLineAndField)
{
    const auto &fault = GetParam();
    const auto fleet = parseFleet(replaced(GoodFleet, fault.from, fault.to), "fleet.yaml", DocumentScope::Declared);
    ASSERT_FALSE(fleet);
    const Finding &finding = fleet.error().front();
    EXPECT_EQ(finding.file, "fleet.yaml");
    EXPECT_EQ(finding.line, fault.line);
    EXPECT_EQ(finding.field, fault.field);
    EXPECT_THAT(finding.message, testing::HasSubstr(fault.message));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    FleetFaultTest,
    testing::Values(FleetFault{ "deadline: 2s", "deadline: 40s", 2, "defaults.deadline", "above the maximum" },
                    FleetFault{ "goodput", "best", 3, "defaults.policy_profile", "must be one of: balanced, goodput, fairness" },
                    FleetFault{ "service: ordering", "service: printing", 17, "routes[1].service", "unknown service 'printing'" },
                    FleetFault{ "name: orders", "name: occasions", 16, "routes[1]", "same name as routes[0] at line 11" },
                    FleetFault{ "path_prefix: /orders", "path_prefix: orders", 18, "routes[1].path_prefix", "start with '/'" },
                    FleetFault{ "path_prefix: /orders", "path_prefix: /orders/", 18, "routes[1].path_prefix", "end with" },
                    FleetFault{ "path_prefix: /orders", "path_prefix: /a/../b", 18, "routes[1].path_prefix", "segments" },
                    FleetFault{ "/orders\n    methods: [POST]", "/occasions\n    methods: [GET]", 18, "routes[1].path_prefix", "taken" },
                    FleetFault{ "methods: [POST]", "methods: [post]", 19, "routes[1].methods", "capital" },
                    FleetFault{ "methods: [POST]", "methods: POST", 19, "routes[1].methods", "must be a list" },
                    FleetFault{ "important: true", "important: yes", 20, "routes[1].important", "true or false" },
                    FleetFault{ "important: true", "urgent: true", 20, "routes[1].urgent", "unknown field" },
                    FleetFault{ "rate: 50", "rate: -1", 23, "accounts[0].rate", "between 0.001" },
                    FleetFault{ "rate: 50", "rate: .nan", 23, "accounts[0].rate", "number" },
                    FleetFault{ "rate: 50\n    ", "", 22, "accounts[0].rate", "is required" },
                    FleetFault{ "reason: Valentine's Day, agreed with the florist", "reason: ''", 27, "exceptions[0].reason", "empty" },
                    FleetFault{ "2027-02-15T00:00:00Z", "15.2.2027", 28, "exceptions[0].expires", "UTC time" },
                    FleetFault{ "2027-02-15T00:00:00Z", "2027-02-30T00:00:00Z", 28, "exceptions[0].expires", "UTC time" },
                    FleetFault{ "account: florist\n    rate", "account: baker\n    rate", 29, "exceptions[0].account", "unknown account" },
                    FleetFault{ "rate: 80", "queue_length: 80", 30, "exceptions[0].queue_length", "needs the scope service" },
                    FleetFault{ "    rate: 80\n", "", 26, "exceptions[0].name", "changes nothing" },
                    FleetFault{ "    account: florist\n    deadline: 1s", "    deadline: 1s", 38, "exceptions[2].deadline", "already" },
                    FleetFault{ "exceptions:", "keys: []\nexceptions:", 25, "keys", "managed by" }));

// Guards against precedence errors between defaults, routes and exceptions, and against expired exceptions that still act.
TEST(FleetViewTest, AppliesExceptionsByPrecedenceAndTime)
{
    const auto fleet = parseFleet(GoodFleet, "fleet.yaml", DocumentScope::Declared);
    ASSERT_TRUE(fleet) << describe(fleet.error());
    const FleetView view(7, *fleet);
    const AccountName florist("florist");
    EXPECT_EQ(view.accountLimits(florist, time("2027-02-14T23:59:59Z")), (AccountLimits{ 80, 100 }));
    EXPECT_EQ(view.accountLimits(florist, time("2027-02-15T00:00:00Z")), (AccountLimits{ 50, 100 }));
    EXPECT_EQ(view.accountLimits(AccountName("baker"), {}), std::nullopt);
    const RouteEntity *orders = view.route("POST", "/orders/17");
    ASSERT_NE(orders, nullptr);
    EXPECT_EQ(view.requestPolicy(*orders, florist, {}).deadline, 1s);
    EXPECT_EQ(view.requestPolicy(*orders, AccountName("baker"), {}).deadline, 5s);
    EXPECT_EQ(view.requestPolicy(*view.route("GET", "/occasions"), florist, {}).deadline, 2s);
    EXPECT_EQ(view.serviceLimits(ServiceName("ordering"), {}).maximumLimit, 160U);
}

struct RouteCase {
    std::string method;
    std::string path;
    std::string expected;
};

class RouteLookupTest : public testing::TestWithParam<RouteCase>
{
};

// Guards against a prefix that matches part of a segment, which would run a request under another route's rules.
TEST_P(RouteLookupTest, MatchesWholeSegments)
{
    const auto fleet = parseFleet(GoodFleet, "fleet.yaml", DocumentScope::Declared);
    const FleetView view(1, *fleet);
    const RouteEntity *route = view.route(GetParam().method, GetParam().path);
    EXPECT_EQ(route == nullptr ? "" : route->name.text(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Paths,
                         RouteLookupTest,
                         testing::Values(RouteCase{ "POST", "/orders", "orders" },
                                         RouteCase{ "POST", "/orders/1/2/3", "orders" },
                                         RouteCase{ "POST", "/orders-old", "" },
                                         RouteCase{ "POST", "/order", "" },
                                         RouteCase{ "GET", "/orders", "" },
                                         RouteCase{ "GET", "/occasions/", "occasions" },
                                         RouteCase{ "GET", "/occasionsx/y", "" },
                                         RouteCase{ "GET", "", "" },
                                         RouteCase{ "GET", "/", "" }));

// Guards against fields that are written but not read, or the other way round.
TEST(FleetConfigurationTest, WrittenDocumentReadsBack)
{
    auto fleet = *parseFleet(GoodFleet, "fleet.yaml", DocumentScope::Declared);
    fleet.upsert(
        KeyEntity{ KeyId("k1"), AccountName("florist"), std::string(64, 'a'), time("2026-12-04T00:00:00Z"), "say \"lost\" \\ \xc3\xa9" });
    fleet.upsert(DrainEntity{ NodeName("catalogue-1"), DrainMode::Removed, "disk", 12 });
    const auto back = parseFleet(writeFleet(fleet), "snapshot", DocumentScope::Complete);
    ASSERT_TRUE(back) << describe(back.error());
    EXPECT_EQ(*back, fleet);
    for (const auto &it : fleet.entities()) {
        const auto entity = parseEntity(entityId(it).kind, writeEntity(it), "entity");
        ASSERT_TRUE(entity) << describe(entity.error());
        EXPECT_EQ(*entity, it);
    }
}

// Guards against crashes on random bytes and on documents with a few bytes changed.
RC_GTEST_PROP(FleetParserProperty, NeverCrashes, ())
{
    std::string text = *rc::gen::element(GoodFleet, std::string(), std::string(5000, '['), std::string("- - - - - -"));
    const auto mutations = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, 4000), rc::gen::arbitrary<char>()));
    for (const auto &[at, byte] : mutations) {
        if (at < text.size()) {
            text[at] = byte;
        } else {
            text += byte;
        }
    }
    const auto fleet = parseFleet(text, "fleet.yaml", DocumentScope::Complete);
    if (fleet) {
        RC_ASSERT(parseFleet(writeFleet(*fleet), "again", DocumentScope::Complete) == *fleet);
    } else {
        RC_ASSERT(!fleet.error().empty());
    }
}
