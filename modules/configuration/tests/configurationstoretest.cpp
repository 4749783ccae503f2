#include "fleetsamples.h"
#include "storage/storage.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

using namespace Pimentohollow;

namespace
{

class ConfigurationStoreTest : public testing::Test
{
protected:
    void applyChanges(std::uint64_t count)
    {
        for (std::uint64_t n = 0; n < count; ++n) {
            const auto change =
                makeRateChange(m_fleet, "a" + std::to_string(n % 5), static_cast<double>(n + 1), "c" + std::to_string(m_fleet.version));
            ASSERT_TRUE(m_store.apply(m_fleet, change).value().applied);
            m_fleet = *applyChange(m_fleet, change);
        }
    }

    void expectIntactAudit(std::uint64_t version)
    {
        const auto head = m_store.head();
        ASSERT_TRUE(head);
        EXPECT_EQ(head->version, version);
        const AuditChain chain(m_store.auditEntries(0, version).value());
        EXPECT_THAT(chain.verify({ 0, "", head->version, head->auditHash }), testing::IsEmpty());
        EXPECT_EQ(chain.entries().size(), version);
    }

    std::shared_ptr<FaultInjector> m_faults = std::make_shared<FaultInjector>();
    MemoryTableService m_table{ m_faults };
    MemoryObjectStore m_objects{ m_faults };
    ConfigurationStore m_store{ m_table, m_objects };
    VersionedFleet m_fleet;
};

} // namespace

// Guards against versions that can't be loaded again, with and without snapshots.
TEST_F(ConfigurationStoreTest, LoadsFromSnapshotAndChanges)
{
    EXPECT_EQ(m_store.load().value(), VersionedFleet());
    applyChanges(205);
    EXPECT_EQ(m_store.load().value(), m_fleet);
    EXPECT_TRUE(m_objects.get("config/snapshot/00000000000000000200").value());
    m_objects.remove("config/snapshot/00000000000000000200");
    EXPECT_EQ(m_store.load().value(), m_fleet);
    m_objects.remove("config/snapshot/00000000000000000100");
    EXPECT_EQ(m_store.load().value(), m_fleet);
    EXPECT_EQ(m_store.changes(200, 205, 3)->size(), 3U);
    expectIntactAudit(205);
}

// Guards against a change that fails because its snapshot can't be written.
TEST_F(ConfigurationStoreTest, SnapshotOutageDoesNotFailTheChange)
{
    applyChanges(99);
    m_faults->failNext("object.put", PlatformFault::Unavailable);
    applyChanges(1);
    EXPECT_EQ(m_store.load().value(), m_fleet);
}

struct ApplyFault {
    std::vector<std::pair<std::string, PlatformFault>> faults;
    /** Nothing if the change is applied after all. */
    std::optional<ErrorKind> error;
    bool inForce;
};

class ApplyFaultTest : public ConfigurationStoreTest, public testing::WithParamInterface<ApplyFault>
{
};

// Guards against a wrong report about a change when the platform fails at any step, and against half-applied changes.
TEST_P(ApplyFaultTest, ReportIsTrueAndNothingIsHalfApplied)
{
    applyChanges(2);
    for (const auto &[step, fault] : GetParam().faults) {
        m_faults->failNext(step, fault);
    }
    const auto outcome = m_store.apply(m_fleet, makeRateChange(m_fleet, "b", 7, "faulty"));
    if (GetParam().error) {
        ASSERT_FALSE(outcome);
        EXPECT_EQ(outcome.error().kind, *GetParam().error);
    } else {
        ASSERT_TRUE(outcome) << outcome.error().describe();
        EXPECT_TRUE(outcome->applied);
    }
    EXPECT_EQ(m_store.load()->fleet.accounts.contains(AccountName("b")), GetParam().inForce);
    expectIntactAudit(GetParam().inForce ? 3 : 2);
}

INSTANTIATE_TEST_SUITE_P(
    Steps,
    ApplyFaultTest,
    testing::Values(ApplyFault{ { { "table.get", PlatformFault::Unavailable } }, ErrorKind::Unavailable, false },
                    ApplyFault{ { { "table.get", PlatformFault::Timeout } }, ErrorKind::Unavailable, false },
                    ApplyFault{ { { "table.get", PlatformFault::LostAnswer } }, ErrorKind::Unavailable, false },
                    ApplyFault{ { { "table.transact", PlatformFault::Unavailable } }, ErrorKind::Unavailable, false },
                    ApplyFault{ { { "table.transact", PlatformFault::Timeout } }, std::nullopt, true },
                    ApplyFault{ { { "table.transact", PlatformFault::LostAnswer } }, std::nullopt, true },
                    ApplyFault{ { { "table.transact", PlatformFault::LostAnswer }, { "table.transact", PlatformFault::LostAnswer } },
                                std::nullopt,
                                true },
                    ApplyFault{ { { "table.transact", PlatformFault::Timeout }, { "table.transact", PlatformFault::Unavailable } },
                                std::nullopt,
                                true },
                    ApplyFault{ { { "table.transact", PlatformFault::Timeout },
                                  { "table.transact", PlatformFault::Timeout },
                                  { "table.transact", PlatformFault::Timeout } },
                                ErrorKind::OutcomeUnknown,
                                false }));

// Guards against a lost answer that is reported as a failure when the platform stays away after it.
TEST_F(ConfigurationStoreTest, LostAnswerBeforeAnOutageIsUnknown)
{
    applyChanges(1);
    int transactions = 0;
    m_faults->setHook([this, &transactions](const std::string &step) {
        if (step == "table.get" && transactions++ == 0) {
            m_faults->failNext("table.transact", PlatformFault::LostAnswer);
            m_faults->setAll(PlatformFault::Unavailable);
        }
    });
    const auto outcome = m_store.apply(m_fleet, makeRateChange(m_fleet, "b", 7, "lost"));
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().kind, ErrorKind::OutcomeUnknown);
    m_faults->setAll(PlatformFault::None);
    EXPECT_TRUE(m_store.load()->fleet.accounts.contains(AccountName("b")));
}

// Guards against two operators who both believe that their change is in force, at the closest possible point.
TEST_F(ConfigurationStoreTest, LaterOfTwoOperatorsGetsAClearConflict)
{
    applyChanges(3);
    bool raced = false;
    m_faults->setHook([this, &raced](const std::string &step) {
        if (step == "table.transact" && !raced) {
            raced = true;
            EXPECT_TRUE(m_store.apply(m_fleet, makeRateChange(m_fleet, "b", 1, "first"))->applied);
        }
    });
    const auto outcome = m_store.apply(m_fleet, makeRateChange(m_fleet, "b", 2, "second"));
    ASSERT_TRUE(outcome);
    EXPECT_FALSE(outcome->applied);
    EXPECT_EQ(outcome->version, 4U);
    ASSERT_TRUE(outcome->winner);
    EXPECT_EQ(outcome->winner->changeId, "first");
    EXPECT_EQ(m_store.load()->fleet.accounts.at(AccountName("b")).rate, 1);
    expectIntactAudit(4);
}

// Guards against a lost answer whose version is then taken by somebody else being reported as success.
TEST_F(ConfigurationStoreTest, OwnChangeIsToldFromAnotherOfTheSameVersion)
{
    applyChanges(1);
    m_faults->failNext("table.transact", PlatformFault::Timeout);
    // The second read is the one after the lost answer; the other operator commits just before it.
    int reads = 0;
    m_faults->setHook([&](const std::string &step) {
        if (step == "table.get" && ++reads == 2) {
            m_faults->setHook(nullptr);
            EXPECT_TRUE(m_store.apply(m_fleet, makeRateChange(m_fleet, "b", 1, "other"))->applied);
        }
    });
    const auto outcome = m_store.apply(m_fleet, makeRateChange(m_fleet, "b", 2, "own"));
    ASSERT_TRUE(outcome);
    EXPECT_FALSE(outcome->applied);
    EXPECT_EQ(outcome->winner->changeId, "other");
}

// Guards against lost or doubled versions when many operators work on one table.
TEST_F(ConfigurationStoreTest, RacingOperatorsEachTakeOneVersion)
{
    constexpr int Operators = 8;
    constexpr int ChangesEach = 10;
    std::vector<std::thread> threads;
    threads.reserve(Operators);
    for (int n = 0; n < Operators; ++n) {
        threads.emplace_back([this, n] {
            for (int done = 0; done < ChangesEach;) {
                const auto base = m_store.load().value();
                const std::string id = std::to_string(n) + "-" + std::to_string(base.version);
                const auto change = makeRateChange(base, "o" + std::to_string(n), static_cast<double>(base.version + 1), id);
                done += m_store.apply(base, change)->applied ? 1 : 0;
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    expectIntactAudit(static_cast<std::uint64_t>(Operators) * ChangesEach);
    EXPECT_EQ(m_store.load()->fleet.accounts.size(), static_cast<std::size_t>(Operators));
}

// Guards against faulty changes on the platform, where every node would refuse them.
TEST_F(ConfigurationStoreTest, RefusesChangesThatFailTheChecks)
{
    FleetConfiguration target;
    target.upsert(RouteEntity{ RouteName("r"), ServiceName("none"), "/r", { "GET" }, false, false, false, {}, {} });
    EXPECT_EQ(m_store.apply(m_fleet, makeChange(m_fleet, target, "bad")).error().kind, ErrorKind::InvalidInput);
    FleetChange unreasoned = makeRateChange(m_fleet, "a", 1, "c");
    unreasoned.reason = " ";
    EXPECT_EQ(m_store.apply(m_fleet, unreasoned).error().kind, ErrorKind::InvalidInput);
    EXPECT_EQ(m_store.head()->version, 0U);
}

// Guards against a withdrawal through nodes that is recorded twice, or that loses its operator.
TEST_F(ConfigurationStoreTest, TwoNodesRecordOneWithdrawalOnce)
{
    FleetConfiguration target;
    target.upsert(AccountEntity{ AccountName("a"), 1, 1 });
    target.upsert(KeyEntity{ KeyId("k"), AccountName("a"), std::string(64, 'a'), std::nullopt, std::nullopt });
    const auto issue = makeChange(m_fleet, target, "issue");
    ASSERT_TRUE(m_store.apply(m_fleet, issue)->applied);
    const VersionedFleet base = *applyChange(m_fleet, issue);
    const auto change = makeWithdrawalChange(base, KeyId("k"), "maria", "lost", *parseTime("2026-12-04T03:00:00Z"));
    ASSERT_TRUE(change);
    EXPECT_TRUE(m_store.apply(base, *change)->applied);
    EXPECT_TRUE(m_store.apply(base, *change)->applied);
    const auto stored = m_store.load().value();
    EXPECT_EQ(stored.version, 2U);
    EXPECT_FALSE(makeWithdrawalChange(stored, KeyId("k"), "maria", "lost", {}));
    EXPECT_FALSE(makeWithdrawalChange(stored, KeyId("none"), "maria", "lost", {}));
    EXPECT_EQ(m_store.auditEntries(1, 2)->front().author, "maria");
}
