#pragma once

#include "core/random.h"
#include "mesh/callers/pendingrequest.h"
#include "mesh/decisions/accountratelimiter.h"
#include "mesh/decisions/calltreeadmission.h"
#include "mesh/decisions/serviceretrybudget.h"
#include "mesh/decisions/shutdownplan.h"
#include "mesh/decisions/upstreamchooser.h"
#include "mesh/decisions/weightedsplit.h"
#include "mesh/links/meshlink.h"
#include "mesh/model/meshsettings.h"
#include "mesh/model/ruleindex.h"
#include "mesh/upstream/upstreamrunner.h"
#include "metrics/metricregistry.h"

#include <memory>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** An upstream of a service, and the link to its node. */
struct UpstreamOption {
    UpstreamCandidate candidate;
    NodeName node;
    /** nullptr for this node's own upstream. */
    std::shared_ptr<MeshLink> link;
};

/**
 * Serves a request at the node where it enters the mesh: resolves its route and account, applies admission control, and sends it to
 * upstream nodes until one responds, the deadline passes, or no attempt is left.
 */
class IngressHandler
{
public:
    struct Environment {
        EventLoop &loop;
        const MeshSettings &settings;
        const HeaderNames &headers;
        UpstreamRunner &runner;
        AccountRateLimiter &accountRateLimiter;
        ServiceRetryBudget &retryBudget;
        CallTreeAdmission &treeAdmission;
        const ShutdownPlan &shutdownPlan;
        Random &random;
        MetricRegistry &metrics;
        /** Returns the rules in force; nullptr until the first rules are received. */
        std::function<std::shared_ptr<const RuleIndex>()> rules;
        std::function<std::vector<UpstreamOption>(const ServiceName &)> upstreamOptions;
    };

    explicit IngressHandler(Environment environment);

    /** Returns the response. Called in the request's own fiber. */
    HttpResponseMessage serve(HttpRequestMessage &&request, PendingRequest &pending);

private:
    /** State of one request while it is admitted and forwarded. */
    struct IngressRequest {
        std::shared_ptr<const RuleIndex> rules;
        const TrafficRoute *route = nullptr;
        const TrafficAccount *account = nullptr;
        std::string requestId;
        TimePoint arrivedAt{};
        TimePoint deadline{};
        CallOrigin origin;
        /** Ticket of the request for which this node's upstream makes this nested call; 0 for a request from a caller. */
        std::uint64_t parent = 0;
        ServiceName service;
        /** The route and the selected service; tree admission tracks work under this key. */
        RouteName callTree;
        RequestFingerprint fingerprint;
        std::size_t requestBodyBytes = 0;
    };

    /** Outcome of the attempts made so far. */
    struct AttemptHistory {
        /** Number of times the request was offered to a node, including repeated offers to the same node. */
        std::size_t offers = 0;
        /** Nodes that refused the request without sending it to their upstream. */
        std::vector<NodeName> refusedBy;
        /** Nodes whose upstreams may have received the request; the route limits their number. */
        std::vector<NodeName> sentTo;
        /** Node of the last attempt, and age of the load report by which it was selected. */
        NodeName lastNode;
        Duration reportAge{};
        bool mayHaveRun = false;
        /** Attempts that may have run, on any node; the route limits their number. */
        std::uint32_t possibleRuns = 0;
        /** True if the last attempt was cancelled for a retry that the retry budget has already granted. Idempotent requests only. */
        bool retryGranted = false;
        RunReply lastReply;
        /** Shortest retry-after time reported by a node, in ms; 0 if none. */
        std::uint32_t retryAfterMilliseconds = 0;
    };

    HttpResponseMessage serve(HttpRequestMessage &&request, IngressRequest &ingress, PendingRequest &pending);
    std::optional<HttpResponseMessage> prepareRequest(HttpRequestMessage &request, IngressRequest &ingress);
    std::optional<HttpResponseMessage> admit(IngressRequest &ingress);
    /** Refuses a request that can't be finished before this node, which is stopping, ends; limits the deadline of others to that time. */
    std::optional<HttpResponseMessage> fitIntoShutdown(IngressRequest &ingress);
    HttpResponseMessage forward(HttpRequestMessage &&request, IngressRequest &ingress, PendingRequest &pending);
    PlacementRequest placedRequest(const IngressRequest &ingress) const;
    std::optional<UpstreamOption> selectUpstream(const IngressRequest &ingress, const AttemptHistory &attempts);
    static void recordAttempt(const NodeName &node, AttemptHistory &attempts);
    RunReply runAttempt(const UpstreamOption &option,
                        const HttpRequestMessage &request,
                        const IngressRequest &ingress,
                        PendingRequest &pending,
                        AttemptHistory &attempts);
    /** @param callFailed true if a nested call of the request failed */
    static std::uint32_t retryRank(const IngressRequest &ingress, bool callFailed);
    std::optional<Duration> acquireRetry(const IngressRequest &ingress, bool callFailed);
    /** Waits until the retry budget grants another attempt. Returns false if none is allowed, or none can be granted in time. */
    bool awaitRetry(const IngressRequest &ingress, PendingRequest &pending, const AttemptHistory &attempts);
    TimePoint attemptDeadline(const IngressRequest &ingress) const;
    HttpResponseMessage finishRequest(const IngressRequest &ingress, AttemptHistory &&attempts);
    /** Records that the caller disconnected during an attempt. The returned response is never sent. */
    HttpResponseMessage finishAbandoned(const IngressRequest &ingress, const AttemptHistory &attempts);
    /** @param inputs values behind the decision, for the log */
    HttpResponseMessage refuse(const IngressRequest &ingress,
                               std::uint16_t status,
                               std::string_view reason,
                               Duration retryAfter = {},
                               const std::string &inputs = {});
    void logPlacement(const IngressRequest &ingress, const AttemptHistory &attempts);
    void recordResult(const IngressRequest &ingress, const RunReply &result, TimePoint startedAt);

    Environment m_environment;
    WeightedSplit m_split;
    /** Placements logged in the second that began at m_placementLogPeriodStart. */
    unsigned m_loggedPlacements = 0;
    TimePoint m_placementLogPeriodStart{};
    UpstreamChooser m_chooser;
    /** Moving averages over the successful responses of a route. */
    struct AverageResponse {
        double seconds = 0;
        /** Size of request and response, including their heads. */
        double bytes = 0;
        /** Runs at each service in the call tree. */
        std::vector<ServiceCalls> serviceCalls;
    };
    std::unordered_map<RouteName, AverageResponse> m_averageResponses;
};

} // namespace Pimentohollow
