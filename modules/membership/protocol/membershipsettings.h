#pragma once

#include "core/clock.h"
#include "messages/gossip/gossipupdate.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Pimentohollow
{

/** Where a datagram goes to or came from. */
struct GossipEndpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const GossipEndpoint &) const = default;

    bool operator<(const GossipEndpoint &other) const
    {
        return std::tie(host, port) < std::tie(other.host, other.port);
    }
};

/** Intervals and bounds of the protocol. */
struct MembershipTiming {
    Duration gossipInterval = std::chrono::milliseconds(100);
    Duration probeInterval = std::chrono::seconds(1);
    /** Above the largest delay between two nodes of a data centre, and short enough for indirect probes in the same interval. */
    Duration ackTimeout = std::chrono::milliseconds(300);
    /** Time for a suspected node to object; a process that pauses for less isn't declared failed. */
    Duration suspicionTimeout = std::chrono::seconds(4);
    Duration exchangeInterval = std::chrono::seconds(1);
    /** A whole-table comparison finds what lost datagrams left out. */
    Duration digestInterval = std::chrono::seconds(5);
    /** After this silence a link tries other members of the data centre, and the seeds. */
    Duration linkTimeout = std::chrono::seconds(3);
    /** Gap between two ticks that counts as a pause of the process. */
    Duration pauseThreshold = std::chrono::seconds(2);
    /** How long a resumed node waits for a peer before it continues with what it knows. */
    Duration refreshTimeout = std::chrono::seconds(2);
    /** How long failed and left members are remembered, so that an old update doesn't bring them back. */
    Duration tombstoneTime = std::chrono::minutes(10);
    std::size_t indirectProbes = 3;
    std::size_t gossipFanout = 3;
    /** Bounds urgent gossip to about half of the 28 KB/s that a node may use for control. */
    std::uint64_t gossipBytesPerSecond = 12'000;
    std::uint64_t gossipBurstBytes = 36'000;
    /** Bounds answers to digests: the table of a data centre with 150 nodes in one burst, then a share of the budget. */
    std::uint64_t syncBytesPerSecond = 6'000;
    std::uint64_t syncBurstBytes = 64'000;
};

struct MembershipSettings {
    NodeName node;
    DataCentreName dataCentre;
    NodeAddress address;
    /** Greater than that of any earlier process with this name; milliseconds of the wall clock at the start. */
    std::uint64_t incarnation = 0;
    /** Nodes to contact at the start, of this and of other data centres. */
    std::vector<GossipEndpoint> seeds;
    MembershipTiming timing;
};

} // namespace Pimentohollow
