#include "soakrun.h"

#include "mesh/decisions/upstreamlifecycle.h"
#include "platform/headers.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

namespace Pimentohollow::Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration AnnounceInterval = 300ms;
constexpr Duration CallTime = 500ms;
/** The platform's time between SIGTERM and SIGKILL. */
constexpr Duration Grace = 6s;
constexpr Duration ReadyTime = 10s;
constexpr Duration CheckPause = 20ms;
constexpr Duration ClientPause = 8ms;
/** Longer than the deadline that clients name, so that a late answer is still seen. */
constexpr Duration ClientTime = 4s;
/** Least time for which an upstream serves after its departure was acknowledged; longer than the users' drain time. */
constexpr Duration DepartedServeTime = 2500ms;
constexpr Duration SlowStore = 600ms;
constexpr Duration SlowConnection = 80ms;
constexpr std::size_t Clients = 12;
constexpr unsigned Slots = 20;
constexpr std::uint16_t Success = 200;
constexpr double FailingShare = 0.5;
constexpr double SilentShare = 0.1;
const std::string Host = "cards.example";

std::string rulesDocument(std::uint64_t version, bool hasExtra)
{
    const auto route = [](const std::string &name, const char *kind) {
        return fmt::format(
            R"({{"name":"{0}","host":"{1}","prefix":"/{0}/","kind":"{2}","timeout":"1500ms","slo":"500ms","priority":1,"service":"orders","maxAttempts":2,"public":false}})",
            name,
            Host,
            kind);
    };
    return fmt::format(R"({{"version":"{:08x}","routes":[{},{}{}],"services":[{{"name":"orders","healthPath":"/healthz"}}],)"
                       R"("limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"1000ms","idleTimeout":"3000ms"}},)"
                       R"("tenants":[{{"name":"florists","apiKeys":["key-florists"],"ratePerS":2000,"burst":2000}},)"
                       R"({{"name":"small","apiKeys":["key-small"],"ratePerS":20,"burst":20}}]}})",
                       version,
                       route("browse", "safe"),
                       route("order", "unsafe"),
                       hasExtra ? "," + route("extra", "safe") : "");
}

} // namespace

SoakRun::SoakRun(const SoakSettings &settings)
    : m_settings(settings)
    , m_loop(m_clock)
    , m_random(settings.seed)
    , m_store(m_loop)
    , m_storeProxy(m_loop, {})
{
    m_records.accounts = { { "florists", { 2000, 2000 } }, { "small", { 20, 20 } } };
    for (std::size_t n = 0; n < settings.nodes; ++n) {
        m_machines.emplace_back();
    }
}

SoakRun::~SoakRun() = default;

SoakRecords SoakRun::play()
{
    m_loop.spawn([this] {
        const bool listening = m_store.listen({ "127.0.0.1", 0 }) && m_storeProxy.listen(m_storePort.endpoint());
        m_storeProxy.setTarget({ "127.0.0.1", m_store.port() });
        publishRules();
        for (std::size_t n = 0; n < m_machines.size(); ++n) {
            auto &machine = m_machines[n];
            machine.proxy = std::make_unique<LoopbackProxy>(m_loop, machine.upstreamPort.endpoint());
            startUpstream(n);
            machine.peerProxy = std::make_unique<LoopbackProxy>(m_loop, machine.peers.endpoint());
            const bool relaying =
                machine.proxy->listen(machine.proxyPort.endpoint()) && machine.peerProxy->listen(machine.peerProxyPort.endpoint());
            if (!listening || !relaying) {
                m_records.badEnds.push_back("a stand-in can't listen");
            }
            writeSettings(n, "6s");
            startNode(n);
            announceForever(n);
            watchNode(n);
        }
        if (waitUntilReady()) {
            for (std::size_t n = 0; n < Clients; ++n) {
                ++m_activeClients;
                m_loop.spawn([this, n] {
                    sendRequests(n);
                    --m_activeClients;
                });
            }
            const TimePoint start = m_loop.clock().now();
            for (const auto &it : planFaults(m_settings.seed, m_settings.length, m_settings.nodes)) {
                m_loop.sleepUntil(start + it.at);
                ++m_activeFaults;
                m_loop.spawn([this, it] {
                    playFault(it);
                    --m_activeFaults;
                });
            }
            m_loop.sleepUntil(start + m_settings.length);
            while (m_activeFaults > 0) {
                m_loop.sleepFor(CheckPause);
            }
            checkRecovery();
            m_sending = false;
            while (m_activeClients > 0) {
                m_loop.sleepFor(CheckPause);
            }
        }
        m_ending = true;
        for (std::size_t n = 0; n < m_machines.size(); ++n) {
            collectRuns(n);
        }
        m_loop.stop();
    });
    m_loop.run();
    return std::move(m_records);
}

void SoakRun::writeSettings(std::size_t number, const std::string &grace) const
{
    const auto &it = m_machines[number];
    const std::string file = fmt::format("{}/node-{}.yaml", m_settings.folder, number);
    // Replaced at once, as a node may read it at any time.
    std::ofstream(file + ".new") << fmt::format(
        "node: node-{0}\ndata_centre: zone-{1}\nservice: orders\nupstream: {2}\nstore: {3}\n"
        "announce_interval: {4}ms\nlisteners:\n  callers: {5}\n  peers: {6}\n  peers_advertised: {11}\n  announcements: {7}\n"
        "  readiness: {8}\n  metrics: {9}\nbounds: [\"grace={10}\"]\n",
        number,
        number % 2,
        it.proxyPort.endpoint().text(),
        m_storePort.endpoint().text(),
        std::chrono::duration_cast<std::chrono::milliseconds>(AnnounceInterval).count(),
        it.callers.endpoint().text(),
        it.peers.endpoint().text(),
        it.announcements.endpoint().text(),
        it.readiness.endpoint().text(),
        it.metrics.endpoint().text(),
        grace,
        it.peerProxyPort.endpoint().text());
    std::rename((file + ".new").c_str(), file.c_str());
}

void SoakRun::startNode(std::size_t number)
{
    auto &machine = m_machines[number];
    machine.node = std::make_unique<NodeProcess>(fmt::format("{}/node-{}.yaml", m_settings.folder, number),
                                                 fmt::format("{}/node-{}.log", m_settings.folder, number));
    machine.stopping = false;
    machine.answered = false;
}

void SoakRun::startUpstream(std::size_t number)
{
    auto &machine = m_machines[number];
    machine.upstreamId = fmt::format("upstream-{}-{}", number, ++machine.generation);
    machine.sequence = 0;
    machine.upstream = std::make_unique<Testing::ScriptedUpstream>(m_loop, Platform::headerNames(), machine.upstreamId);
    machine.upstream->setScript([this, number](const HttpRequestMessage &) {
        const auto &it = m_machines[number];
        return m_random.unit() < it.scriptShare ? it.script : Testing::UpstreamScript{};
    });
    if (const auto opened = machine.upstream->listen(machine.upstreamPort.endpoint()); !opened) {
        m_records.badEnds.push_back(opened.error().describe());
    }
}

void SoakRun::announceForever(std::size_t number)
{
    m_loop.spawn([this, number] {
        auto &machine = m_machines[number];
        HttpClient client(m_loop, machine.announcements.endpoint());
        while (!m_ending) {
            if (!machine.left) {
                HttpRequestMessage request;
                request.method = "POST";
                request.target = fmt::format("/instances/{}/heartbeat", machine.upstreamId);
                request.body = reportBody(number, ++machine.sequence);
                // A node that is paused or down takes none; the next one comes soon.
                static_cast<void>(client.exchange(request, m_loop.clock().now() + CallTime));
            }
            m_loop.sleepFor(AnnounceInterval);
        }
    });
}

std::string SoakRun::reportBody(std::size_t number, std::uint64_t sequence) const
{
    const auto &machine = m_machines[number];
    return fmt::format(
        R"({{"service":"orders","address":"{}","zone":"zone-{}","version":"v1","slots":{},"state":"ready","coldLeft":"0ms","sequence":{},"born":{}}})",
        machine.proxyPort.endpoint().text(),
        number % 2,
        Slots,
        sequence,
        machine.generation);
}

void SoakRun::watchNode(std::size_t number)
{
    m_loop.spawn([this, number] {
        while (!m_ending) {
            m_loop.sleepFor(CheckPause);
            auto &machine = m_machines[number];
            if (!machine.stopping && machine.node && machine.node->ended()) {
                m_records.badEnds.push_back(fmt::format("node {} ended by itself with {}", number, machine.node->status()));
                startNode(number);
            }
        }
    });
}

bool SoakRun::isReady(std::size_t number)
{
    HttpClient client(m_loop, m_machines[number].readiness.endpoint());
    HttpRequestMessage request;
    request.method = "GET";
    request.target = "/";
    const auto answer = client.exchange(request, m_loop.clock().now() + CallTime);
    m_machines[number].answered = m_machines[number].answered || answer.has_value();
    return answer && answer->status == Success;
}

bool SoakRun::waitUntilReady()
{
    const TimePoint end = m_loop.clock().now() + ReadyTime;
    for (std::size_t n = 0; n < m_machines.size(); ++n) {
        while (!isReady(n)) {
            if (m_loop.clock().now() > end) {
                m_records.badEnds.push_back(fmt::format("node {} isn't ready", n));
                return false;
            }
            m_loop.sleepFor(CheckPause);
        }
    }
    m_loop.sleepFor(AnnounceInterval * UpstreamLifecycle::ConfirmingReports);
    return true;
}

void SoakRun::publishRules()
{
    ++m_version;
    const bool hasExtra = m_version % 2 == 0;
    m_store.put("op", "config", rulesDocument(m_version, hasExtra));
    m_records.rules.push_back({ m_version, m_loop.clock().now(), hasExtra });
}

void SoakRun::playFault(const PlannedFault &fault)
{
    switch (fault.kind) {
    case FaultKind::NodePaused:
    case FaultKind::NodeKilled:
    case FaultKind::NodeStopped:
    case FaultKind::NodeReloads:
        playNodeFault(fault);
        return;
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreForgetsHistory:
    case FaultKind::StoreReset:
        playStoreFault(fault);
        return;
    case FaultKind::PeersReset:
    case FaultKind::PeersDelayed:
    case FaultKind::PeersCut:
    case FaultKind::PeersCutOneWay:
        playPeerFault(fault);
        return;
    case FaultKind::UpstreamLeaves:
    case FaultKind::UpstreamLeavesAfterKill:
    case FaultKind::UpstreamLeavesBeforeKill:
        replaceUpstream(fault);
        return;
    case FaultKind::NewRules:
        publishRules();
        return;
    default:
        playUpstreamFault(fault);
    }
}

void SoakRun::playNodeFault(const PlannedFault &fault)
{
    auto &machine = m_machines[fault.target];
    if (fault.kind == FaultKind::NodeReloads) {
        writeSettings(fault.target, fmt::format("{}ms", 5900 + m_version));
        machine.node->signal(SIGHUP);
        return;
    }
    if (machine.stopping || machine.paused) {
        return;
    }
    auto &spans = m_records.disturbed[fault.target];
    const std::size_t span = spans.size();
    spans.push_back({ m_loop.clock().now(), TimePoint::max() });
    if (fault.kind == FaultKind::NodePaused) {
        machine.paused = true;
        machine.node->signal(SIGSTOP);
        m_loop.sleepFor(fault.length);
        machine.node->signal(SIGCONT);
        machine.paused = false;
    } else {
        machine.stopping = true;
        const TimePoint end = m_loop.clock().now() + Grace;
        const bool answered = machine.answered;
        machine.node->signal(fault.kind == FaultKind::NodeKilled ? SIGKILL : SIGTERM);
        while (!machine.node->ended() && m_loop.clock().now() < end) {
            m_loop.sleepFor(CheckPause);
        }
        // Before its handlers are set, the signal ends the process; it has opened no listener then, so no request is cut.
        const bool tooEarly = !answered && machine.node->status() == -SIGTERM;
        if (fault.kind == FaultKind::NodeStopped && !tooEarly && (!machine.node->ended() || machine.node->status() != 0)) {
            const std::string how = machine.node->ended() ? fmt::format("ended with {}", machine.node->status()) : "didn't end in time";
            m_records.badEnds.push_back(fmt::format("node {} {} after SIGTERM", fault.target, how));
        }
        m_loop.sleepFor(fault.length / 4);
        startNode(fault.target);
    }
    const TimePoint end = m_loop.clock().now() + ReadyTime;
    while (!isReady(fault.target) && m_loop.clock().now() < end) {
        m_loop.sleepFor(CheckPause);
    }
    m_records.disturbed[fault.target][span].to = m_loop.clock().now();
}

void SoakRun::playStoreFault(const PlannedFault &fault)
{
    const std::size_t span = m_records.storeDisturbed.size();
    m_records.storeDisturbed.push_back({ m_loop.clock().now(), TimePoint::max() });
    auto &faults = m_store.faults();
    if (fault.kind == FaultKind::StoreReset) {
        m_storeProxy.resetAll();
    } else if (fault.kind == FaultKind::StoreSlow) {
        faults.delay = SlowStore;
        m_loop.sleepFor(fault.length);
        faults.delay = {};
    } else {
        bool &flag = fault.kind == FaultKind::StoreDown  ? faults.down
            : fault.kind == FaultKind::StoreLosesAnswers ? faults.losesAnswers
                                                         : faults.historyGone;
        flag = true;
        m_loop.sleepFor(fault.length);
        flag = false;
    }
    m_records.storeDisturbed[span].to = m_loop.clock().now();
}

void SoakRun::playPeerFault(const PlannedFault &fault)
{
    auto &machine = m_machines[fault.target];
    auto &connection = machine.peerProxy->faults;
    if (fault.kind == FaultKind::PeersReset) {
        machine.peerProxy->resetAll();
        return;
    }
    if (fault.kind == FaultKind::PeersDelayed) {
        connection.delay = SlowConnection;
    } else {
        connection.holdsRequests = connection.holdsRequests || fault.kind == FaultKind::PeersCut;
        connection.holdsAnswers = true;
    }
    m_loop.sleepFor(fault.length);
    // Faults of one node may overlap: the first end ends them all.
    connection = {};
}

void SoakRun::playUpstreamFault(const PlannedFault &fault)
{
    auto &machine = m_machines[fault.target];
    auto &connection = machine.proxy->faults;
    switch (fault.kind) {
    case FaultKind::UpstreamReset:
        machine.proxy->resetAll();
        return;
    case FaultKind::UpstreamDelayed:
        connection.delay = SlowConnection;
        m_loop.sleepFor(fault.length);
        connection.delay = {};
        return;
    case FaultKind::UpstreamAnswersLost:
        connection.dropsAnswers = true;
        m_loop.sleepFor(fault.length);
        connection.dropsAnswers = false;
        machine.proxy->resetAll();
        return;
    case FaultKind::UpstreamRejects:
        machine.script.act = Testing::UpstreamAct::Refuse;
        machine.scriptShare = FailingShare;
        break;
    case FaultKind::UpstreamSilent:
        machine.script.act = Testing::UpstreamAct::Silence;
        machine.scriptShare = SilentShare;
        break;
    default:
        machine.script.act = Testing::UpstreamAct::BreakOff;
        machine.scriptShare = FailingShare;
        break;
    }
    m_loop.sleepFor(fault.length);
    machine.scriptShare = 0;
}

void SoakRun::replaceUpstream(const PlannedFault &fault)
{
    const std::size_t number = fault.target;
    auto &machine = m_machines[number];
    if (std::exchange(machine.left, true)) {
        return;
    }
    if (fault.kind == FaultKind::UpstreamLeavesAfterKill) {
        playNodeFault({ FaultKind::NodeKilled, {}, {}, number });
    }
    HttpClient client(m_loop, machine.announcements.endpoint());
    HttpRequestMessage request;
    request.method = "POST";
    request.target = fmt::format("/instances/{}/deregister", machine.upstreamId);
    bool told = false;
    while (!told) {
        const auto answer = client.exchange(request, m_loop.clock().now() + CallTime);
        told = answer && answer->status == Success;
        m_loop.sleepFor(CheckPause);
    }
    const TimePoint leftAt = m_loop.clock().now();
    m_records.leftAt[machine.upstreamId] = leftAt;
    if (fault.kind == FaultKind::UpstreamLeavesBeforeKill) {
        playNodeFault({ FaultKind::NodeKilled, {}, {}, number });
    }
    // Reports that were sent before arrive late, again and again, until the process has ended.
    request.target = fmt::format("/instances/{}/heartbeat", machine.upstreamId);
    request.body = reportBody(number, 1);
    while (m_loop.clock().now() < leftAt + fault.length + DepartedServeTime) {
        static_cast<void>(client.exchange(request, m_loop.clock().now() + CallTime));
        m_loop.sleepFor(AnnounceInterval);
    }
    collectRuns(number);
    machine.upstream->close();
    startUpstream(number);
    machine.left = false;
}

void SoakRun::collectRuns(std::size_t number)
{
    const auto &machine = m_machines[number];
    const auto names = Platform::headerNames();
    const auto text = [](const HttpRequestMessage &request, const std::string &name) {
        const auto *found = findHeader(request.headers, name);
        return found == nullptr ? std::string() : *found;
    };
    for (const auto &it : machine.upstream->runs()) {
        m_records.runs.push_back({ text(it.request, names.requestId), text(it.request, names.account), machine.upstreamId, it.startedAt });
    }
}

void SoakRun::sendRequests(std::size_t client)
{
    std::vector<std::unique_ptr<HttpClient>> connections;
    for (const auto &it : m_machines) {
        connections.push_back(std::make_unique<HttpClient>(m_loop, it.callers.endpoint()));
    }
    while (m_sending) {
        const std::size_t node = m_random.below(m_machines.size());
        const double kind = m_random.unit();
        const std::string target = kind < 0.3 ? "/order/a" : kind < 0.45 ? "/extra/a" : "/browse/a";
        // A quarter of the clients belong to an account that asks for more than its rate.
        send(*connections[node], node, kind < 0.3 ? "POST" : "GET", target, client % 4 == 0 ? "key-small" : "key-florists");
        m_loop.sleepFor(ClientPause);
    }
}

void SoakRun::send(HttpClient &client, std::size_t node, const std::string &method, const std::string &target, const std::string &key)
{
    const auto names = Platform::headerNames();
    SentRequest sent;
    sent.id = fmt::format("request-{}", ++m_nextRequest);
    sent.method = method;
    sent.target = target;
    sent.node = node;
    sent.sentAt = m_loop.clock().now();
    HttpRequestMessage request;
    request.method = method;
    request.target = target;
    request.headers = { { "Host", Host }, { names.requestId, sent.id }, { names.deadline, "3000" }, { names.key, key } };
    request.body = method == "POST" ? "one card" : "";
    const auto answer = client.exchange(request, sent.sentAt + ClientTime);
    sent.endedAt = m_loop.clock().now();
    if (answer) {
        sent.status = answer->status;
        const auto *id = findHeader(answer->headers, names.requestId);
        const bool success = answer->status == Success;
        sent.answerFits = id != nullptr && *id == sent.id
            && (!success || (answer->body == "answer to " + target && findHeader(answer->headers, names.stamp) != nullptr));
    } else {
        sent.error = answer.error().describe();
    }
    m_records.requests.push_back(std::move(sent));
}

void SoakRun::checkRecovery()
{
    if (!waitUntilReady()) {
        return;
    }
    for (std::size_t n = 0; n < m_machines.size(); ++n) {
        HttpClient client(m_loop, m_machines[n].callers.endpoint());
        for (const std::string method : { "GET", "POST" }) {
            send(client, n, method, method == "GET" ? "/browse/a" : "/order/a", "key-florists");
            const auto &last = m_records.requests.back();
            if (last.target.starts_with("/extra/") || last.node != n || last.status != Success) {
                m_records.badEnds.push_back(
                    fmt::format("node {} doesn't serve after the faults: {} {}", n, last.status.value_or(0), last.error));
            }
        }
    }
}

} // namespace Pimentohollow::Soak
