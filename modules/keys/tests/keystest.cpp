#include "keys/keys.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;

namespace
{

const std::string Pepper = "pepper-0123456789";

KeyRecord record(const std::string &id, const ClientKey &key)
{
    return { KeyId(id), AccountName("florist"), keyDigest(Pepper, key.reveal()), false };
}

Withdrawal withdrawal(const std::string &key)
{
    return { KeyId(key), "maria", "lost laptop", 1796353827 };
}

} // namespace

// Guards against a digest that other tools can't reproduce: RFC 4231, test case 2.
TEST(KeyDigestTest, MatchesPublishedVector)
{
    EXPECT_EQ(digestText(keyDigest("Jefe", "what do ya want for nothing?")),
              "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against keys that repeat or don't have the documented form.
TEST(ClientKeyTest, GeneratedKeysAreWellFormedAndDiffer)
{
    const auto first = ClientKey::generate();
    const auto second = ClientKey::generate();
    ASSERT_TRUE(first && second);
    EXPECT_TRUE(ClientKey::wellFormed(first->reveal()));
    EXPECT_THAT(first->reveal(), testing::StartsWith("ph_"));
    EXPECT_NE(first->reveal(), second->reveal());
}

// Guards against accepting a key that differs in any one character.
TEST(KeyTableTest, AcceptsOnlyTheExactKey)
{
    const auto key = *ClientKey::generate();
    KeyTable table(Pepper);
    table.replaceKeys({ record("k1", key) });
    EXPECT_EQ(table.check(key.reveal()).status, KeyStatus::Valid);
    EXPECT_EQ(table.check(key.reveal()).account.text(), "florist");
    for (std::size_t n = 0; n < key.reveal().size(); ++n) {
        std::string other = key.reveal();
        other[n] = other[n] == 'A' ? 'B' : 'A';
        EXPECT_EQ(table.check(other).status, KeyStatus::Unknown) << n;
    }
    EXPECT_EQ(table.check("").status, KeyStatus::Unknown);
    EXPECT_EQ(table.check(key.reveal() + "A").status, KeyStatus::Unknown);
}

// Guards against an older configuration, or one without the key, that brings a withdrawn key back.
TEST(KeyTableTest, WithdrawalSurvivesOlderConfigurations)
{
    const auto key = *ClientKey::generate();
    KeyTable table(Pepper);
    const KeyRecord valid = record("k1", key);
    KeyRecord withdrawn = valid;
    withdrawn.withdrawn = true;
    table.replaceKeys({ withdrawn });
    table.replaceKeys({});
    table.replaceKeys({ valid });
    EXPECT_EQ(table.check(key.reveal()).status, KeyStatus::Withdrawn);
}

// Guards against a withdrawal that is lost because it arrives before the key, and against recording one twice.
TEST(KeyTableTest, SignedWithdrawalIsInForceUntilAndAfterItIsRecorded)
{
    const auto key = *ClientKey::generate();
    KeyTable table(Pepper);
    EXPECT_TRUE(table.withdraw(signWithdrawal(Pepper, withdrawal("k1"))));
    EXPECT_EQ(table.unrecordedWithdrawals().size(), 1U);
    KeyRecord recorded = record("k1", key);
    table.replaceKeys({ recorded });
    EXPECT_EQ(table.check(key.reveal()).status, KeyStatus::Withdrawn);
    recorded.withdrawn = true;
    table.replaceKeys({ recorded });
    EXPECT_TRUE(table.unrecordedWithdrawals().empty());
    EXPECT_EQ(table.signedWithdrawals().size(), 1U);
}

// Guards against a stranger, or a node that alters a message, withdrawing keys.
TEST(WithdrawalTest, RefusesAnyAlteration)
{
    const SignedWithdrawal good = signWithdrawal(Pepper, withdrawal("k1"));
    std::vector<SignedWithdrawal> forged(6, good);
    forged[0].withdrawal.key = KeyId("k2");
    forged[1].withdrawal.author = "eve";
    forged[2].withdrawal.reason += "!";
    forged[3].withdrawal.time += 1;
    forged[4].signature[0] = forged[4].signature[0] == '0' ? '1' : '0';
    forged[5] = signWithdrawal("another-pepper-0123", withdrawal("k1"));
    KeyTable table(Pepper);
    for (const auto &it : forged) {
        EXPECT_FALSE(table.withdraw(it));
    }
    EXPECT_FALSE(table.isWithdrawn(KeyId("k1")));
    EXPECT_TRUE(table.withdraw(good));
}

// Guards against a request body that loses a field on the way to the node.
TEST(WithdrawalTest, BodyReadsBack)
{
    const SignedWithdrawal good = signWithdrawal(Pepper, withdrawal("k1"));
    EXPECT_EQ(parseWithdrawal(writeWithdrawal(good)), good);
    EXPECT_FALSE(parseWithdrawal("{}"));
    EXPECT_FALSE(parseWithdrawal("[1]"));
    EXPECT_FALSE(parseWithdrawal(std::string(9000, ' ')));
}

// Guards against nodes that never agree because they learned the withdrawals in another order or twice.
RC_GTEST_PROP(KeyTableProperty, DigestDependsOnlyOnTheSet, ())
{
    const auto ids = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 8U));
    KeyTable forward(Pepper);
    KeyTable backward(Pepper);
    for (const unsigned it : ids) {
        forward.withdraw(signWithdrawal(Pepper, withdrawal("k" + std::to_string(it))));
    }
    const std::set<unsigned> unique(ids.begin(), ids.end());
    for (auto it = unique.rbegin(); it != unique.rend(); ++it) {
        backward.withdraw(signWithdrawal(Pepper, withdrawal("k" + std::to_string(*it))));
    }
    RC_ASSERT(forward.withdrawalsDigest() == backward.withdrawalsDigest());
    RC_ASSERT((forward.withdrawalsDigest() == KeyTable(Pepper).withdrawalsDigest()) == ids.empty());
}

// Guards against crashes on random request bodies.
RC_GTEST_PROP(WithdrawalProperty, ParserNeverCrashes, (const std::string &text))
{
    parseWithdrawal(text);
    std::string mutated = writeWithdrawal(signWithdrawal(Pepper, withdrawal("k1")));
    for (const char it : text) {
        mutated[static_cast<unsigned char>(it) % mutated.size()] = it;
    }
    parseWithdrawal(mutated);
}
