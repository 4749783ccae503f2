#include "core/core.h"

#include <gtest/gtest.h>
#include <thread>

using namespace Pimentohollow;
using namespace std::chrono_literals;

// Guards against error texts that lose the step or the peer.
TEST(ErrorTest, DescribesStepAndPeer)
{
    const Error error{ ErrorKind::Timeout, "table.get", "127.0.0.1:8000", "no answer within 200 ms" };
    EXPECT_EQ(error.describe(), "table.get (127.0.0.1:8000): timeout: no answer within 200 ms");
    EXPECT_EQ((Error{ ErrorKind::InvalidInput, "settings.parse", "", "bad" }).describe(), "settings.parse: invalid_input: bad");
}

// Guards against an enumerator whose name can't be parsed back.
TEST(EnumTableTest, NamesRoundTrip)
{
    for (const auto &it : RefusalReasonNames.entries()) {
        EXPECT_EQ(RefusalReasonNames.value(it.name), it.value);
    }
    EXPECT_FALSE(RefusalReasonNames.value("nonsense"));
}

struct LogCase {
    std::string value;
    std::string expected;
};

class LoggerTest : public testing::TestWithParam<LogCase>
{
};

// Guards against log injection: a value can't start a new line or forge a field.
TEST_P(LoggerTest, EscapesValues)
{
    EXPECT_EQ(Logger::format(LogLevel::Info, "test", "event", { { "key", GetParam().value } }),
              "level=info component=test event=event key=" + GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Values,
                         LoggerTest,
                         testing::Values(LogCase{ "plain", "plain" },
                                         LogCase{ "", "\"\"" },
                                         LogCase{ "two words", "\"two words\"" },
                                         LogCase{ "a\nlevel=error", "\"a\\x0alevel=error\"" },
                                         LogCase{ "say \"x\"", "\"say \\\"x\\\"\"" }));

// Guards against a full or closed mailbox that silently accepts messages.
TEST(MailboxTest, RefusesWhenFullOrClosed)
{
    Mailbox<int> mailbox(2);
    EXPECT_TRUE(mailbox.post(1));
    EXPECT_TRUE(mailbox.post(2));
    EXPECT_FALSE(mailbox.post(3));
    mailbox.close();
    EXPECT_FALSE(mailbox.post(4));
    EXPECT_EQ(mailbox.take(), 1);
    EXPECT_EQ(mailbox.take(), 2);
    EXPECT_EQ(mailbox.take(), std::nullopt);
}

// Guards against messages lost or reordered between threads.
TEST(MailboxTest, KeepsOrderAcrossThreads)
{
    constexpr int Count = 1000;
    Mailbox<int> mailbox(Count);
    std::thread sender([&mailbox] {
        for (int n = 0; n < Count; ++n) {
            mailbox.post(n);
        }
    });
    for (int n = 0; n < Count; ++n) {
        EXPECT_EQ(mailbox.take(), n);
    }
    sender.join();
}
