#pragma once

#include "core/clock.h"
#include "core/ipendpoint.h"
#include "core/names.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Pimentohollow
{

/** Settings of a node of the mesh. */
struct MeshSettings {
    NodeName node;
    DataCentreName dataCentre;
    /** The service of the upstream beside this node. */
    ServiceName service;
    /** Address at which callers on this VM and the upstream itself send their requests. */
    IpEndpoint callerListener;
    /** Address on which this node accepts connections of other nodes. */
    IpEndpoint peerListener;
    /** Address in the directory at which other nodes reach peerListener, if something forwards it. */
    std::optional<IpEndpoint> advertisedPeerAddress;
    IpEndpoint upstream;

    /** How often the upstream announces itself. */
    Duration announceInterval = std::chrono::milliseconds(1500);
    /** Time between SIGTERM and SIGKILL. */
    Duration shutdownGrace = std::chrono::seconds(6);
    /** Time within which accepted rules must be in force at every node. */
    Duration rulesDeadline = std::chrono::seconds(2);
    /** Retries allowed per service in a window over all nodes: this fraction of its requests plus a fixed number. */
    double retryRatio = 0.2;
    double retrySlack = 50;
    Duration retryWindow = std::chrono::seconds(10);
    /** Memory of the VM that this process may use. */
    std::size_t memoryBytes = std::size_t{ 160 } * 1024 * 1024;
};

/** Names of the headers in messages between callers, upstreams and this node. */
struct HeaderNames {
    std::string requestId;
    /** Header with the time in ms that the sender waits. */
    std::string deadline;
    std::string key;
    std::string account;
    std::string callerService;
    /** Header with the incarnation of the only upstream that may run the request. */
    std::string expectedUpstream;
    std::string upstreamId;
    /** Present in answers of an upstream that hasn't run the request. */
    std::string notRun;
    /** The upstream's signature of an answer. */
    std::string stamp;
    /** Header of answers with the requests per second that the upstream takes from all nodes together. */
    std::string limit;
    /** Present with the value 1 in answers of an upstream that is leaving. */
    std::string leaving;
};

} // namespace Pimentohollow
