#pragma once

#include "core/random.h"
#include "mesh/callers/pendingrequest.h"
#include "mesh/decisions/accountallowance.h"
#include "mesh/decisions/repeatbudget.h"
#include "mesh/decisions/treeadmission.h"
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

/** An upstream of a service and the way to it. */
struct UpstreamOption {
    UpstreamCandidate candidate;
    NodeName node;
    /** nullptr for the upstream beside this node. */
    std::shared_ptr<MeshLink> link;
};

/**
 * Serves a request at the node where it enters the mesh: finds its route and account, decides whether it may start, and sends it to the
 * nodes beside the upstreams until it has an answer, the time is up, or no attempt is left.
 */
class IngressHandler
{
public:
    struct Environment {
        EventLoop &loop;
        const MeshSettings &settings;
        const HeaderNames &headers;
        UpstreamRunner &runner;
        AccountAllowance &accountRateLimiter;
        RepeatBudget &retryBudget;
        TreeAdmission &treeAdmission;
        Random &random;
        MetricRegistry &metrics;
        /** The rules in force; nullptr before the first ones are known. */
        std::function<std::shared_ptr<const RuleIndex>()> rules;
        std::function<std::vector<UpstreamOption>(const ServiceName &)> upstreamOptions;
    };

    explicit IngressHandler(Environment environment);

    /** Runs in a fiber of the request. */
    HttpResponseMessage serve(HttpRequestMessage &&request, PendingRequest &pending);

private:
    /** A request on its way through the steps. */
    struct IngressRequest {
        std::shared_ptr<const RuleIndex> rules;
        const TrafficRoute *route = nullptr;
        const TrafficAccount *account = nullptr;
        std::string requestId;
        TimePoint arrivedAt{};
        TimePoint deadline{};
        CallOrigin origin;
        /** The request for which the upstream beside this node makes the call; 0 for a request from a caller. */
        std::uint64_t parent = 0;
        ServiceName service;
        /** The route with the service chosen for the request: what admission learns work for. */
        RouteName callTree;
        RequestFingerprint fingerprint;
        std::size_t requestBodyBytes = 0;
    };

    /** How the attempts of a request went. */
    struct AttemptHistory {
        /** Nodes that the request was offered to, again and again included. */
        std::size_t offers = 0;
        /** Nodes that refused it without sending it on. */
        std::vector<NodeName> refusedBy;
        /** Nodes whose upstreams may have got it; the route bounds their number. */
        std::vector<NodeName> sentTo;
        /** The node of the last attempt, and the age of the load report by which it was chosen. */
        NodeName lastNode;
        Duration reportAge{};
        bool mayHaveRun = false;
        /** Attempts that may have run; the route bounds their number, wherever they were. */
        std::uint32_t possibleRuns = 0;
        /** The last attempt was given up for a repeat that the allowance has granted; only for requests that may run twice. */
        bool retryGranted = false;
        RunReply lastReply;
        /** Shortest time after which a node expects room. */
        std::uint32_t retryAfterMilliseconds = 0;
    };

    std::optional<HttpResponseMessage> prepareRequest(HttpRequestMessage &request, IngressRequest &ingress);
    std::optional<HttpResponseMessage> admit(IngressRequest &ingress);
    HttpResponseMessage forward(HttpRequestMessage &&request, IngressRequest &ingress, PendingRequest &pending);
    PlacedRequest placedRequest(const IngressRequest &ingress) const;
    std::optional<UpstreamOption> selectUpstream(const IngressRequest &ingress, const AttemptHistory &attempts);
    static void recordAttempt(const NodeName &node, AttemptHistory &attempts);
    RunReply runAttempt(const UpstreamOption &option,
                        const HttpRequestMessage &request,
                        const IngressRequest &ingress,
                        PendingRequest &pending,
                        AttemptHistory &attempts);
    /** @param callFailed a call that the request made got no success */
    static std::uint32_t retryRank(const IngressRequest &ingress, bool callFailed);
    bool tryConsumeRetry(const IngressRequest &ingress, bool callFailed);
    bool mayRetry(const IngressRequest &ingress, const AttemptHistory &attempts);
    TimePoint attemptDeadline(const IngressRequest &ingress) const;
    HttpResponseMessage finishRequest(const IngressRequest &ingress, AttemptHistory &&attempts);
    /** The caller has left during an attempt; nobody reads the response that is returned. */
    HttpResponseMessage finishAbandoned(const IngressRequest &ingress, const AttemptHistory &attempts);
    /** @param inputs what decided it, for the log */
    HttpResponseMessage refuse(const IngressRequest &ingress,
                               std::uint16_t status,
                               std::string_view reason,
                               Duration retryAfter = {},
                               const std::string &inputs = {});
    void logPlacement(const IngressRequest &ingress, const AttemptHistory &attempts);
    void recordResult(const IngressRequest &ingress, const RunReply &result, TimePoint startedAt);

    Environment m_environment;
    WeightedSplit m_split;
    /** Placements logged in the second of m_placedSince. */
    unsigned m_loggedPlacements = 0;
    TimePoint m_placementLogPeriodStart{};
    UpstreamChooser m_chooser;
    /** Moving averages over the answers of a route. */
    struct AverageResponse {
        double seconds = 0;
        /** Request and answer, with their heads. */
        double bytes = 0;
        /** Runs at each service that took part. */
        std::vector<ServiceCalls> serviceCalls;
    };
    std::unordered_map<RouteName, AverageResponse> m_averageResponses;
};

} // namespace Pimentohollow
