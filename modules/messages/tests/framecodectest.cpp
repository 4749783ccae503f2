#include "messages/messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;

namespace
{

constexpr std::size_t MaximumBytes = 4096;
const FramePosition Position{ "link", 7 };

CallRequest exampleCall(const std::string &body)
{
    CallRequest call;
    call.callId = 42;
    call.attemptId = "attempt";
    call.account = AccountName("florists");
    call.service = ServiceName("ordering");
    call.priority = Priority::Important;
    call.remaining = std::chrono::milliseconds(250);
    call.retriesLeft = 2;
    call.request = { "POST", "/orders", { { "Content-Type", "text/plain" } }, body };
    return call;
}

std::string payload(const std::string &frame)
{
    return frame.substr(FrameCodec::LengthBytes);
}

} // namespace

// Guards against fields lost or changed between the two sides.
RC_GTEST_PROP(FrameCodecTest, RoundTrips, (const std::string &body))
{
    const FrameCodec codec("secret", 100 * MaximumBytes);
    const auto frame = codec.encode(exampleCall(body), Position);
    RC_ASSERT(frame.has_value());
    RC_ASSERT(*codec.frameBytes(std::string_view(*frame).substr(0, FrameCodec::LengthBytes)) == frame->size() - FrameCodec::LengthBytes);
    const auto message = codec.decode(payload(*frame), Position);
    RC_ASSERT(message.has_value());
    const auto &call = std::get<CallRequest>(*message);
    RC_ASSERT(call.request == exampleCall(body).request);
    RC_ASSERT(call.priority == Priority::Important);
    RC_ASSERT(call.remaining == std::chrono::milliseconds(250));
}

// Guards against a changed, shortened or lengthened frame that is accepted, and against crashes on such frames.
RC_GTEST_PROP(FrameCodecTest, RefusesMutatedFrames, ())
{
    const FrameCodec codec("secret", MaximumBytes);
    std::string bytes = payload(*codec.encode(exampleCall("body"), Position));
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto flip = *rc::gen::inRange<int>(1, 256);
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        bytes[at] = static_cast<char>(bytes[at] ^ flip);
        break;
    case 1:
        bytes.resize(at);
        break;
    default:
        bytes.insert(at, 1, static_cast<char>(flip));
    }
    RC_ASSERT(!codec.decode(bytes, Position));
}

// Guards against crashes and huge allocations on payloads that carry a valid tag but no valid message.
RC_GTEST_PROP(FrameCodecTest, SurvivesAuthenticGarbage, (std::uint32_t tag, const std::string &garbage))
{
    const FrameCodec codec("secret", MaximumBytes);
    const MessageAuthenticator authenticator("secret");
    // The index of the message, valid or just beyond the last one, so that the garbage is read as its fields.
    std::string content(1, static_cast<char>(tag % 9));
    content += garbage;
    const std::string position = std::string("\0\0\0\0", 4) + std::string(8, '\0');
    const auto hmac = authenticator.tag(position + content);
    codec.decode(std::string(hmac.begin(), hmac.end()) + content, {});
}

// Guards against replayed or reflected frames and against frames of a stranger.
TEST(FrameCodecTest, BindsFramesToTheirPosition)
{
    const FrameCodec codec("secret", MaximumBytes);
    const std::string bytes = payload(*codec.encode(Heartbeat{ 1 }, Position));
    EXPECT_TRUE(codec.decode(bytes, Position));
    EXPECT_FALSE(codec.decode(bytes, { "link", 8 }));
    EXPECT_FALSE(codec.decode(bytes, { "kink", 7 }));
    EXPECT_FALSE(FrameCodec("other", MaximumBytes).decode(bytes, Position));
}

// Guards against memory allocated for a length that a stranger announced.
TEST(FrameCodecTest, BoundsTheLength)
{
    const FrameCodec codec("secret", MaximumBytes);
    EXPECT_FALSE(codec.frameBytes("\xff\xff\xff\x7f"));
    EXPECT_FALSE(codec.frameBytes(std::string_view("\x1f\0\0\0", 4)));
    EXPECT_EQ(codec.frameBytes(std::string_view("\0\x10\0\0", 4)), 4096U);
    EXPECT_FALSE(codec.frameBytes(std::string_view("\1\x10\0\0", 4)));
    EXPECT_FALSE(codec.encode(exampleCall(std::string(MaximumBytes, 'x')), Position));
}
