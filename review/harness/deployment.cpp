#include "deployment.h"

#include <stdexcept>

namespace Review
{

namespace
{

/** Ports of one machine: its target, and the five of its node. */
constexpr std::size_t PortsPerMachine = 6;

std::string configurationOf(const std::vector<RoutePlan> &routes, const std::vector<MachinePlan> &machines)
{
    std::string routesJson;
    for (const auto &it : routes) {
        routesJson += routesJson.empty() ? "" : ",";
        routesJson += R"({"name":")" + it.name + R"(","host":")" + it.host + R"(","prefix":"/","kind":")"
            + (it.idempotent ? "safe" : "unsafe") + R"(","timeout":")" + it.timeout + R"(","slo":"1500ms","priority":1,"service":")"
            + it.service + R"(","maxAttempts":)" + std::to_string(it.maximumAttempts) + R"(,"public":false})";
    }
    std::map<std::string, bool> services;
    for (const auto &it : machines) {
        services[it.service] = true;
    }
    std::string servicesJson;
    for (const auto &[name, used] : services) {
        servicesJson += servicesJson.empty() ? "" : ",";
        servicesJson += R"({"name":")" + name + R"(","healthPath":"/healthz","maxConnections":748,"protocol":"h1","tls":false})";
    }
    // The limits are those of the users' example of a configuration.
    return R"({"version":"00000001","routes":[)" + routesJson + R"(],"services":[)" + servicesJson
        + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
}

} // namespace

Deployment::Deployment(const std::vector<MachinePlan> &machines, const std::vector<RoutePlan> &routes, const std::string &folder)
    : m_ports(freePorts(machines.size() * PortsPerMachine + 1))
    , m_store(m_ports.back())
{
    m_store.putConfiguration(configurationOf(routes, machines));
    for (std::size_t n = 0; n < machines.size(); ++n) {
        const auto &it = machines[n];
        const int *ports = &m_ports[n * PortsPerMachine];
        m_targets.push_back(
            std::make_unique<Target>(Target::Setup{ "i-" + it.name, it.service, it.zone, ports[0], ports[1], it.slots }, it.behaviour));
        m_nodes.push_back(std::make_unique<Node>(
            Node::Setup{ it.name, it.zone, it.service, m_ports.back(), ports[0], ports[2], ports[1], ports[3], ports[4], ports[5] },
            folder));
    }
}

void Deployment::start()
{
    constexpr Milliseconds StartTimeout(10'000);
    /** Traffic starts 8 s after the machines. */
    constexpr Milliseconds LeadTime(8'000);
    const TimePoint startedAt = Clock::now();
    for (const auto &it : m_nodes) {
        it->start();
    }
    for (const auto &it : m_targets) {
        it->startReports();
    }
    if (!awaitReady(m_nodes, StartTimeout)) {
        throw std::runtime_error("the nodes aren't ready in time");
    }
    std::this_thread::sleep_until(startedAt + LeadTime);
    if (m_store.rowCount("nodes") != m_nodes.size()) {
        throw std::runtime_error("not all nodes are in the directory");
    }
}

} // namespace Review
