#include "mesh/node/eracheckedstore.h"

#include <gtest/gtest.h>

namespace Pimentohollow
{

namespace
{

/** A store whose answers name the same era until a test changes it. */
class NumberedStore : public FleetStore
{
public:
    StoreEra era = 0;
    std::size_t calls = 0;

    Result<RulesState> readRules() override
    {
        ++calls;
        return RulesState{ {}, { era, 1 } };
    }

    Result<RulesState> watchRules(const StorePosition & /*position*/, const WatchLimits & /*limits*/) override
    {
        return readRules();
    }

    Result<DirectoryState> readDirectory() override
    {
        ++calls;
        return DirectoryState{ {}, { era, 1 } };
    }

    Result<EntryState> readEntry(const IpEndpoint & /*peerAddress*/) override
    {
        ++calls;
        return EntryState{ {}, { era, 1 } };
    }

    Result<DirectoryChanges> watchDirectory(const StorePosition & /*position*/, const WatchLimits & /*limits*/) override
    {
        ++calls;
        return DirectoryChanges{ {}, { era, 1 } };
    }

    Result<StoreEra> publish(const DirectoryEntry & /*entry*/) override
    {
        ++calls;
        return era;
    }

    Result<StoreEra> addDepartures(const IpEndpoint & /*peerAddress*/, const UpstreamDepartures & /*departures*/) override
    {
        ++calls;
        return era;
    }

    Result<StoreEra> withdraw(const DirectoryEntry & /*entry*/) override
    {
        ++calls;
        return era;
    }
};

enum class Call {
    ReadRules,
    WatchRules,
    ReadDirectory,
    ReadEntry,
    WatchDirectory,
    Publish,
    AddDepartures,
    Withdraw
};

/** Returns the error of a call, or nothing. @param positionEra era of the position that watch calls name */
std::optional<ErrorKind> errorOf(EraCheckedStore &store, Call call, StoreEra positionEra)
{
    const StorePosition position{ positionEra, 1 };
    const auto kindOf = [](const auto &result) {
        return result ? std::nullopt : std::optional(result.error().kind);
    };
    switch (call) {
    case Call::ReadRules:
        return kindOf(store.readRules());
    case Call::WatchRules:
        return kindOf(store.watchRules(position, {}));
    case Call::ReadDirectory:
        return kindOf(store.readDirectory());
    case Call::ReadEntry:
        return kindOf(store.readEntry({}));
    case Call::WatchDirectory:
        return kindOf(store.watchDirectory(position, {}));
    case Call::Publish:
        return kindOf(store.publish({}));
    case Call::AddDepartures:
        return kindOf(store.addDepartures({}, {}));
    case Call::Withdraw:
        return kindOf(store.withdraw({}));
    }
    return std::nullopt;
}

struct EraCase {
    const char *name;
    Call call;
    StoreEra knownEra;
    /** Era of the position that a watch call names. */
    StoreEra positionEra;
    StoreEra answerEra;
    std::optional<ErrorKind> error;
    /** True if the owner is told of a new era. */
    bool changes;
    StoreEra eraAfterwards;
};

class EraCheckedStoreTest : public ::testing::TestWithParam<EraCase>
{
};

} // namespace

/** Guards against use of what the store said of a history that it no longer has. */
TEST_P(EraCheckedStoreTest, AnswersHoldInTheNewestEraOnly)
{
    const auto &it = GetParam();
    NumberedStore store;
    std::size_t changes = 0;
    EraCheckedStore checked(store, [&changes] {
        ++changes;
    });
    checked.learnEra(it.knownEra, "peer");
    EXPECT_EQ(changes, 0U) << "nothing was known before";
    store.era = it.answerEra;
    EXPECT_EQ(errorOf(checked, it.call, it.positionEra), it.error);
    EXPECT_EQ(changes, it.changes ? 1U : 0U);
    EXPECT_EQ(checked.era(), it.eraAfterwards);
}

INSTANTIATE_TEST_SUITE_P(
    Calls,
    EraCheckedStoreTest,
    ::testing::Values(EraCase{ "FirstRead", Call::ReadRules, 0, 0, 4, {}, false, 4 },
                      EraCase{ "StoreWithoutEras", Call::WatchRules, 0, 0, 0, {}, false, 0 },
                      EraCase{ "WatchInTheSameEra", Call::WatchRules, 4, 4, 4, {}, false, 4 },
                      EraCase{ "WatchAcrossARestore", Call::WatchRules, 4, 4, 5, ErrorKind::NotFound, true, 5 },
                      EraCase{ "WatchAcrossTwoRestores", Call::WatchDirectory, 4, 4, 6, ErrorKind::NotFound, true, 6 },
                      EraCase{ "PositionOfAnEarlierEra", Call::WatchDirectory, 5, 4, 5, ErrorKind::NotFound, false, 5 },
                      EraCase{ "LateAnswerToAWatch", Call::WatchRules, 5, 5, 4, ErrorKind::Unavailable, false, 5 },
                      EraCase{ "LateAnswerToARead", Call::ReadRules, 5, 0, 4, ErrorKind::Unavailable, false, 5 },
                      EraCase{ "LateAnswerToADirectoryRead", Call::ReadDirectory, 5, 0, 4, ErrorKind::Unavailable, false, 5 },
                      EraCase{ "LateAnswerToAnEntryRead", Call::ReadEntry, 5, 0, 4, ErrorKind::Unavailable, false, 5 },
                      EraCase{ "ReadAfterARestore", Call::ReadDirectory, 4, 0, 5, {}, true, 5 },
                      EraCase{ "LateAnswerToAWrite", Call::Publish, 5, 0, 4, ErrorKind::Unavailable, false, 5 },
                      EraCase{ "WriteAfterARestore", Call::Publish, 4, 0, 5, {}, true, 5 },
                      EraCase{ "LateAnswerToAnAddition", Call::AddDepartures, 5, 0, 4, ErrorKind::Unavailable, false, 5 },
                      EraCase{ "LateAnswerToARemoval", Call::Withdraw, 5, 0, 4, ErrorKind::Unavailable, false, 5 }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

/** Guards against a call that waits in vain although the node already knows that its position is gone. */
TEST(EraCheckedStorePeerTest, PositionOfAnEarlierEraCostsNoCall)
{
    NumberedStore store;
    EraCheckedStore checked(store, [] {});
    checked.learnEra(5, "peer");
    EXPECT_EQ(errorOf(checked, Call::WatchDirectory, 4), ErrorKind::NotFound);
    EXPECT_EQ(store.calls, 0U);
}

/** Guards against nodes that take up an era again which others have left. */
TEST(EraCheckedStorePeerTest, EraOfAPeerThatIsBehindIsIgnored)
{
    NumberedStore store;
    std::size_t changes = 0;
    EraCheckedStore checked(store, [&changes] {
        ++changes;
    });
    checked.learnEra(5, "peer");
    checked.learnEra(4, "peer");
    checked.learnEra(5, "peer");
    EXPECT_EQ(checked.era(), 5U);
    EXPECT_EQ(changes, 0U);
    checked.learnEra(6, "peer");
    EXPECT_EQ(changes, 1U);
}

} // namespace Pimentohollow
