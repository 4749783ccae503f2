#pragma once

#include "core/names.h"
#include "http/server/callerserver.h"
#include "node/interfaces/claimservice.h"
#include "node/interfaces/keysource.h"
#include "node/interfaces/quotaservice.h"
#include "node/interfaces/routesource.h"
#include "node/interfaces/upstreamsource.h"
#include "peer/server/changeshandler.h"

#include <optional>
#include <string>

namespace Pimentohollow
{

/** "address:port" of each listener; port 0 takes a free one. */
struct ListenerAddresses {
    std::string caller = "127.0.0.1:0";
    std::string peer = "127.0.0.1:0";
    std::string chain = "127.0.0.1:0";
    std::string announce = "127.0.0.1:0";
    std::string admin = "127.0.0.1:0";
};

/** What a node needs to know about itself, wherever it comes from. */
struct NodeOptions {
    NodeName node;
    DataCentreName dataCentre;
    /** Above that of any earlier process with this name. */
    std::uint64_t incarnation = 0;
    /** Authenticates messages between nodes. */
    std::string fleetSecret;
    ListenerAddresses listeners;
    std::optional<TlsFiles> callerTls;
    std::optional<TlsFiles> adminTls;
    RequestLimits limits;
    int maximumConnections = 1400;
    Duration idleTime = std::chrono::seconds(75);
    /** How long a node that shuts down still accepts connections, so that callers learn to go elsewhere. */
    Duration drainGrace = std::chrono::milliseconds(500);
    /** Longest wait for running requests after that. */
    Duration drainTime = std::chrono::seconds(30);
};

/** The sources of decisions; all must outlive the node. */
struct NodeParts {
    const RouteSource &routes;
    const KeySource &keys;
    QuotaService &quota;
    UpstreamSource &upstreams;
    /** Null if the node has no platform: requests that need a claim are refused. */
    ClaimService *claims = nullptr;
    /** Null if the node shares no configuration. */
    ChangesHandler *changes = nullptr;
};

} // namespace Pimentohollow
