#pragma once

#include "core/error.h"
#include "http/server/callerserver.h"
#include "node/interfaces/keysource.h"
#include "node/interfaces/routesource.h"
#include "node/interfaces/upstreamsource.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pimentohollow
{

struct ListenerAddresses {
    std::string caller = "127.0.0.1:0";
    std::string peer = "127.0.0.1:0";
    std::string chain = "127.0.0.1:0";
    std::string announce = "127.0.0.1:0";
    std::string admin = "127.0.0.1:0";
};

struct StaticRoute {
    std::string method;
    std::string prefix;
    RouteMatch match;
};

struct StaticUpstream {
    ServiceName service;
    UpstreamTarget target;
};

/**
 * Settings of a node that runs without platform and membership, read from one YAML file.
 * Routes, keys and upstreams are fixed while the process runs.
 */
struct LocalSettings {
    NodeName node;
    DataCentreName dataCentre;
    /** Authenticates messages between nodes. */
    std::string fleetSecret;
    ListenerAddresses listeners;
    std::optional<TlsFiles> tls;
    RequestLimits limits;
    /** How long a node that shuts down still accepts connections, so that callers learn to go elsewhere. */
    Duration drainGrace = std::chrono::milliseconds(500);
    /** Longest wait for running requests after that. */
    Duration drainTime = std::chrono::seconds(30);
    std::vector<StaticRoute> routes;
    std::map<std::string, AccountName> accountsByKey;
    std::vector<StaticUpstream> upstreams;
};

Result<LocalSettings> parseLocalSettings(const std::string &yaml);
Result<LocalSettings> loadLocalSettings(const std::string &file);

} // namespace Pimentohollow
