#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/requestcontext.h"
#include "core/upstreamrecord.h"
#include "messages/call/callmessages.h"

#include <optional>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** The node beside an upstream. */
struct UpstreamTarget {
    NodeName node;
    /** Where the node accepts links, "ip:port". */
    std::string peerAddress;
};

/** Chooses upstreams and learns from their answers. Thread-safe. */
class UpstreamSource
{
public:
    virtual ~UpstreamSource() = default;

    /** False if the service would refuse the request anyway; asked once, before the first attempt. */
    virtual bool admits(const RequestContext &context) = 0;

    /** An upstream of the request's service that isn't in @p tried; the attempt there begins now. */
    virtual std::optional<UpstreamTarget> choose(const RequestContext &context, const std::vector<NodeName> &tried) = 0;

    /** Whether choose() would find one. */
    virtual bool hasOther(const RequestContext &context, const std::vector<NodeName> &tried) = 0;

    /** Reports how a call to a chosen upstream ended. */
    virtual void finished(const RequestContext &context, const UpstreamTarget &target, const CallResponse &response, Duration took) = 0;
};

} // namespace Pimentohollow
