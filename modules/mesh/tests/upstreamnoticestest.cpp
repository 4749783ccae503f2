#include "mesh/decisions/upstreamnotices.h"
#include "mesh/upstream/responsenotice.h"

#include <gtest/gtest.h>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Start{ 1h };
const std::string Upstream = "i-1@1000";
const std::string Successor = "i-1@2000";

HeaderNames noticeHeaders()
{
    HeaderNames names;
    names.limit = "Server-Limit";
    names.leaving = "Server-Leaving";
    return names;
}

struct HeaderCase {
    const char *name;
    std::vector<HttpHeader> headers;
    bool valid;
    std::optional<double> limit;
    bool leaving;
};

class ResponseNoticeTest : public ::testing::TestWithParam<HeaderCase>
{
};

} // namespace

/** Guards against limits that are read wrong, and against malformed ones that stop an upstream's traffic. */
TEST_P(ResponseNoticeTest, ReadsLimitAndLeaving)
{
    const auto notice = parseResponseNotice(GetParam().headers, noticeHeaders());
    ASSERT_EQ(notice.has_value(), GetParam().valid);
    if (notice) {
        EXPECT_EQ(notice->requestsPerSecond, GetParam().limit);
        EXPECT_EQ(notice->leaving, GetParam().leaving);
    }
}

INSTANTIATE_TEST_SUITE_P(Headers,
                         ResponseNoticeTest,
                         ::testing::Values(HeaderCase{ "None", {}, true, std::nullopt, false },
                                           HeaderCase{ "Decimal", { { "server-limit", "29.1" } }, true, 29.1, false },
                                           HeaderCase{ "Whole", { { "Server-Limit", "30" } }, true, 30, false },
                                           HeaderCase{ "Zero", { { "Server-Limit", "0" } }, true, 0, false },
                                           HeaderCase{ "Leaving", { { "Server-Leaving", "1" } }, true, std::nullopt, true },
                                           HeaderCase{ "Both", { { "Server-Limit", "2" }, { "Server-Leaving", "1" } }, true, 2, true },
                                           HeaderCase{ "Negative", { { "Server-Limit", "-1" } }, false, {}, false },
                                           HeaderCase{ "Empty", { { "Server-Limit", "" } }, false, {}, false },
                                           HeaderCase{ "Infinite", { { "Server-Limit", "inf" } }, false, {}, false },
                                           HeaderCase{ "NotANumber", { { "Server-Limit", "nan" } }, false, {}, false },
                                           HeaderCase{ "TooLarge", { { "Server-Limit", std::string(400, '9') } }, false, {}, false },
                                           HeaderCase{ "WithUnit", { { "Server-Limit", "30/s" } }, false, {}, false },
                                           HeaderCase{ "LeavingUnknown", { { "Server-Leaving", "soon" } }, false, {}, false }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

/** Guards against a limit that outlives the upstream's word, or ends by a response that was written before the limit was named. */
TEST(UpstreamNoticesTest, LimitHoldsAsLongAsTheUpstreamNamesIt)
{
    UpstreamNotices notices;
    notices.setIncarnation(Upstream);
    notices.recordResponse({ 20, false }, Start, Start + 100ms);
    EXPECT_EQ(notices.requestsPerSecond(), 20);
    notices.recordResponse({ std::nullopt, false }, Start + 50ms, Start + 150ms);
    EXPECT_EQ(notices.requestsPerSecond(), 20) << "the response is to a request sent before the limit was named";
    notices.recordResponse({ 10.5, false }, Start + 160ms, Start + 200ms);
    EXPECT_EQ(notices.requestsPerSecond(), 10.5);
    notices.recordResponse({ std::nullopt, false }, Start + 201ms, Start + 300ms);
    EXPECT_EQ(notices.requestsPerSecond(), std::nullopt);
    EXPECT_EQ(notices.notice(), UpstreamNotice());
}

/** Guards against a restarted node that doesn't apply what the other nodes know, or applies it to another incarnation. */
TEST(UpstreamNoticesTest, ReportsOfOtherNodesApplyAfterARestart)
{
    UpstreamNotices restarted;
    restarted.applyReport({ Upstream, 30'000, {} });
    restarted.applyReport({ Upstream, 20'000, {} });
    EXPECT_EQ(restarted.notice(), (UpstreamNotice{ Upstream, 20'000, {} })) << "must not be lost by another restart";
    restarted.setIncarnation(Upstream);
    EXPECT_EQ(restarted.requestsPerSecond(), 20);
    restarted.applyReport({ Upstream, 5'000, {} });
    EXPECT_EQ(restarted.requestsPerSecond(), 5) << "reported after the announcement";
    restarted.recordResponse({ 25, false }, Start, Start);
    restarted.applyReport({ Upstream, 5'000, {} });
    EXPECT_EQ(restarted.requestsPerSecond(), 25) << "own observations are newer";

    UpstreamNotices replaced;
    replaced.applyReport({ Upstream, 20'000, {} });
    replaced.setIncarnation(Successor);
    EXPECT_EQ(replaced.requestsPerSecond(), std::nullopt);
}

/** Guards against a node that has just been started and is taken for one that knows of all departures. */
TEST(RemoteNoticeTest, IsCompleteOnlyAfterACompleteSource)
{
    UpstreamDepartures departures;
    departures.add("i-1", 1000);
    RemoteNotice unaware;
    unaware.applyDirect({ "", 0, departures, false });
    unaware.applyRelayed({ "", 0, {}, false });
    EXPECT_FALSE(unaware.notice().departuresComplete) << "the node itself doesn't know yet what it was told before";

    RemoteNotice toldByTheNode = unaware;
    toldByTheNode.applyDirect({ "", 0, {}, true });
    toldByTheNode.applyDirect({ "", 0, {}, false });
    EXPECT_TRUE(toldByTheNode.notice().departuresComplete) << "a restart of the node doesn't take it back";
    EXPECT_TRUE(toldByTheNode.notice().departures.includes(departures));

    RemoteNotice toldByADigest = unaware;
    toldByADigest.applyRelayed({ "", 0, {}, true });
    EXPECT_TRUE(toldByADigest.notice().departuresComplete);

    RemoteNotice toldByTheStore;
    EXPECT_TRUE(toldByTheStore.applyStored({})) << "that there are none is news too";
    EXPECT_FALSE(toldByTheStore.applyStored({}));
    EXPECT_TRUE(toldByTheStore.applyStored(departures));
    EXPECT_TRUE(toldByTheStore.notice().departuresComplete);
    EXPECT_TRUE(toldByTheStore.notice().departures.includes(departures));
}

/** Guards against copies that a restarted node, or an old digest, erases before the node has received them. */
TEST(RemoteNoticeTest, KeepsWhatARestartedNodeDoesNotKnowYet)
{
    UpstreamDepartures first;
    first.add("i-1", 1000);
    UpstreamDepartures second;
    second.add("i-0", 500);
    RemoteNotice remote;
    remote.applyDirect({ Upstream, 20'000, {} });
    remote.applyRelayed({});
    EXPECT_EQ(remote.notice().milliLimit, 20'000U);
    remote.applyDirect({});
    EXPECT_EQ(remote.notice(), UpstreamNotice()) << "the limit has ended";
    remote.applyDirect({ "", 0, first });
    remote.applyRelayed({ Upstream, 20'000, second });
    remote.applyDirect({});
    EXPECT_TRUE(remote.notice().departures.includes(first));
    EXPECT_TRUE(remote.notice().departures.includes(second));
    remote.applyDirect({ Successor, 10'000, {} });
    EXPECT_EQ(remote.notice().milliLimit, 10'000U);
    EXPECT_EQ(remote.notice().incarnation, Successor);
    EXPECT_TRUE(remote.notice().departures.includes(first)) << "a successor doesn't bring its predecessor back";
}

} // namespace Pimentohollow
