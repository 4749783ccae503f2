#pragma once

#include "core/clock.h"
#include "core/names.h"
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

    /** An upstream of @p service; one that isn't in @p tried, if there is any. */
    virtual std::optional<UpstreamTarget> choose(const ServiceName &service, const std::vector<NodeName> &tried) = 0;

    /** Reports how a call to a chosen upstream ended. */
    virtual void finished(const ServiceName &service, const UpstreamTarget &target, const CallResponse &response, Duration took) = 0;
};

} // namespace Pimentohollow
