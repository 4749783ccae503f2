#include "node/pipeline/servingpipeline.h"
#include "core/core.h"
#include "http/http.h"

#include <atomic>
#include <gtest/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

/** An upstream on 127.0.0.1 that counts its runs and answers with a fixed status. */
class CountingUpstream : public RequestHandler
{
public:
    HttpResponseMessage handle(HttpRequestMessage request, Cancellation & /*cancellation*/) override
    {
        ++runs;
        return { status, "", { { "X-Answer", "yes" } }, std::move(request.body) };
    }

    std::atomic<int> runs{ 0 };
    std::uint16_t status = 200;
};

/** Gives a fixed verdict and writes down what it is told. */
class ScriptedClaims : public ClaimService
{
public:
    ClaimVerdict claim(const ClaimRequest &request, Cancellation & /*cancellation*/) override
    {
        lastRequest = request;
        return verdict;
    }

    bool startRun(const std::string & /*claimId*/) override
    {
        log += "start ";
        return mayStart;
    }

    void finish(const std::string & /*claimId*/, ClaimOutcome outcome) override
    {
        log += "finish ";
        recorded = std::move(outcome);
    }

    void lose(const std::string & /*claimId*/) override
    {
        log += "lose ";
    }

    void release(const std::string & /*claimId*/) override
    {
        log += "release ";
    }

    ClaimVerdict verdict = MayRun{ "claim" };
    bool mayStart = true;
    ClaimRequest lastRequest;
    ClaimOutcome recorded;
    std::string log;
};

class ServingPipelineTest : public testing::Test
{
protected:
    ServingPipelineTest()
    {
        ListenerOptions options;
        options.address = "127.0.0.1:0";
        server = std::move(*CallerServer::start(options, handler, watcher));
        announce(UpstreamState::Ready);
    }

    void announce(UpstreamState state)
    {
        upstream.announce({ ServiceName("s"), "127.0.0.1:" + std::to_string(server->port()), state, 1 });
    }

    static CallRequest order(const std::string &idempotencyKey)
    {
        CallRequest request;
        request.service = ServiceName("s");
        request.account = AccountName("a");
        request.idempotencyKey = idempotencyKey;
        request.request = { "POST", "/orders", {}, "one order" };
        return request;
    }

    CallResult serve(const CallRequest &request)
    {
        return pipeline.handle(request, clock.now() + 5s, cancellation).result;
    }

    static Refusal refusalOf(const CallResult &result)
    {
        return std::holds_alternative<Refusal>(result) ? std::get<Refusal>(result) : Refusal{};
    }

    SystemClock clock;
    CountingUpstream handler;
    DisconnectWatcher watcher;
    std::unique_ptr<CallerServer> server;
    AnnouncedUpstream upstream{ clock, {} };
    AdmissionGate admission{ clock, AdmissionSettings{} };
    InFlightTable inFlight;
    MetricRegistry metrics;
    ScriptedClaims claims;
    Cancellation cancellation;
    ServingPipeline pipeline{ clock, upstream, admission, inFlight, &claims, metrics };
};

} // namespace

// Guards against an order whose outcome isn't recorded, so that a resend would be told "unknown".
TEST_F(ServingPipelineTest, RecordsTheOutcomeOfAClaimedRequest)
{
    const auto result = serve(order("k1"));
    EXPECT_EQ(std::get<HttpResponseMessage>(result).body, "one order");
    EXPECT_EQ(claims.log, "start finish ");
    EXPECT_EQ(claims.recorded.status, 200);
    EXPECT_EQ(claims.recorded.body, "one order");
    EXPECT_EQ(claims.lastRequest.key, (ClaimKey{ AccountName("a"), "k1" }));
    EXPECT_EQ(handler.runs, 1);
}

// Guards against a second run of a request that ran before.
TEST_F(ServingPipelineTest, RepeatsARecordedOutcome)
{
    claims.verdict = ReplayOutcome{ { 201, { { "X-Answer", "recorded" } }, "recorded body", "" } };
    const auto answer = std::get<HttpResponseMessage>(serve(order("k1")));
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "recorded body");
    EXPECT_EQ(handler.runs, 0);
}

// Guards against a run without a claim, or with one that lapsed.
TEST_F(ServingPipelineTest, DoesNotRunWithoutAClaim)
{
    claims.mayStart = false;
    EXPECT_EQ(refusalOf(serve(order("k1"))).ran, RunState::NotRun);
    claims.verdict = Refusal{ RefusalReason::InProgress, RunState::NotRun, 1s, "" };
    EXPECT_EQ(refusalOf(serve(order("k1"))).reason, RefusalReason::InProgress);
    ServingPipeline withoutPlatform(clock, upstream, admission, inFlight, nullptr, metrics);
    const auto refused = withoutPlatform.handle(order("k1"), clock.now() + 5s, cancellation).result;
    EXPECT_EQ(refusalOf(refused).reason, RefusalReason::PlatformUnavailable);
    EXPECT_EQ(handler.runs, 0);
}

// Guards against a claim that blocks its key for ever although nothing ran, and against one released although it may have run.
TEST_F(ServingPipelineTest, ReleasesOnlyWhatDidNotRun)
{
    server.reset();
    EXPECT_EQ(refusalOf(serve(order("k1"))).ran, RunState::NotRun);
    EXPECT_EQ(claims.log, "start release ");
    const Poco::Net::ServerSocket mute(Poco::Net::SocketAddress("127.0.0.1", 0));
    upstream.announce({ ServiceName("s"), mute.address().toString(), UpstreamState::Ready, 2 });
    claims.log.clear();
    const auto result = pipeline.handle(order("k1"), clock.now() + 50ms, cancellation).result;
    EXPECT_EQ(refusalOf(result).ran, RunState::Unknown);
    EXPECT_EQ(claims.log, "start lose ");
}

// Guards against places at the upstream that are lost with claims that end without a run.
TEST_F(ServingPipelineTest, GivesPlacesBack)
{
    claims.verdict = ReplayOutcome{};
    for (int n = 0; n < 200; ++n) {
        serve(order("k" + std::to_string(n)));
    }
    UpstreamRecord record;
    admission.report(record);
    EXPECT_EQ(record.inFlight, 0U);
    claims.verdict = MayRun{ "claim" };
    EXPECT_TRUE(std::holds_alternative<HttpResponseMessage>(serve(order("last"))));
}

// Guards against claims for requests that need none, and against one fingerprint for different requests.
TEST_F(ServingPipelineTest, ClaimsOnlyWhatNeedsOne)
{
    EXPECT_TRUE(std::holds_alternative<HttpResponseMessage>(serve(order(""))));
    auto lookup = order("k1");
    lookup.idempotent = true;
    EXPECT_TRUE(std::holds_alternative<HttpResponseMessage>(serve(lookup)));
    EXPECT_EQ(claims.log, "");
    auto other = order("k1");
    other.request.body = "another order";
    EXPECT_NE(claimFingerprint(order("k1")), claimFingerprint(other));
}

// Guards against new work for an upstream that is draining, gone or of another service.
TEST_F(ServingPipelineTest, RefusesWithoutAnUpstreamThatTakesWork)
{
    announce(UpstreamState::Draining);
    EXPECT_EQ(refusalOf(serve(order(""))),
              (Refusal{ RefusalReason::NoUpstream, RunState::NotRun, {}, "no upstream of the service takes work here" }));
    announce(UpstreamState::Ready);
    auto other = order("");
    other.service = ServiceName("other");
    EXPECT_EQ(refusalOf(serve(other)).reason, RefusalReason::NoUpstream);
    pipeline.beginDrain();
    EXPECT_EQ(refusalOf(serve(order(""))).reason, RefusalReason::Draining);
    EXPECT_EQ(handler.runs, 0);
}
