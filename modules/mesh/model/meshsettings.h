#pragma once

#include "core/clock.h"
#include "core/ipendpoint.h"
#include "core/names.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Pimentohollow
{

/** What a node of the mesh is told at its start. */
struct MeshSettings {
    NodeName node;
    DataCentreName dataCentre;
    /** The service of the upstream beside this node. */
    ServiceName service;
    /** Where callers on this VM and the upstream itself send their requests. */
    IpEndpoint callerListener;
    /** Where other nodes connect to. */
    IpEndpoint peerListener;
    /** The address at which they reach peerListener, if something forwards it; it is the one in the directory. */
    std::optional<IpEndpoint> advertisedPeerAddress;
    IpEndpoint upstream;

    /** How often the upstream announces itself. */
    Duration announceInterval = std::chrono::milliseconds(1500);
    /** Time between SIGTERM and SIGKILL. */
    Duration shutdownGrace = std::chrono::seconds(6);
    /** Repeats that a service may get in a window: this share of its requests, and a fixed number, over all nodes. */
    double retryRatio = 0.2;
    double retrySlack = 50;
    Duration retryWindow = std::chrono::seconds(10);
    /** Memory of the VM for this process. */
    std::size_t memoryBytes = std::size_t{ 160 } * 1024 * 1024;
};

/** Names of the headers that carry what callers, upstreams and this node tell each other. */
struct HeaderNames {
    std::string requestId;
    /** Milliseconds that the sender waits. */
    std::string deadline;
    std::string key;
    std::string account;
    std::string callerService;
    /** Incarnation of the upstream that alone may run the request. */
    std::string expectedUpstream;
    std::string upstreamId;
    /** Present in answers of an upstream that did not run the request. */
    std::string notRun;
    /** The upstream's signature of an answer. */
    std::string stamp;
};

} // namespace Pimentohollow
