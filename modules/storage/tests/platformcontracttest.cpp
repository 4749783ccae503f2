#include "core/systemclock.h"
#include "standins/platform/platformstandin.h"
#include "storage/storage.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Pimentohollow;

namespace
{

/** An implementation under test, with the faults that it can be given. */
class Platform
{
public:
    virtual ~Platform() = default;
    virtual TableService &table() = 0;
    virtual ObjectStore &objects() = 0;
    virtual void inject(PlatformFault fault) = 0;
};

class MemoryPlatform : public Platform
{
public:
    TableService &table() override
    {
        return m_table;
    }
    ObjectStore &objects() override
    {
        return m_objects;
    }
    void inject(PlatformFault fault) override
    {
        m_faults->setAll(fault);
    }

private:
    std::shared_ptr<FaultInjector> m_faults = std::make_shared<FaultInjector>();
    MemoryTableService m_table{ m_faults };
    MemoryObjectStore m_objects{ m_faults };
};

class HttpPlatform : public Platform
{
public:
    HttpPlatform()
        : m_table(endpoint(), "pimentohollow", m_clock)
        , m_objects(endpoint(), "bucket", m_clock)
    {
    }
    ~HttpPlatform() override
    {
        EXPECT_EQ(m_standin.counters().badSignatures, 0U);
    }
    TableService &table() override
    {
        return m_table;
    }
    ObjectStore &objects() override
    {
        return m_objects;
    }
    void inject(PlatformFault fault) override
    {
        StandinBehaviour behaviour;
        behaviour.outage = fault == PlatformFault::Unavailable ? StandinOutage::Down : StandinOutage::None;
        behaviour.outage = fault == PlatformFault::Timeout ? StandinOutage::Hang : behaviour.outage;
        // Two, because the client repeats a call that fails on a reused connection.
        behaviour.loseAnswers = fault == PlatformFault::LostAnswer ? 2 : 0;
        m_standin.setBehaviour(behaviour);
    }

private:
    PlatformEndpoint endpoint()
    {
        PlatformEndpoint endpoint;
        endpoint.url = m_standin.url();
        endpoint.region = "local";
        endpoint.accessKeyId = PlatformStandin::AccessKeyId;
        endpoint.secretAccessKey = PlatformStandin::SecretAccessKey;
        endpoint.timeout = std::chrono::milliseconds(500);
        return endpoint;
    }

    SystemClock m_clock;
    PlatformStandin m_standin;
    HttpTableService m_table;
    HttpObjectStore m_objects;
};

template <typename T>
std::unique_ptr<Platform> make()
{
    return std::make_unique<T>();
}

const Row SampleRow{ { "text", std::string("a \"quoted\" \xc3\xa9 text") },
                     { "empty", std::string() },
                     { "bytes", std::string("\x00\xff\x01", 3) },
                     { "number", std::int64_t{ -9007199254740993 } } };

PutRow put(const std::string &sort, RowCondition condition = NoCondition(), Row row = SampleRow)
{
    return { { "p", sort }, std::move(row), std::move(condition) };
}

} // namespace

class PlatformContractTest : public testing::TestWithParam<std::unique_ptr<Platform> (*)()>
{
protected:
    bool commits(const std::vector<TableOperation> &operations)
    {
        const auto result = m_platform->table().transact(operations, "token-" + std::to_string(++m_token));
        EXPECT_TRUE(result) << result.error().describe();
        return result && result->committed;
    }

    std::unique_ptr<Platform> m_platform = GetParam()();
    int m_token = 0;
};

// Guards against values that change on the way through the protocol.
TEST_P(PlatformContractTest, RowsReadBackUnchanged)
{
    EXPECT_EQ(m_platform->table().get({ "p", "1" }).value(), std::nullopt);
    EXPECT_TRUE(commits({ put("1") }));
    EXPECT_EQ(m_platform->table().get({ "p", "1" }).value(), SampleRow);
}

struct ConditionCase {
    bool exists;
    RowCondition condition;
    bool holds;
};

// Guards against a condition that holds when it should not, which would let two writers both win.
TEST_P(PlatformContractTest, ConditionsDecide)
{
    const AttributeEquals right{ "number", std::int64_t{ -9007199254740993 } };
    const AttributeEquals wrong{ "number", std::int64_t{ -9007199254740992 } };
    const AttributeEquals otherType{ "number", std::string("-9007199254740993") };
    const AttributeEquals missing{ "none", std::string("x") };
    const std::vector<ConditionCase> cases{ { false, NoCondition(), true }, { false, RowAbsent(), true }, { false, right, false },
                                            { true, NoCondition(), true },  { true, RowAbsent(), false }, { true, right, true },
                                            { true, wrong, false },         { true, otherType, false },   { true, missing, false } };
    for (const auto &it : cases) {
        const std::string sort = "c" + std::to_string(m_token);
        if (it.exists) {
            commits({ put(sort) });
        }
        const RowKey key{ "p", sort };
        EXPECT_EQ(commits({ CheckRow{ key, it.condition } }), it.holds) << sort;
        EXPECT_EQ(commits({ put(sort, it.condition) }), it.holds) << sort;
        EXPECT_EQ(m_platform->table().get(key).value().has_value(), it.exists || it.holds) << sort;
        if (it.exists) {
            EXPECT_EQ(commits({ DeleteRow{ key, it.condition } }), it.holds) << sort;
            EXPECT_EQ(m_platform->table().get(key).value().has_value(), !it.holds) << sort;
        }
    }
}

// Guards against half-applied transactions and against naming the wrong condition.
TEST_P(PlatformContractTest, TransactionsApplyWhollyOrNotAtAll)
{
    commits({ put("taken") });
    const std::vector<TableOperation> operations{ put("a"), put("taken", RowAbsent()), DeleteRow{ { "p", "taken" }, NoCondition() } };
    EXPECT_FALSE(m_platform->table().transact(operations, "duplicate-row"));
    const auto result = m_platform->table().transact({ put("a"), put("taken", RowAbsent()), put("b") }, "conflict");
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->committed);
    EXPECT_THAT(result->failedConditions, testing::ElementsAre(1));
    EXPECT_EQ(m_platform->table().get({ "p", "a" }).value(), std::nullopt);
}

// Guards against applying a repeated transaction twice, and against a token shared by two transactions.
TEST_P(PlatformContractTest, TokensMakeRepeatsHarmless)
{
    const std::string token(50, 't');
    EXPECT_TRUE(m_platform->table().transact({ put("once", RowAbsent()) }, token)->committed);
    EXPECT_TRUE(m_platform->table().transact({ put("once", RowAbsent()) }, token)->committed);
    const auto other = m_platform->table().transact({ put("other") }, token);
    ASSERT_FALSE(other);
    EXPECT_EQ(other.error().kind, ErrorKind::InvalidInput);
}

// Guards against pages that lose, repeat or reorder rows.
TEST_P(PlatformContractTest, QueriesReturnRangesInOrder)
{
    for (int n = 9; n >= 0; --n) {
        commits({ put(std::to_string(n), NoCondition(), { { "n", std::int64_t{ n } } }) });
    }
    const auto sorts = [this](const std::string &first, const std::string &last, std::size_t limit) {
        std::string text;
        const auto rows = m_platform->table().query("p", first, last, limit);
        for (const auto &it : *rows) {
            text += it.key.sort;
        }
        return text;
    };
    EXPECT_EQ(sorts("0", "9", 100), "0123456789");
    EXPECT_EQ(sorts("2", "7", 100), "234567");
    EXPECT_EQ(sorts("2", "7", 4), "2345");
    EXPECT_EQ(sorts("7", "2", 4), "");
    EXPECT_EQ(m_platform->table().query("q", "0", "9", 5)->size(), 0U);
}

// Guards against objects that come back shortened, or under another key.
TEST_P(PlatformContractTest, ObjectsReadBackWhole)
{
    std::string content(300000, '\0');
    for (std::size_t n = 0; n < content.size(); ++n) {
        content[n] = static_cast<char>(n * 7);
    }
    const std::string key = "config/snap shot+1%";
    EXPECT_EQ(m_platform->objects().get(key).value(), std::nullopt);
    EXPECT_TRUE(m_platform->objects().put(key, content));
    EXPECT_TRUE(m_platform->objects().put("empty", ""));
    EXPECT_EQ(m_platform->objects().get(key).value(), content);
    EXPECT_EQ(m_platform->objects().get("empty").value(), "");
    EXPECT_TRUE(m_platform->objects().remove(key));
    EXPECT_TRUE(m_platform->objects().remove(key));
    EXPECT_EQ(m_platform->objects().get(key).value(), std::nullopt);
}

// Guards against an outage that is reported as if something might have been written.
TEST_P(PlatformContractTest, OutageIsUnavailableAndWritesNothing)
{
    commits({ put("before") });
    m_platform->inject(PlatformFault::Unavailable);
    EXPECT_EQ(m_platform->table().transact({ put("1") }, "out").error().kind, ErrorKind::Unavailable);
    EXPECT_EQ(m_platform->table().get({ "p", "1" }).error().kind, ErrorKind::Unavailable);
    EXPECT_EQ(m_platform->objects().put("o", "x").error().kind, ErrorKind::Unavailable);
    m_platform->inject(PlatformFault::None);
    EXPECT_EQ(m_platform->table().get({ "p", "1" }).value(), std::nullopt);
    EXPECT_EQ(m_platform->objects().get("o").value(), std::nullopt);
}

// Guards against a write whose answer is lost being reported as not done.
TEST_P(PlatformContractTest, LostAnswerIsUnknownAndRepeatable)
{
    m_platform->inject(PlatformFault::LostAnswer);
    const auto lost = m_platform->table().transact({ put("1", RowAbsent()) }, "lost");
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().kind, ErrorKind::OutcomeUnknown);
    m_platform->inject(PlatformFault::None);
    EXPECT_EQ(m_platform->table().get({ "p", "1" }).value(), SampleRow);
    EXPECT_TRUE(m_platform->table().transact({ put("1", RowAbsent()) }, "lost")->committed);
}

// Guards against a silent service that is reported as unavailable although the write may still happen.
TEST_P(PlatformContractTest, SilenceIsATimeout)
{
    m_platform->inject(PlatformFault::Timeout);
    EXPECT_EQ(m_platform->table().transact({ put("1") }, "silent").error().kind, ErrorKind::Timeout);
    EXPECT_EQ(m_platform->objects().put("o", "x").error().kind, ErrorKind::Timeout);
    EXPECT_EQ(m_platform->objects().get("o").error().kind, ErrorKind::Timeout);
}

// Guards against malformed requests that reach the platform.
TEST_P(PlatformContractTest, RefusesInvalidInput)
{
    const std::vector<TableOperation> tooMany(TableService::MaximumOperations + 1, put("x"));
    EXPECT_EQ(m_platform->table().transact(tooMany, "t").error().kind, ErrorKind::InvalidInput);
    EXPECT_EQ(m_platform->table().transact({}, "t").error().kind, ErrorKind::InvalidInput);
    EXPECT_EQ(m_platform->table().transact({ put("") }, "t").error().kind, ErrorKind::InvalidInput);
    EXPECT_EQ(m_platform->table().transact({ put("x") }, "").error().kind, ErrorKind::InvalidInput);
    EXPECT_EQ(m_platform->objects().put("", "x").error().kind, ErrorKind::InvalidInput);
}

INSTANTIATE_TEST_SUITE_P(Memory, PlatformContractTest, testing::Values(&make<MemoryPlatform>));
INSTANTIATE_TEST_SUITE_P(Http, PlatformContractTest, testing::Values(&make<HttpPlatform>));
