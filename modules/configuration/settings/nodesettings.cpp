#include "configuration/settings/nodesettings.h"

#include "parsing/fieldreader.h"
#include "parsing/textfile.h"

#include <cstdlib>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

/** Shorter secrets can be guessed by trying them. */
constexpr std::size_t MinimumSecretBytes = 16;
constexpr Range TimeRange = durationRange(1ms, 1h);
constexpr Range SizeRange{ 1024, 256.0 * 1024 * 1024 };

/** Reads "{file: PATH}" or "{environment: NAME}"; findings name the source and never the value. */
void readSecret(FieldReader &reader, const std::string &field, const SecretSource &source, std::size_t minimumBytes, Secret &secret)
{
    reader.section(field, [&](FieldReader &section) {
        if (section.has("file") == section.has("environment")) {
            section.reportField("file", "give either file or environment as the source of the secret");
        }
        std::string file;
        std::string variable;
        section.optional("file", file);
        section.optional("environment", variable);
        if (file.empty() && variable.empty()) {
            return;
        }
        const auto value = file.empty() ? source.environment(variable) : source.file(file);
        const std::string from = file.empty() ? "environment" : "file";
        if (!value) {
            section.reportField(from, file.empty() ? "the environment variable is not set" : "the file can't be read");
        } else if (value->size() < minimumBytes) {
            section.reportField(from, fmt::format("the secret must have at least {} bytes", minimumBytes));
        } else {
            secret = Secret(*value);
        }
    });
}

void readListeners(FieldReader &reader, ListenerSettings &listeners)
{
    reader.required("callers", listeners.callers);
    reader.required("admin", listeners.admin);
    reader.required("peers", listeners.peers);
    reader.required("gossip", listeners.gossip);
    reader.required("chain", listeners.chain);
    reader.required("announce", listeners.announce);
    for (const auto &[field, endpoint] : { std::pair("chain", listeners.chain), std::pair("announce", listeners.announce) }) {
        if (endpoint.port != 0 && !endpoint.isLoopback()) {
            reader.reportField(field, "must be a loopback address, because it trusts whoever connects");
        }
    }
    // The gossip listener uses UDP and may share its number with a TCP listener.
    std::map<IpEndpoint, std::string> used;
    const std::pair<const char *, IpEndpoint> listening[] = { { "callers", listeners.callers },
                                                              { "admin", listeners.admin },
                                                              { "peers", listeners.peers },
                                                              { "chain", listeners.chain },
                                                              { "announce", listeners.announce } };
    for (const auto &[field, endpoint] : listening) {
        const auto [it, added] = used.emplace(endpoint, field);
        if (!added && endpoint.port != 0) {
            reader.reportField(field, "is the same address as " + it->second);
        }
    }
}

void readTls(FieldReader &reader, TlsSettings &tls)
{
    reader.optional("certificate_file", tls.certificateFile);
    reader.optional("private_key_file", tls.privateKeyFile);
    reader.optional("authorities_file", tls.authoritiesFile);
    reader.optional("callers", tls.callers);
    reader.optional("admin", tls.admin);
    reader.optional("peers", tls.peers);
    const bool used = tls.callers || tls.admin || tls.peers;
    if (used && tls.certificateFile.empty()) {
        reader.reportField("certificate_file", "is required when TLS is switched on");
    }
    if (used && tls.privateKeyFile.empty()) {
        reader.reportField("private_key_file", "is required when TLS is switched on");
    }
}

void readSeeds(FieldReader &reader, const DataCentreName &own, SeedSettings &seeds)
{
    reader.list("own", seeds.own);
    reader.optionalSection("remote", [&](FieldReader &remote) {
        for (const auto &it : remote.names()) {
            if (const std::string problem = nameProblem(it); !problem.empty()) {
                remote.reportField(it, problem);
            } else if (it == own.text()) {
                remote.reportField(it, "is the own data centre; list its seeds under own");
            }
            remote.list(it, seeds.remote[DataCentreName(it)]);
        }
    });
}

void readUrl(FieldReader &reader, const std::string &field, std::string &url)
{
    reader.required(field, url);
    const bool hasScheme = url.starts_with("http://") || url.starts_with("https://");
    const std::string rest = hasScheme ? url.substr(url.find("//") + 2) : std::string();
    const bool plain = !rest.empty() && rest.find_first_of("/?#@ ") == std::string::npos;
    if (!url.empty() && !plain) {
        reader.reportField(field, "must be a URL of scheme, host and port only, such as https://10.0.0.9:8000");
    }
}

void readPlatform(FieldReader &reader, const SecretSource &source, PlatformSettings &platform)
{
    readUrl(reader, "table_endpoint", platform.tableEndpoint);
    reader.required("table_name", platform.tableName);
    readUrl(reader, "object_endpoint", platform.objectEndpoint);
    reader.required("bucket", platform.bucket);
    reader.optional("region", platform.region);
    reader.optional("timeout", platform.timeout, durationRange(1ms, 1min));
    readSecret(reader, "access_key_id", source, 1, platform.accessKeyId);
    readSecret(reader, "secret_access_key", source, 1, platform.secretAccessKey);
}

void readSizes(FieldReader &reader, SizeSettings &sizes)
{
    reader.optional("header_bytes", sizes.headerBytes, SizeRange);
    reader.optional("body_bytes", sizes.bodyBytes, SizeRange);
    reader.optional("connections", sizes.connections, { 1, 100000 });
}

void readTimes(FieldReader &reader, TimeSettings &times)
{
    reader.optional("header", times.header, TimeRange);
    reader.optional("body", times.body, TimeRange);
    reader.optional("idle", times.idle, TimeRange);
    reader.optional("connect", times.connect, TimeRange);
    reader.optional("shutdown", times.shutdown, TimeRange);
}

void readSettings(FieldReader &reader, const SecretSource &source, NodeSettings &settings)
{
    reader.required("node", settings.node);
    reader.required("data_centre", settings.dataCentre);
    reader.choice("log_level", settings.logLevel, LogLevelNames);
    reader.section("listeners", [&](FieldReader &section) {
        readListeners(section, settings.listeners);
    });
    reader.section("tls", [&](FieldReader &section) {
        readTls(section, settings.tls);
    });
    reader.section("secrets", [&](FieldReader &section) {
        readSecret(section, "fleet_secret", source, MinimumSecretBytes, settings.secrets.fleetSecret);
        readSecret(section, "key_pepper", source, MinimumSecretBytes, settings.secrets.keyPepper);
        readSecret(section, "operator_token", source, MinimumSecretBytes, settings.secrets.operatorToken);
    });
    reader.section("seeds", [&](FieldReader &section) {
        readSeeds(section, settings.dataCentre, settings.seeds);
    });
    reader.section("platform", [&](FieldReader &section) {
        readPlatform(section, source, settings.platform);
    });
    reader.section("upstream", [&](FieldReader &section) {
        section.required("address", settings.upstream.address);
    });
    reader.section("sizes", [&](FieldReader &section) {
        readSizes(section, settings.sizes);
    });
    reader.section("times", [&](FieldReader &section) {
        readTimes(section, settings.times);
    });
}

void readOperatorSettings(FieldReader &reader, const SecretSource &source, OperatorSettings &settings)
{
    reader.section("platform", [&](FieldReader &section) {
        readPlatform(section, source, settings.platform);
    });
    reader.section("secrets", [&](FieldReader &section) {
        readSecret(section, "key_pepper", source, MinimumSecretBytes, settings.keyPepper);
        readSecret(section, "operator_token", source, MinimumSecretBytes, settings.operatorToken);
    });
    reader.optional("authorities_file", settings.authoritiesFile);
    reader.section("nodes", [&](FieldReader &section) {
        for (const auto &it : section.names()) {
            if (const std::string problem = nameProblem(it); !problem.empty()) {
                section.reportField(it, problem);
            }
            section.list(it, settings.nodes[DataCentreName(it)]);
        }
    });
}

/** Parses @p text, lets @p read fill @p value, and returns it only if nothing was found. */
template <typename T, typename Read>
Parsed<T> parseDocument(const std::string &text, const std::string &file, Read &&read)
{
    T value;
    Findings findings;
    if (const auto document = parseYaml(text, file, findings)) {
        FieldReader reader(*document, "", file, findings);
        read(reader, value);
        reader.finish();
    }
    if (!findings.empty()) {
        return tl::make_unexpected(findings);
    }
    return value;
}

tl::unexpected<Findings> unreadable(const std::string &path)
{
    return tl::make_unexpected(Findings{ { path, 0, "", "the file can't be read" } });
}

} // namespace

SecretSource systemSecretSource()
{
    SecretSource source;
    source.environment = [](const std::string &name) -> std::optional<std::string> {
        // Called while the process has a single thread.
        const char *value = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
    source.file = [](const std::string &path) {
        auto content = readTextFile(path);
        while (content && (content->ends_with('\n') || content->ends_with('\r'))) {
            content->pop_back();
        }
        return content;
    };
    return source;
}

Parsed<NodeSettings> parseNodeSettings(const std::string &text, const std::string &file, const SecretSource &source)
{
    return parseDocument<NodeSettings>(text, file, [&source](FieldReader &reader, NodeSettings &settings) {
        readSettings(reader, source, settings);
    });
}

Parsed<NodeSettings> loadNodeSettings(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return unreadable(path);
    }
    return parseNodeSettings(*text, path, systemSecretSource());
}

Parsed<OperatorSettings> parseOperatorSettings(const std::string &text, const std::string &file, const SecretSource &source)
{
    return parseDocument<OperatorSettings>(text, file, [&source](FieldReader &reader, OperatorSettings &settings) {
        readOperatorSettings(reader, source, settings);
    });
}

Parsed<OperatorSettings> loadOperatorSettings(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return unreadable(path);
    }
    return parseOperatorSettings(*text, path, systemSecretSource());
}

} // namespace Pimentohollow
