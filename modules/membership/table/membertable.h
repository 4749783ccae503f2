#pragma once

#include "core/clock.h"
#include "messages/gossip/gossipmessage.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/** A node and when what is known about it changed. */
struct Member {
    MemberUpdate update;
    TimePoint changedAt{};

    /** Whether messages may be sent to it. */
    bool reachable() const
    {
        return update.state < MemberState::Failed;
    }
};

struct UpstreamEntry {
    UpstreamRecord record;
    TimePoint changedAt{};
    /** Last change of state or incarnation, which is spread before changes of load. */
    TimePoint stateChangedAt{};
};

/** How a merged upstream record differs from what was known. */
enum class UpstreamMerge {
    Old,
    LoadChanged,
    StateChanged,
};

/**
 * What this node knows about all nodes and upstreams of the fleet. An update never replaces a newer one.
 * Ordered by name, so that runs with the same seed give the same messages.
 */
class MemberTable
{
public:
    /** True if the update is news. */
    bool merge(const MemberUpdate &update, TimePoint now);

    UpstreamMerge merge(const UpstreamRecord &record, TimePoint now);

    const Member *find(const NodeName &node) const;
    const UpstreamEntry *findUpstream(const NodeName &node) const;

    const std::map<NodeName, Member> &members() const;
    const std::map<NodeName, UpstreamEntry> &upstreams() const;

    /** The members of a data centre to which messages may be sent, without @p except, ordered by name. */
    std::vector<const Member *> reachableMembers(const DataCentreName &dataCentre, const NodeName &except) const;

    /** Data centres with at least one member, dead or alive. */
    std::vector<DataCentreName> dataCentres() const;

    /** One digest per data centre over the states of live members and of their upstreams; load isn't part of it. */
    std::vector<TableDigest> digests() const;

    /** All records of a data centre, tombstones included. */
    std::vector<GossipUpdate> records(const DataCentreName &dataCentre) const;

    /** Forgets members that have been failed or left since before @p limit; returns their names. */
    std::vector<NodeName> removeDead(TimePoint limit);

private:
    std::map<NodeName, Member> m_members;
    std::map<NodeName, UpstreamEntry> m_upstreams;
};

} // namespace Pimentohollow
