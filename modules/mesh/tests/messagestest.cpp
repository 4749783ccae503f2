#include "mesh/messages/meshcodec.h"
#include "mesh/model/ruleindex.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Pimentohollow
{

namespace
{

RunFrame makeRunFrame(const std::string &body)
{
    RunFrame frame;
    frame.callId = 300;
    frame.service = ServiceName("orders");
    frame.origin = { RouteName("browse"), 4, true, false };
    frame.idempotent = true;
    frame.remainingMicroseconds = 800'000;
    frame.request = { "POST", "/order/a?b=c", { { "Host", "cards.example" } }, body };
    return frame;
}

} // namespace

/** Guards against frames that decode to other contents than were encoded when the bytes arrive in two parts. */
RC_GTEST_PROP(MeshCodecTest, DecodesFramesSplitAtAnyByte, (const std::string &body))
{
    std::string bytes;
    appendFrame(bytes, makeRunFrame(body));
    appendFrame(bytes, CancelFrame{ 300 });
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    std::string received = bytes.substr(0, cut);
    std::vector<MeshFrame> frames;
    const auto extractAll = [&] {
        std::string_view rest(received);
        while (true) {
            auto frame = extractFrame(rest);
            RC_ASSERT(frame.has_value());
            if (!*frame) {
                break;
            }
            frames.push_back(std::move(**frame));
        }
        received.erase(0, received.size() - rest.size());
    };
    extractAll();
    received += bytes.substr(cut);
    extractAll();
    RC_ASSERT(frames.size() == 2U);
    const auto &run = std::get<RunFrame>(frames[0]);
    RC_ASSERT(run.request == makeRunFrame(body).request);
    RC_ASSERT(run.origin.rootRoute == RouteName("browse"));
    RC_ASSERT(std::get<CancelFrame>(frames[1]).callId == 300U);
}

/** Guards against crashes and large allocations caused by untrusted bytes. */
RC_GTEST_PROP(MeshCodecTest, HandlesArbitraryBytes, (const std::string &bytes))
{
    std::string_view in(bytes);
    (void)extractFrame(in);
    std::string framed(4, '\0');
    framed[0] = static_cast<char>(bytes.size() & 0xffU);
    framed[1] = static_cast<char>(bytes.size() >> 8U & 0xffU);
    framed += bytes;
    in = framed;
    (void)extractFrame(in);
}

/** Guards against requests matched to the route of a shorter prefix, of another host, or of a prefix that ends inside a path segment. */
TEST(RuleIndexTest, SelectsTheLongestPrefixOfTheHost)
{
    TrafficRules rules;
    const auto add = [&rules](const char *name, const char *host, const char *prefix) {
        TrafficRoute route;
        route.name = RouteName(name);
        route.host = host;
        route.prefix = prefix;
        rules.routes.push_back(route);
    };
    add("all", "cards.example", "/");
    add("cards", "cards.example", "/cards/");
    add("old", "cards.example", "/cards/old/");
    add("other", "other.example", "/cards/");
    const RuleIndex index(rules);
    const auto name = [&index](const char *host, const char *target) {
        const auto *route = index.route(host, target);
        return route == nullptr ? std::string() : route->name.text();
    };
    EXPECT_EQ(name("cards.example", "/cards/old/x"), "old");
    EXPECT_EQ(name("cards.example", "/cards/older"), "cards");
    EXPECT_EQ(name("Cards.Example:80", "/cards/?q=/cards/old/"), "cards");
    EXPECT_EQ(name("cards.example", "/card"), "all");
    EXPECT_EQ(name("other.example", "/cards"), "");
    EXPECT_EQ(name("nowhere.example", "/"), "");
}

} // namespace Pimentohollow
