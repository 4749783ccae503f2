#pragma once

#include "node/interfaces/upstreamsource.h"
#include "routing/routing.h"
#include "runtime/gossip/gossiptask.h"

#include <mutex>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Chooses among the upstreams that membership knows, by the module routing. Thread-safe: a mutex guards the state,
 * because a choice takes microseconds and is made by every connection thread.
 */
class RoutedUpstreams : public UpstreamSource
{
public:
    RoutedUpstreams(DataCentreName ownDataCentre, const Clock &clock, std::uint64_t seed);

    /** Takes what membership knows now. */
    void update(const FleetSnapshot &snapshot);

    bool admits(const RequestContext &context) override;
    std::optional<UpstreamTarget> choose(const RequestContext &context, const std::vector<NodeName> &tried) override;
    bool hasOther(const RequestContext &context, const std::vector<NodeName> &tried) override;
    void finished(const RequestContext &context, const UpstreamTarget &target, const CallResponse &response, Duration took) override;

private:
    /** @p tried and the nodes that lately refused because they drain. */
    std::vector<NodeName> excluded(const std::vector<NodeName> &tried);

    std::mutex m_mutex;
    const Clock &m_clock;
    Random m_random;
    UpstreamTable m_table;
    UpstreamSelector m_selector;
    OutlierEjector m_ejector;
    ServiceLoad m_load;
    std::unordered_map<NodeName, std::string> m_peerAddresses;
    /** Nodes that refused because they drain, and until when they aren't chosen. */
    std::unordered_map<NodeName, TimePoint> m_drainingUntil;
};

/** How an answer counts for the health of the upstream that gave it. */
AnswerKind answerKind(const CallResult &result);

} // namespace Pimentohollow
