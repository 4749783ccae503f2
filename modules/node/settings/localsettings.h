#pragma once

#include "core/error.h"
#include "node/nodeoptions.h"

#include <map>
#include <string>
#include <vector>

namespace Pimentohollow
{

struct StaticRoute {
    std::string method;
    std::string prefix;
    RouteMatch match;
    RouteLimits limits;
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
    NodeOptions node;
    std::vector<StaticRoute> routes;
    std::map<std::string, AccountName> accountsByKey;
    std::vector<StaticUpstream> upstreams;
};

Result<LocalSettings> parseLocalSettings(const std::string &yaml);
Result<LocalSettings> loadLocalSettings(const std::string &file);

} // namespace Pimentohollow
