#include "core/core.h"
#include "peer/peer.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

CallResponse answerWithBody(std::string body)
{
    return { 1, HttpResponseMessage{ 200, "OK", {}, std::move(body) }, 0, std::nullopt };
}

class CallRegistryTest : public testing::Test
{
protected:
    CallResponse ask(const std::string &attemptId, Duration age = 1s)
    {
        std::optional<CallResponse> result;
        registry.query(attemptId, age, [&result](const CallResponse &it) {
            result = it;
        });
        return result.value_or(answerWithBody("still running"));
    }

    static RunState ran(const CallResponse &response)
    {
        return std::get<Refusal>(response.result).ran;
    }

    ManualClock clock;
    CallRegistry registry{ clock };
};

} // namespace

// Guards against a second run of an attempt that was delivered twice.
TEST_F(CallRegistryTest, BeginsAnAttemptOnce)
{
    EXPECT_TRUE(registry.begin("a"));
    EXPECT_FALSE(registry.begin("a"));
    registry.finish("a", answerWithBody("x"));
    EXPECT_FALSE(registry.begin("a"));
}

// Guards against an outcome that is guessed: "not run" only for an attempt that can't have been forgotten.
TEST_F(CallRegistryTest, StatesNotRunOnlyForYoungAttempts)
{
    EXPECT_EQ(ran(ask("never seen")), RunState::NotRun);
    EXPECT_EQ(ran(ask("never seen", CallRegistry::MaximumAge + 1s)), RunState::Unknown);
}

// Guards against a lost answer: it is told when the attempt ends, and afterwards.
TEST_F(CallRegistryTest, TellsTheOutcome)
{
    registry.begin("a");
    std::string told;
    registry.query("a", 1s, [&told](const CallResponse &it) {
        told = std::get<HttpResponseMessage>(it.result).body;
    });
    EXPECT_EQ(told, "");
    registry.finish("a", answerWithBody("x"));
    EXPECT_EQ(told, "x");
    EXPECT_EQ(std::get<HttpResponseMessage>(ask("a").result).body, "x");
}

// Guards against unbounded memory, and against "not run" for an attempt whose answer was dropped.
TEST_F(CallRegistryTest, DropsAnswersButNotTheAttempt)
{
    constexpr std::size_t Big = CallRegistry::MaximumAnswerBytes / 2;
    for (const std::string id : { "a", "b", "c" }) {
        registry.begin(id);
        registry.finish(id, answerWithBody(std::string(Big, 'x')));
    }
    EXPECT_EQ(ran(ask("a")), RunState::Unknown);
    EXPECT_EQ(std::get<HttpResponseMessage>(ask("c").result).body.size(), Big);
}

// Guards against attempts kept for ever, and against a running one that is forgotten.
TEST_F(CallRegistryTest, ForgetsFinishedAttempts)
{
    registry.begin("finished");
    registry.finish("finished", answerWithBody("x"));
    registry.begin("running");
    clock.advance(CallRegistry::Retention + 1s);
    EXPECT_FALSE(registry.begin("running"));
    EXPECT_TRUE(registry.begin("finished"));
}
