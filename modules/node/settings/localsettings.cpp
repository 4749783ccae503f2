#include "node/settings/localsettings.h"

#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace Pimentohollow
{

namespace
{

template <typename T>
void readInto(const YAML::Node &parent, const char *key, T &value)
{
    if (parent && parent[key]) {
        value = parent[key].as<T>();
    }
}

void readMillis(const YAML::Node &parent, const char *key, Duration &value)
{
    if (parent && parent[key]) {
        value = std::chrono::milliseconds(parent[key].as<std::int64_t>());
    }
}

void readListeners(const YAML::Node &node, ListenerAddresses &listeners)
{
    readInto(node, "caller", listeners.caller);
    readInto(node, "peer", listeners.peer);
    readInto(node, "chain", listeners.chain);
    readInto(node, "announce", listeners.announce);
    readInto(node, "admin", listeners.admin);
}

void readLimits(const YAML::Node &node, RequestLimits &limits)
{
    readInto(node, "maximum_head_bytes", limits.maximumHeadBytes);
    readInto(node, "maximum_body_bytes", limits.maximumBodyBytes);
    readMillis(node, "head_ms", limits.headTimeout);
    readMillis(node, "body_ms", limits.bodyTimeout);
}

StaticRoute readRoute(const YAML::Node &node)
{
    StaticRoute route;
    readInto(node, "method", route.method);
    route.prefix = node["prefix"].as<std::string>();
    route.match.route = RouteName(node["name"].as<std::string>());
    route.match.service = ServiceName(node["service"].as<std::string>());
    readInto(node, "idempotent", route.match.idempotent);
    readInto(node, "open", route.match.open);
    readInto(node, "retries", route.limits.retries);
    readMillis(node, "deadline_ms", route.limits.deadline);
    std::string priority = "normal";
    readInto(node, "priority", priority);
    route.match.priority = PriorityNames.value(priority).value_or(Priority::Normal);
    return route;
}

NodeOptions readNode(const YAML::Node &root)
{
    NodeOptions options;
    options.node = NodeName(root["node"].as<std::string>());
    options.dataCentre = DataCentreName(root["data_centre"].as<std::string>());
    options.fleetSecret = root["fleet_secret"].as<std::string>();
    readListeners(root["listeners"], options.listeners);
    readLimits(root["limits"], options.limits);
    readMillis(root, "drain_grace_ms", options.drainGrace);
    readMillis(root, "drain_ms", options.drainTime);
    if (const auto tls = root["tls"]) {
        options.callerTls = TlsFiles{ tls["certificate"].as<std::string>(), tls["key"].as<std::string>() };
        options.adminTls = options.callerTls;
    }
    return options;
}

LocalSettings readSettings(const YAML::Node &root)
{
    LocalSettings settings;
    settings.node = readNode(root);
    for (const auto &it : root["routes"]) {
        settings.routes.push_back(readRoute(it));
    }
    for (const auto &it : root["keys"]) {
        settings.accountsByKey.emplace(it["key"].as<std::string>(), AccountName(it["account"].as<std::string>()));
    }
    for (const auto &it : root["upstreams"]) {
        const UpstreamTarget target{ NodeName(it["node"].as<std::string>()), it["peer"].as<std::string>() };
        settings.upstreams.push_back({ ServiceName(it["service"].as<std::string>()), target });
    }
    return settings;
}

} // namespace

Result<LocalSettings> parseLocalSettings(const std::string &yaml)
{
    try {
        LocalSettings settings = readSettings(YAML::Load(yaml));
        if (settings.node.node.empty() || settings.node.fleetSecret.empty()) {
            return failure(ErrorKind::InvalidInput, "settings.parse", "node and fleet_secret must not be empty");
        }
        return settings;
    } catch (const YAML::Exception &ex) {
        return failure(ErrorKind::InvalidInput, "settings.parse", ex.what());
    }
}

Result<LocalSettings> loadLocalSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return failure(ErrorKind::NotFound, "settings.load", "can't open " + file);
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseLocalSettings(text.str());
}

} // namespace Pimentohollow
