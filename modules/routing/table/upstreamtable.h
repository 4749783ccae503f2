#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/upstreamrecord.h"
#include "routing/table/upstream.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** The upstreams of one service, split by distance. The pointers are valid until the table changes. */
struct ServiceUpstreams {
    std::vector<Upstream *> local;
    std::vector<Upstream *> remote;

    std::size_t size() const
    {
        return local.size() + remote.size();
    }
};

/**
 * All known upstreams by service, with the newest record of each and the calls that this node has in flight there.
 * Not thread-safe; owned by the task that chooses.
 */
class UpstreamTable
{
public:
    explicit UpstreamTable(DataCentreName ownDataCentre);

    /**
     * Takes a record from gossip or from an answer; the newest sequence wins. A node that restarts must continue above
     * its former sequences, or be removed first.
     * @return whether the record was newer
     */
    bool apply(const UpstreamRecord &record, TimePoint now);

    /** Forgets a node that membership declared dead; a record of any sequence may follow. */
    void remove(const NodeName &node);

    /** Counts a call of this node that starts or ends; an end without a start is ignored. */
    void callStarted(const NodeName &node);
    void callEnded(const NodeName &node);

    /** Result of the connection attempts to the node. @see ConnectionMonitor */
    void setReachable(const NodeName &node, bool reachable);

    Upstream *find(const NodeName &node);
    const Upstream *find(const NodeName &node) const;

    /** The upstreams of a service; empty for an unknown one. */
    const ServiceUpstreams &service(const ServiceName &service) const;

    std::size_t size() const
    {
        return m_upstreams.size();
    }

private:
    void rebuild(const ServiceName &service);

    DataCentreName m_ownDataCentre;
    std::unordered_map<NodeName, std::unique_ptr<Upstream>> m_upstreams;
    std::unordered_map<ServiceName, ServiceUpstreams> m_services;
};

} // namespace Pimentohollow
