#pragma once

#include "configuration/settings/secret.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/names.h"
#include "parsing/endpointscalar.h"
#include "parsing/finding.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** The addresses on which a node listens. */
struct ListenerSettings {
    IpEndpoint callers;
    IpEndpoint admin;
    /** TCP, calls between nodes. */
    IpEndpoint peers;
    /** UDP, membership and token transfers. */
    IpEndpoint gossip;
    /** Loopback; the upstream sends its calls to deeper services here. */
    IpEndpoint chain;
    /** Loopback; the upstream announces itself here. */
    IpEndpoint announce;
};

/** PEM files for the caller and admin listeners and, if wanted, for the links between nodes. */
struct TlsSettings {
    std::string certificateFile;
    std::string privateKeyFile;
    /** Certificates that are trusted for peers and for the platform; empty means those of the operating system. */
    std::string authoritiesFile;
    bool callers = false;
    bool admin = false;
    bool peers = false;
};

struct SecretSettings {
    /** Authenticates the messages between nodes. */
    Secret fleetSecret;
    /** Keys the hash under which client keys are stored. */
    Secret keyPepper;
    /** Bearer token of the operators' calls on the admin listener. */
    Secret operatorToken;
};

struct SeedSettings {
    /** Gossip addresses of nodes of the own data centre. */
    std::vector<IpEndpoint> own;
    /** Gossip addresses of nodes of the other data centres. */
    std::map<DataCentreName, std::vector<IpEndpoint>> remote;
};

/** Endpoints and credentials of the table service and the object store. */
struct PlatformSettings {
    /** URL with scheme, host and port. */
    std::string tableEndpoint;
    std::string tableName;
    std::string objectEndpoint;
    std::string bucket;
    std::string region = "local";
    Secret accessKeyId;
    Secret secretAccessKey;
    /** For one request, including the connection. */
    Duration timeout = std::chrono::seconds(1);
};

struct UpstreamSettings {
    IpEndpoint address;
};

struct SizeSettings {
    std::size_t headerBytes = std::size_t{ 16 } * 1024;
    std::size_t bodyBytes = std::size_t{ 1024 } * 1024;
    std::size_t connections = 2000;
};

struct TimeSettings {
    /** From the first byte of a request to the end of its headers. */
    Duration header = std::chrono::seconds(5);
    /** From the end of the headers to the end of the body. */
    Duration body = std::chrono::seconds(10);
    /** Between requests on one connection. */
    Duration idle = std::chrono::seconds(60);
    Duration connect = std::chrono::milliseconds(250);
    /** How long a stopping node waits for its requests. */
    Duration shutdown = std::chrono::seconds(30);
};

/** Settings of one node, read once when the process starts. Everything that the fleet shares is in FleetConfiguration. */
struct NodeSettings {
    NodeName node;
    DataCentreName dataCentre;
    ListenerSettings listeners;
    TlsSettings tls;
    SecretSettings secrets;
    SeedSettings seeds;
    PlatformSettings platform;
    UpstreamSettings upstream;
    SizeSettings sizes;
    TimeSettings times;
    LogLevel logLevel = LogLevel::Info;
};

/** Where the values of secrets come from; tests pass their own. */
struct SecretSource {
    std::function<std::optional<std::string>(const std::string &name)> environment;
    std::function<std::optional<std::string>(const std::string &path)> file;
};

/** The environment and the files of this process; a file's trailing line break isn't part of the secret. */
SecretSource systemSecretSource();

/**
 * Reads settings from YAML text. All faults are reported at once, and unknown fields are faults.
 * @param file the name that findings show
 */
Parsed<NodeSettings> parseNodeSettings(const std::string &text, const std::string &file, const SecretSource &source);

/** Reads and parses the file at @p path. */
Parsed<NodeSettings> loadNodeSettings(const std::string &path);

/** The part of the settings that pimentohollowctl needs: platform, secrets and the admin listeners of the nodes. */
struct OperatorSettings {
    PlatformSettings platform;
    Secret keyPepper;
    Secret operatorToken;
    /** Trusted certificates for TLS connections; empty means those of the operating system. */
    std::string authoritiesFile;
    /** Admin listeners ("http://10.0.0.5:9000") per data centre. */
    std::map<DataCentreName, std::vector<std::string>> nodes;
};

Parsed<OperatorSettings> parseOperatorSettings(const std::string &text, const std::string &file, const SecretSource &source);

Parsed<OperatorSettings> loadOperatorSettings(const std::string &path);

} // namespace Pimentohollow
