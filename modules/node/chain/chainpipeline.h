#pragma once

#include "node/chain/inflighttable.h"
#include "node/pipeline/entrypipeline.h"

namespace Pimentohollow
{

/**
 * Serves the calls that the upstream beside this node makes to deeper services. Account, priority, deadline and
 * retries come from the request it is running, so a child call can't claim more than its parent has.
 */
class ChainPipeline : public RequestHandler
{
public:
    /** Calls nested deeper than this are refused, because such a chain is a loop. */
    static constexpr std::uint32_t MaximumDepth = 32;

    ChainPipeline(const Clock &clock, const RouteSource &routes, const InFlightTable &inFlight, EntryPipeline &entry, Forwarder &forwarder);

    HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) override;

private:
    std::shared_ptr<InFlightRequest> parentOf(const HttpHeaders &headers) const;
    HttpResponseMessage runChild(InFlightRequest &parent, HttpRequestMessage request, Cancellation &cancellation);
    HttpResponseMessage runWithoutParent(HttpRequestMessage request, Cancellation &cancellation);
    HttpResponseMessage answer(ForwardedAnswer answer) const;

    const Clock &m_clock;
    const RouteSource &m_routes;
    const InFlightTable &m_inFlight;
    EntryPipeline &m_entry;
    Forwarder &m_forwarder;
};

} // namespace Pimentohollow
