#include "messages/messages.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;

namespace
{

std::string text(const MessageAuthenticator::Tag &tag)
{
    return { tag.begin(), tag.end() };
}

} // namespace

// Guards against tags that a stranger could produce or that don't cover the whole message.
TEST(MessageAuthenticatorTest, AcceptsOnlyTheSameDataAndSecret)
{
    const MessageAuthenticator ours("fleet secret");
    const MessageAuthenticator stranger("another secret");
    const std::string tag = text(ours.tag("payload"));
    EXPECT_TRUE(ours.verify("payload", tag));
    EXPECT_FALSE(ours.verify("payloae", tag));
    EXPECT_FALSE(ours.verify("payload", tag.substr(1)));
    EXPECT_FALSE(stranger.verify("payload", tag));
}
