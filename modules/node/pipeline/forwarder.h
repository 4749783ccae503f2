#pragma once

#include "metrics/metricregistry.h"
#include "node/interfaces/upstreamsource.h"
#include "node/pipeline/servingpipeline.h"
#include "peer/link/peerpool.h"
#include "retries/retries.h"

namespace Pimentohollow
{

/** A request with its key removed, ready for an upstream. */
struct PreparedRequest {
    RequestContext context;
    HttpRequestMessage message;
    /** Empty if the caller sent none. */
    std::string idempotencyKey;
};

struct ForwardedAnswer {
    CallResult result;
    std::uint32_t retriesLeft = 0;
};

/** Brings a request to an upstream, here or at another node, and repeats it within its retries where that is safe. */
class Forwarder
{
public:
    Forwarder(
        const Clock &clock, NodeName self, UpstreamSource &upstreams, PeerPool &peers, ServingPipeline &serving, MetricRegistry &metrics);

    ForwardedAnswer forward(const PreparedRequest &request, Cancellation &cancellation);

private:
    CallResponse
    attempt(const PreparedRequest &request, const UpstreamTarget &target, std::uint32_t retriesLeft, Cancellation &cancellation);
    bool mayRetry(const RequestContext &context, const Refusal &refusal, const std::vector<NodeName> &tried, RetryBudget &budget);

    const Clock &m_clock;
    NodeName m_self;
    UpstreamSource &m_upstreams;
    PeerPool &m_peers;
    ServingPipeline &m_serving;
    std::mutex m_mutex;
    /** Guarded by m_mutex. */
    RetryRatio m_ratio;
    Counter &m_attempts;
    Counter &m_retries;
};

} // namespace Pimentohollow
