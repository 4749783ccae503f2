#pragma once

#include "metrics/metricregistry.h"
#include "node/admission/admissiongate.h"
#include "node/chain/inflighttable.h"
#include "node/pipeline/claimstep.h"
#include "node/poison/poisonstep.h"
#include "node/upstream/announcedupstream.h"
#include "peer/server/callhandler.h"

#include <atomic>

namespace Pimentohollow
{

/** Header by which an upstream ties its child calls to the request it is running. */
inline constexpr std::string_view RequestIdHeader = "Pimentohollow-Request-Id";
/** Header that tells an upstream the time left, in milliseconds. */
inline constexpr std::string_view TimeLeftHeader = "Pimentohollow-Time-Left-Ms";

/** Runs calls at the upstream beside this node. */
class ServingPipeline : public CallHandler
{
public:
    ServingPipeline(const Clock &clock,
                    AnnouncedUpstream &upstream,
                    AdmissionGate &admission,
                    InFlightTable &inFlight,
                    PoisonGuard &poison,
                    ClaimService *claims,
                    MetricRegistry &metrics);

    CallResponse handle(CallRequest request, TimePoint deadline, Cancellation &cancellation) override;

    /** Refuses calls of other nodes for ever, because the process ends; calls of this node are still served. */
    void beginDrain();

    /** Whether calls of other nodes are run; an operator may change it. */
    void setTakesCalls(bool takesCalls);
    bool takesCalls() const;

    /** Serves a call that came in on this node itself. */
    CallResponse serveLocally(CallRequest request, TimePoint deadline, Cancellation &cancellation);

private:
    CallResult runAdmitted(const UpstreamWork &work, Cancellation &cancellation);
    CallResult runAtUpstream(const UpstreamWork &work, Cancellation &cancellation);
    std::optional<UpstreamRecord> record();

    const Clock &m_clock;
    AnnouncedUpstream &m_upstream;
    AdmissionGate &m_admission;
    InFlightTable &m_inFlight;
    PoisonStep m_poison;
    ClaimStep m_claims;
    MetricRegistry &m_metrics;
    LatencyHistogram &m_upstreamTime;
    std::atomic<bool> m_draining{ false };
    std::atomic<bool> m_takesCalls{ true };
};

} // namespace Pimentohollow
