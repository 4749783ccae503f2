#include "http/http.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const std::string Key = "ph_secret";

struct TargetCase {
    std::string before;
    std::string after;
};

class KeyInTargetTest : public testing::TestWithParam<TargetCase>
{
};

} // namespace

// Guards against forwarding a key in the query, and against altering any other part of the query.
TEST_P(KeyInTargetTest, IsRemovedFromQuery)
{
    HttpRequestMessage request{ "GET", GetParam().before, {}, "" };
    ASSERT_TRUE(removeKey(request, Key));
    EXPECT_EQ(request.target, GetParam().after);
}

INSTANTIATE_TEST_SUITE_P(Targets,
                         KeyInTargetTest,
                         testing::Values(TargetCase{ "/a", "/a" },
                                         TargetCase{ "/a?b=%20&&c", "/a?b=%20&&c" },
                                         TargetCase{ "/a?access_token=x", "/a" },
                                         TargetCase{ "/a?b=1&access_token=x&c=2", "/a?b=1&c=2" },
                                         TargetCase{ "/a?access%5Ftoken=x&c=2", "/a?c=2" },
                                         TargetCase{ "/a?b=ph_secret&c=2", "/a?c=2" },
                                         TargetCase{ "/a?b=xph_secretx", "/a" },
                                         TargetCase{ "/a?ph_secret=1&c", "/a?c" },
                                         TargetCase{ "/a?b=%70h_secret", "/a" },
                                         TargetCase{ "/a?b=%70h_secret&z=%zz", "/a?z=%zz" }));

// Guards against forwarding a key that can't be removed.
TEST(KeyRemovalTest, RefusesKeyInPathAndBody)
{
    for (const auto &[target, body] : { std::pair("/a/ph_secret", ""), std::pair("/a/%70h_secret", ""), std::pair("/a", "x ph_secret") }) {
        HttpRequestMessage request{ "POST", target, {}, body };
        EXPECT_FALSE(removeKey(request, Key)) << target << " " << body;
    }
}

// Guards against forwarding a key in headers of any name.
TEST(KeyRemovalTest, RemovesHeadersContainingKey)
{
    HttpRequestMessage request{ "GET",
                                "/",
                                { { "authorization", "Basic xyz" },
                                  { "Proxy-Authorization", "x" },
                                  { "Referer", "http://x/?t=%70h_secret" },
                                  { "X-ph_secret", "1" },
                                  { "X", "a ph_secret" },
                                  { "Kept", "ph_other" } },
                                "" };
    ASSERT_TRUE(removeKey(request, Key));
    EXPECT_EQ(request.headers, (HttpHeaders{ { "Kept", "ph_other" } }));
}

// Guards against credentials of another scheme, or an empty key, accepted as a bearer key.
TEST(KeyRemovalTest, AcceptsOnlyBearerCredentials)
{
    EXPECT_EQ(bearerKey({ { "authorization", "bearer  ph_a" } }), "ph_a");
    EXPECT_FALSE(bearerKey({ { "Authorization", "Bearer " } }));
    EXPECT_FALSE(bearerKey({ { "Authorization", "Basic ph_a" } }));
    EXPECT_FALSE(bearerKey({}));
}

// Guards against forwarding hop-by-hop headers, including those that only Connection names.
TEST(HopByHopTest, RemovesConnectionHeaders)
{
    HttpHeaders headers{
        { "connection", "close, X-Mine" }, { "X-Mine", "1" }, { "Keep-Alive", "1" }, { "TE", "trailers" }, { "Upgrade", "h2c" },
        { "Content-Length", "3" },         { "Kept", "1" }
    };
    removeHopByHopHeaders(headers);
    EXPECT_EQ(headers, (HttpHeaders{ { "Kept", "1" } }));
}

// Guards against a Retry-After that is too short, and against missing fields.
TEST(ProblemResponseTest, HasStatusReasonAndRetryAfter)
{
    const auto response = problemResponse({ RefusalReason::RateExceeded, RunState::NotRun, 1200ms, "a \"quoted\" detail" });
    EXPECT_EQ(response.status, 429);
    EXPECT_EQ(*findHeader(response.headers, "Retry-After"), "2");
    EXPECT_EQ(response.body,
              R"({"type":"urn:pimentohollow:rate_exceeded","title":"Too Many Requests","status":429,)"
              R"("reason":"rate_exceeded","ran":"no","detail":"a \"quoted\" detail"})");
}

// Guards against responses whose end a client can't find.
TEST(MessageWriterTest, WritesLengthOfResponses)
{
    EXPECT_EQ(serializeResponse({ 200, "OK", {}, "abc" }, true, false), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    EXPECT_EQ(serializeResponse({ 204, "No Content", {}, "" }, true, false), "HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(serializeResponse({ 200, "OK", { { "Content-Length", "9" } }, "" }, false, true),
              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\n");
}
