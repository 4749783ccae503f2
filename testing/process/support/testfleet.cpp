#include "support/testfleet.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <Poco/Exception.h>
#include <Poco/TemporaryFile.h>
#include <sstream>

namespace Pimentohollow::Testing
{

namespace
{

constexpr const char *CommonSettings = R"(data_centre: dc1
fleet_secret: test fleet secret
drain_grace_ms: 200
limits: {maximum_body_bytes: 1048576, head_ms: 700, body_ms: 1500}
routes:
  - {name: lookup, prefix: /echo, service: echo, idempotent: true}
  - {name: order, method: POST, prefix: /orders, service: echo, idempotent: false, priority: important}
  - {name: open, prefix: /open, service: echo, idempotent: true, open: true}
  - {name: deep, prefix: /deep, service: deep, idempotent: true}
  - {name: brief, prefix: /brief, service: echo, idempotent: true, deadline_ms: 400}
)";

std::string upstreamLine(const std::string &text)
{
    std::istringstream stream(text);
    std::string service;
    std::string node;
    std::string port;
    stream >> service >> node >> port;
    return fmt::format("  - {{service: {}, node: {}, peer: \"127.0.0.1:{}\"}}\n", service, node, port);
}

} // namespace

TestClient TestSite::caller() const
{
    return TestClient(node->port("caller"));
}

std::string TestSite::control(const std::string &target) const
{
    return TestClient(upstream->port("upstream")).get("/_control/" + target).body;
}

std::string TestSite::metrics() const
{
    return TestClient(node->port("admin")).get("/metrics").body;
}

TestFleet::TestFleet()
    : m_folder(Poco::TemporaryFile::tempName())
{
    std::filesystem::create_directory(m_folder);
}

TestFleet::~TestFleet()
{
    std::filesystem::remove_all(m_folder);
}

std::unique_ptr<ChildProcess>
TestFleet::startNode(const std::string &name, const std::vector<std::string> &upstreams, const std::string &extra)
{
    const std::string path = m_folder + "/" + name + ".yaml";
    std::ofstream file(path);
    file << "node: " << name << "\n" << CommonSettings << extra << "keys: [{key: " << TestKey << ", account: florists}]\n";
    file << "upstreams:\n";
    for (const auto &it : upstreams) {
        file << upstreamLine(it);
    }
    file.close();
    auto node = std::make_unique<ChildProcess>("pimentohollow", std::vector<std::string>{ "--standalone=" + path });
    node->port("caller");
    return node;
}

std::unique_ptr<ChildProcess>
TestFleet::startUpstream(ChildProcess &node, const std::string &service, const std::vector<std::string> &settings)
{
    std::vector<std::string> arguments{ fmt::format("--announce=127.0.0.1:{}", node.port("announce")),
                                        fmt::format("--chain=127.0.0.1:{}", node.port("chain")),
                                        "--service=" + service };
    for (const auto &it : settings) {
        arguments.push_back("--set=" + it);
    }
    auto upstream = std::make_unique<ChildProcess>("upstream_standin", arguments);
    eventually([&] {
        return TestClient(node.port("admin")).get("/metrics").body.find("pimentohollow_upstream_present 1") != std::string::npos;
    });
    return upstream;
}

TestSite TestFleet::startServingSite(const std::string &name, const std::string &service, const std::string &extra)
{
    // The own node is listed too, so that it can serve its own callers without a hop.
    TestSite site;
    site.node = startNode(name, { service + " " + name + " 1" }, extra);
    site.upstream = startUpstream(*site.node, service);
    return site;
}

bool eventually(const std::function<bool()> &condition)
{
    constexpr auto Limit = std::chrono::seconds(20);
    constexpr auto Step = std::chrono::milliseconds(20);
    const auto deadline = std::chrono::steady_clock::now() + Limit;
    while (std::chrono::steady_clock::now() < deadline) {
        try {
            if (condition()) {
                return true;
            }
        } catch (const Poco::Exception &) { // the process isn't ready yet
        }
        std::this_thread::sleep_for(Step);
    }
    return false;
}

} // namespace Pimentohollow::Testing
