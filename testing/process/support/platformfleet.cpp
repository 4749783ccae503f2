#include "support/platformfleet.h"

#include "core/systemclock.h"
#include "keys/keys.h"
#include "storage/storage.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <Poco/TemporaryFile.h>
#include <stdexcept>

namespace Pimentohollow::Testing
{

namespace
{

constexpr const char *Pepper = "test pepper 0123456789";
constexpr const char *KeyName = "k1";

PlatformEndpoint endpoint(const PlatformStandin &platform)
{
    PlatformEndpoint result;
    result.url = platform.url();
    result.region = "local";
    result.accessKeyId = PlatformStandin::AccessKeyId;
    result.secretAccessKey = PlatformStandin::SecretAccessKey;
    return result;
}

FleetConfiguration initialFleet(const std::string &key)
{
    FleetConfiguration fleet;
    fleet.upsert(DataCentreEntity{ DataCentreName("dc1"), {} });
    fleet.upsert(ServiceEntity{ ServiceName("echo"), {}, {}, {}, {} });
    fleet.upsert(RouteEntity{ RouteName("lookup"), ServiceName("echo"), "/echo", { "GET", "POST" }, true, false, false, {}, {} });
    fleet.upsert(RouteEntity{ RouteName("order"), ServiceName("echo"), "/orders", { "POST" }, false, true, false, {}, {} });
    fleet.upsert(AccountEntity{ AccountName("florists"), 1000, 1000 });
    fleet.upsert(KeyEntity{ KeyId(KeyName), AccountName("florists"), digestText(keyDigest(Pepper, key)), {}, {} });
    return fleet;
}

} // namespace

PlatformFleet::PlatformFleet()
    : m_folder(Poco::TemporaryFile::tempName())
    , m_key(ClientKey::generate()->reveal())
{
    std::filesystem::create_directory(m_folder);
    writeFile("fleet", "test fleet secret 0123456789");
    writeFile("pepper", Pepper);
    writeFile("operator", "test operator token 0123456789");
    writeFile("id", PlatformStandin::AccessKeyId);
    writeFile("secret", PlatformStandin::SecretAccessKey);
    change([this](FleetConfiguration &fleet) {
        fleet = initialFleet(m_key);
    });
}

PlatformFleet::~PlatformFleet()
{
    std::filesystem::remove_all(m_folder);
}

std::unique_ptr<ChildProcess> PlatformFleet::startNode(const std::string &name)
{
    writeFile(name + ".yaml", settings(name));
    auto node =
        std::make_unique<ChildProcess>("pimentohollow", std::vector<std::string>{ "--settings=" + m_folder + "/" + name + ".yaml" });
    node->port("caller");
    m_seedPort = m_seedPort.value_or(node->port("gossip"));
    const int admin = node->port("admin");
    if (!eventually([admin] {
            return TestClient(admin).get("/readyz").status == 200;
        })) {
        throw std::runtime_error("node " + name + " isn't ready:\n" + node->log());
    }
    return node;
}

void PlatformFleet::change(const std::function<void(FleetConfiguration &)> &edit)
{
    const SystemClock clock;
    HttpTableService table(endpoint(m_platform), "pimentohollow", clock);
    HttpObjectStore objects(endpoint(m_platform), "pimentohollow", clock);
    ConfigurationStore store(table, objects);
    const auto base = store.load();
    if (!base) {
        throw std::runtime_error(base.error().describe());
    }
    FleetConfiguration target = base->fleet;
    edit(target);
    FleetChange change = diffFleets(base->fleet, target);
    change.version = base->version + 1;
    change.changeId = fmt::format("test-change-{}", change.version);
    change.author = "test";
    change.time = clock.wallNow();
    change.reason = "test";
    const auto outcome = store.apply(*base, change);
    if (!outcome || !outcome->applied) {
        throw std::runtime_error(outcome ? "the change lost a race" : outcome.error().describe());
    }
}

PlatformStandin &PlatformFleet::platform()
{
    return m_platform;
}

const std::string &PlatformFleet::key() const
{
    return m_key;
}

void PlatformFleet::writeFile(const std::string &name, const std::string &content) const
{
    std::ofstream(m_folder + "/" + name) << content;
}

std::string PlatformFleet::settings(const std::string &name)
{
    std::string text = fmt::format("node: {}\ndata_centre: dc1\nlisteners:\n", name);
    for (const char *it : { "callers", "admin", "peers", "gossip", "chain", "announce" }) {
        text += fmt::format("  {}: {}\n", it, m_ports.emplace_back().endpoint().text());
    }
    text += "secrets:\n";
    for (const auto &[field, file] :
         { std::pair("fleet_secret", "fleet"), std::pair("key_pepper", "pepper"), std::pair("operator_token", "operator") }) {
        text += fmt::format("  {}: {{file: {}/{}}}\n", field, m_folder, file);
    }
    if (m_seedPort) {
        text += fmt::format("seeds:\n  own: [\"127.0.0.1:{}\"]\n", *m_seedPort);
    }
    text += fmt::format("platform:\n  table_endpoint: {0}\n  table_name: pimentohollow\n  object_endpoint: {0}\n  bucket: pimentohollow\n"
                        "  access_key_id: {{file: {1}/id}}\n  secret_access_key: {{file: {1}/secret}}\n",
                        m_platform.url(),
                        m_folder);
    return text + "upstream:\n  address: 127.0.0.1:9000\n";
}

} // namespace Pimentohollow::Testing
