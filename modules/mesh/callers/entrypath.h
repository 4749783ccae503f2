#pragma once

#include "core/random.h"
#include "mesh/callers/pendingrequest.h"
#include "mesh/decisions/accountratelimiter.h"
#include "mesh/decisions/calltreeadmission.h"
#include "mesh/decisions/serviceretrybudget.h"
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
struct UpstreamWay {
    UpstreamCandidate candidate;
    NodeName node;
    /** nullptr for the upstream beside this node. */
    std::shared_ptr<MeshLink> link;
};

/**
 * Serves a request at the node where it enters the mesh: finds its route and account, decides whether it may start, and sends it to the
 * nodes beside the upstreams until it has an answer, the time is up, or no attempt is left.
 */
class EntryPath
{
public:
    struct Environment {
        EventLoop &loop;
        const MeshSettings &settings;
        const HeaderNames &headers;
        UpstreamRunner &runner;
        AccountRateLimiter &accounts;
        ServiceRetryBudget &repeats;
        CallTreeAdmission &trees;
        Random &random;
        MetricRegistry &metrics;
        /** The rules in force; nullptr before the first ones are known. */
        std::function<std::shared_ptr<const RuleIndex>()> rules;
        std::function<std::vector<UpstreamWay>(const ServiceName &)> ways;
    };

    explicit EntryPath(Environment environment);

    /** Runs in a fiber of the request. */
    HttpResponseMessage serve(HttpRequestMessage &&request, PendingRequest &pending);

private:
    /** A request on its way through the steps. */
    struct Entry {
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
        RouteName tree;
        RequestFingerprint fingerprint;
        std::size_t requestBytes = 0;
    };

    /** How the attempts of a request went. */
    struct Attempts {
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
        std::uint32_t runs = 0;
        /** The last attempt was given up for a repeat that the allowance has granted; only for requests that may run twice. */
        bool repeatPaid = false;
        RunReply last;
        /** Shortest time after which a node expects room. */
        std::uint32_t retryAfterMilliseconds = 0;
    };

    std::optional<HttpResponseMessage> identify(HttpRequestMessage &request, Entry &entry);
    std::optional<HttpResponseMessage> admit(Entry &entry);
    HttpResponseMessage forward(HttpRequestMessage &&request, Entry &entry, PendingRequest &pending);
    PlacementRequest placedRequest(const Entry &entry) const;
    std::optional<UpstreamWay> choose(const Entry &entry, const Attempts &attempts);
    static void record(const NodeName &node, Attempts &attempts);
    RunReply
    attempt(const UpstreamWay &way, const HttpRequestMessage &request, const Entry &entry, PendingRequest &pending, Attempts &attempts);
    /** @param callFailed a call that the request made got no success */
    static std::uint32_t repeatRank(const Entry &entry, bool callFailed);
    bool tryRepeat(const Entry &entry, bool callFailed);
    bool mayRepeat(const Entry &entry, const Attempts &attempts);
    TimePoint attemptDeadline(const Entry &entry) const;
    HttpResponseMessage conclude(const Entry &entry, Attempts &&attempts);
    /** The caller has left during an attempt; nobody reads the response that is returned. */
    HttpResponseMessage concludeAbandoned(const Entry &entry, const Attempts &attempts);
    /** @param inputs what decided it, for the log */
    HttpResponseMessage
    refuse(const Entry &entry, std::uint16_t status, std::string_view reason, Duration retryAfter = {}, const std::string &inputs = {});
    void logPlaced(const Entry &entry, const Attempts &attempts);
    void learn(const Entry &entry, const RunReply &result, TimePoint startedAt);

    Environment m_environment;
    WeightedSplit m_split;
    /** Placements logged in the second of m_placedSince. */
    unsigned m_placedLogged = 0;
    TimePoint m_placedSince{};
    UpstreamChooser m_chooser;
    /** Moving averages over the answers of a route. */
    struct UsualAnswer {
        double seconds = 0;
        /** Request and answer, with their heads. */
        double bytes = 0;
        /** Runs at each service that took part. */
        std::vector<ServiceCalls> tree;
    };
    std::unordered_map<RouteName, UsualAnswer> m_answers;
};

} // namespace Pimentohollow
