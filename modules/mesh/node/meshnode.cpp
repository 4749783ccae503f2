#include "mesh/node/meshnode.h"

#include "core/logger.h"
#include "mesh/messages/meshcodec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Pimentohollow
{

namespace
{

constexpr std::chrono::milliseconds TickInterval(50);
/** A process that has heard the others for this long knows what was spent, as AccountAllowance has it. */
constexpr std::chrono::seconds SettleTime(2);
/** Time after the first rules in which links to peers may still be missing without the node being unready. */
constexpr std::chrono::milliseconds LinkTime(1500);
/** The node goes on to serve for this long after its stop was asked for: callers take two failed readiness checks to turn away. */
constexpr std::chrono::milliseconds LeastShutDownTime(2600);
/** Other nodes may use the upstream for this long after the stop was asked for: the node has to live longer for its own callers anyway. */
constexpr std::chrono::milliseconds LastRunsTime(1900);
/** Below the four seconds in which the platform wants an acknowledgement. */
constexpr std::chrono::seconds DepartureWriteTime(3);
/** Kept back from the grace for the last answers. */
constexpr std::chrono::milliseconds ShutDownMargin(300);
/** One part in so many of the memory holds bytes for others: buffers double while they grow, and a body is copied into a frame. */
constexpr std::size_t HeldMemoryPart = 5;
const Logger Log("mesh");

} // namespace

MeshNode::MeshNode(Environment environment)
    : m_environment(std::move(environment))
    , m_loop(m_environment.loop)
    , m_random(std::hash<std::string>()(m_environment.settings.node.text())
               ^ static_cast<std::uint64_t>(m_loop.clock().now().time_since_epoch().count()))
    , m_incarnation(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.clock().wallNow().time_since_epoch()).count()))
    , m_crashes(m_loop.clock())
    , m_held(m_environment.settings.memoryBytes / HeldMemoryPart)
    , m_accounts(m_loop.clock().now())
    , m_repeats({ m_environment.settings.retryRatio, m_environment.settings.retrySlack, m_environment.settings.retryWindow },
                m_loop.clock().now())
    , m_exchange(m_accounts, m_repeats, m_trees, m_crashes)
    , m_runner({ m_loop,
                 m_environment.settings,
                 m_environment.headers,
                 m_crashes,
                 m_held,
                 m_environment.metrics,
                 [this] {
                     upstreamChanged();
                 } })
    , m_entry({ m_loop,
                m_environment.settings,
                m_environment.headers,
                m_runner,
                m_accounts,
                m_repeats,
                m_trees,
                m_random,
                m_environment.metrics,
                [this] {
                    return m_rules.rules();
                },
                [this](const ServiceName &service) {
                    return ways(service);
                } })
    , m_callerEnvironment{ m_loop,
                           [this](HttpRequestMessage &&request, PendingRequest &pending) {
                               ++m_activeRequests;
                               auto response = m_entry.serve(std::move(request), pending);
                               --m_activeRequests;
                               return response;
                           },
                           [this] {
                               const auto rules = m_rules.rules();
                               return rules ? rules->rules().bounds : CallerBounds{};
                           },
                           m_held,
                           [this] {
                               return m_closing;
                           },
                           [this](CallerSession *session) {
                               m_sessions.erase(session);
                           } }
    , m_callers(m_loop,
                [this](std::unique_ptr<AsyncSocket> socket) {
                    const auto session = std::make_shared<CallerSession>(std::move(socket), m_callerEnvironment);
                    m_sessions.insert(session.get());
                    session->start();
                })
    , m_peerListener(m_loop,
                     [this](std::unique_ptr<AsyncSocket> socket) {
                         acceptPeer(std::move(socket));
                     })
    , m_rules({ m_loop,
                m_environment.store,
                [this] {
                    return followsStore();
                },
                [this](const TrafficRules &rules) {
                    passOn(RulesFrame{ rules });
                },
                [this](const TrafficRules &rules) {
                    m_exchange.setAccounts(rules.accounts, m_loop.now());
                } })
    , m_peers({ m_loop,
                m_environment.store,
                m_held,
                [this] {
                    return ownEntry();
                },
                MeshLink::Handlers{ [this](MeshLink &peer, MeshFrame &&frame) {
                                       handlePeerFrame(peer, std::move(frame));
                                   },
                                    [](MeshLink &) {},
                                    [this] {
                                        return HelloFrame{ ownEntry() };
                                    } },
                [this] {
                    return followsStore();
                },
                [this](const std::vector<DirectoryChange> &changes) {
                    passOn(DirectoryFrame{ changes });
                },
                [this] {
                    shareBudgets();
                },
                [this](const std::string &upstream) {
                    m_runner.setDeparted(upstream);
                } })
    , m_startedAt(m_loop.clock().now())
{
}

MeshNode::~MeshNode() = default;

Result<void> MeshNode::start()
{
    if (auto opened = m_peerListener.listen(m_environment.settings.peerListener); !opened) {
        return opened;
    }
    if (auto opened = m_callers.listen(m_environment.settings.callerListener); !opened) {
        return opened;
    }
    registerGauges();
    m_rules.start();
    m_peers.start();
    m_loop.spawn([this] {
        tick();
    });
    return {};
}

void MeshNode::registerGauges()
{
    auto &metrics = m_environment.metrics;
    metrics.gauge("pimentohollow_slots", [this] {
        return static_cast<double>(m_runner.load().slots);
    });
    metrics.gauge("pimentohollow_running", [this] {
        return static_cast<double>(m_runner.load().running);
    });
    metrics.gauge("pimentohollow_waiting", [this] {
        return static_cast<double>(m_runner.load().waiting);
    });
    metrics.gauge("pimentohollow_peers_reachable", [this] {
        return static_cast<double>(reachablePeers());
    });
    metrics.gauge("pimentohollow_rules_version", [this] {
        return static_cast<double>(rulesVersion());
    });
    metrics.gauge("pimentohollow_held_bytes", [this] {
        return static_cast<double>(m_held.reservedBytes());
    });
    metrics.gauge("pimentohollow_messages_given_up", [this] {
        return static_cast<double>(m_held.revocationCount());
    });
    metrics.gauge("pimentohollow_log_lines_dropped", [] {
        return static_cast<double>(Logger::droppedLines());
    });
}

void MeshNode::shutDown()
{
    if (std::exchange(m_closing, true)) {
        return;
    }
    m_closingSince = m_loop.now();
    Log.info("shutdown_started", { { "active", std::to_string(m_activeRequests + m_runner.active()) } });
    m_loop.spawn([this] {
        finishShutDown();
    });
    m_rules.stop();
    m_peers.leave(!m_runner.departed().empty());
}

bool MeshNode::isReady() const
{
    const auto rulesKnown = m_rules.knownSince();
    if (m_closing || !rulesKnown) {
        return false;
    }
    if (m_loop.now() - *rulesKnown > LinkTime) {
        return true;
    }
    return m_peers.isRead() && reachablePeers() * 2 >= m_peers.links().size();
}

std::size_t MeshNode::reachablePeers() const
{
    return m_peers.reachable(suspectSilence());
}

void MeshNode::abandon()
{
    m_closing = true;
    m_rules.stop();
    m_callers.close();
    m_peerListener.close();
    for (auto *it : std::set(m_sessions)) {
        it->abort();
    }
    for (const auto &[connection, peer] : m_inbound) {
        connection->close();
        for (const auto &[call, ticket] : peer.calls) {
            m_runner.cancel(ticket);
        }
    }
    m_inbound.clear();
    m_peers.stop();
    m_runner.close();
}

bool MeshNode::awaitDepartureWritten()
{
    const bool written = m_runner.departed().empty() || m_peers.awaitWritten(m_loop.clock().now() + DepartureWriteTime);
    if (!written) {
        Log.warning("departure_not_written", { { "upstream", m_runner.departed() } });
    }
    return written;
}

bool MeshNode::depart(const std::string &upstreamId)
{
    if (!m_runner.depart(upstreamId)) {
        return false;
    }
    m_peers.publish();
    return true;
}

DirectoryEntry MeshNode::ownEntry() const
{
    const auto &settings = m_environment.settings;
    return { settings.node, settings.dataCentre, settings.service, settings.advertisedPeerAddress.value_or(settings.peerListener),
             m_incarnation, m_runner.departed() };
}

std::vector<UpstreamWay> MeshNode::ways(const ServiceName &service) const
{
    constexpr double QualityScale = 255;
    const TimePoint now = m_loop.now();
    std::vector<UpstreamWay> result;
    const auto add = [&result](const LoadReport &load, UpstreamCandidate candidate, NodeName node, std::shared_ptr<MeshLink> link) {
        candidate.accepting = load.accepting;
        candidate.slots = load.slots;
        candidate.load = std::max(load.running + load.waiting + candidate.load, candidate.pending);
        candidate.quality = load.quality / QualityScale;
        candidate.runSeconds = load.runMicroseconds / 1e6;
        result.push_back({ candidate, std::move(node), std::move(link) });
    };
    if (service == m_environment.settings.service) {
        UpstreamCandidate own;
        own.sameDataCentre = true;
        own.reachable = true;
        add(m_runner.load(), own, m_environment.settings.node, nullptr);
    }
    for (const auto &[key, link] : m_peers.links()) {
        if (link->entry().service != service) {
            continue;
        }
        UpstreamCandidate candidate;
        candidate.sameDataCentre = link->isNear();
        candidate.reachable = link->isReachable(now, suspectSilence());
        candidate.load = link->sentSinceLoad();
        candidate.pending = link->pending();
        add(link->load(), candidate, link->entry().node, link);
    }
    return result;
}

Duration MeshNode::statusInterval() const
{
    return StatusExchange::intervalFor(m_nearPeers);
}

Duration MeshNode::suspectSilence() const
{
    constexpr int MissedStatuses = 3;
    return statusInterval() * MissedStatuses;
}

DutyCandidate MeshNode::ownDuty() const
{
    return { ownEntry().peerAddress.text(), m_rules.storeAnswers(), isSettled() };
}

std::vector<DutyCandidate> MeshNode::neighbours() const
{
    const TimePoint now = m_loop.now();
    std::vector<DutyCandidate> result;
    for (const auto &[key, link] : m_peers.links()) {
        if (link->isNear() && link->isReachable(now, suspectSilence())) {
            result.push_back({ key, link->followsStore(), link->isSettled() });
        }
    }
    return result;
}

bool MeshNode::isSettled() const
{
    return !m_closing && m_loop.now() - m_startedAt >= SettleTime;
}

bool MeshNode::followsStore() const
{
    std::set<DataCentreName> dataCentres{ m_environment.settings.dataCentre };
    for (const auto &[key, link] : m_peers.links()) {
        dataCentres.insert(link->entry().dataCentre);
    }
    return Pimentohollow::followsStore(ownDuty(), neighbours(), storeFollowers(dataCentres.size()), m_loop.now());
}

void MeshNode::passOn(const MeshFrame &frame)
{
    if (storeFollowersBefore(ownDuty(), neighbours()) > 0) {
        return;
    }
    for (const auto &[key, link] : m_peers.links()) {
        if (link->isNear()) {
            link->send(frame);
        }
    }
}

void MeshNode::shareBudgets()
{
    std::set<NodeName> near;
    for (const auto &[key, link] : m_peers.links()) {
        if (link->isNear()) {
            near.insert(link->entry().node);
        }
    }
    m_nearPeers = near.size();
    m_exchange.setFleet(m_peers.nodes(), statusInterval());
    m_exchange.keepNamesOf(near);
}

void MeshNode::acceptPeer(std::unique_ptr<AsyncSocket> socket)
{
    const auto holder = std::make_shared<std::weak_ptr<MeshConnection>>();
    auto connection = std::make_shared<MeshConnection>(std::move(socket),
                                                       m_held,
                                                       MeshConnection::Handlers{ [this, holder](MeshFrame &&frame) {
                                                                                    if (const auto self = holder->lock()) {
                                                                                        handleInbound(self, std::move(frame));
                                                                                    }
                                                                                },
                                                                                 [this, holder] {
                                                                                     const auto self = holder->lock();
                                                                                     const auto found = m_inbound.find(self);
                                                                                     if (found == m_inbound.end()) {
                                                                                         return;
                                                                                     }
                                                                                     const auto peer = std::move(found->second);
                                                                                     m_inbound.erase(found);
                                                                                     for (const auto &[call, ticket] : peer.calls) {
                                                                                         m_runner.cancel(ticket);
                                                                                     }
                                                                                 } });
    *holder = connection;
    m_inbound.emplace(connection, InboundPeer());
    connection->start();
    connection->send(HelloFrame{ ownEntry() });
}

void MeshNode::sendFirstStatus(const Inbound &connection, const DataCentreName &dataCentre)
{
    m_inbound[connection].dataCentre = dataCentre;
    StatusFrame status = makeStatus();
    if (dataCentre == m_environment.settings.dataCentre) {
        m_exchange.fillFirst(status, m_loop.now());
    }
    connection->send(std::move(status));
}

void MeshNode::handleInbound(const Inbound &connection, MeshFrame &&frame)
{
    if (auto *run = std::get_if<RunFrame>(&frame)) {
        runForPeer(connection, std::move(*run));
    } else if (const auto *cancel = std::get_if<CancelFrame>(&frame)) {
        auto &calls = m_inbound[connection].calls;
        const auto found = calls.find(cancel->call);
        if (found != calls.end()) {
            m_runner.cancel(found->second);
            calls.erase(found);
        }
    } else if (const auto *hello = std::get_if<HelloFrame>(&frame)) {
        m_peers.add(hello->sender, false);
        sendFirstStatus(connection, hello->sender.dataCentre);
    } else if (const auto *ping = std::get_if<PingFrame>(&frame)) {
        if (ping->wantsAnswer) {
            connection->send(PingFrame{});
        }
    } else if (auto *digest = std::get_if<DigestFrame>(&frame)) {
        handleDigest(std::move(*digest));
    } else if (const auto *rules = std::get_if<RulesFrame>(&frame)) {
        m_rules.apply(rules->rules, "passed_on");
    } else if (const auto *directory = std::get_if<DirectoryFrame>(&frame)) {
        for (const auto &it : directory->changes) {
            m_peers.applyPassed(it);
        }
    } else if (std::holds_alternative<RulesRequestFrame>(frame) && m_rules.rules()) {
        connection->send(RulesFrame{ m_rules.rules()->rules() });
    }
}

void MeshNode::runForPeer(const Inbound &connection, RunFrame &&frame)
{
    const std::uint64_t call = frame.call;
    const std::weak_ptr<MeshConnection> weak = connection;
    const auto ticket = m_runner.submit(std::move(frame), [this, weak, call](RunReply &&result) {
        const auto open = weak.lock();
        const auto found = open ? m_inbound.find(open) : m_inbound.end();
        if (found == m_inbound.end()) {
            return;
        }
        found->second.calls.erase(call);
        open->send(RunReplyFrame{ call, std::move(result), m_runner.load() });
    });
    m_inbound[connection].calls[call] = ticket;
}

void MeshNode::handlePeerFrame(MeshLink &link, MeshFrame &&frame)
{
    if (const auto *status = std::get_if<StatusFrame>(&frame)) {
        handleStatus(link, *status);
    } else if (const auto *rules = std::get_if<RulesFrame>(&frame)) {
        m_rules.apply(rules->rules, link.entry().node.text());
    } else if (const auto *hello = std::get_if<HelloFrame>(&frame)) {
        if (hello->sender.peerAddress == link.entry().peerAddress && hello->sender.incarnation >= link.entry().incarnation) {
            link.setEntry(hello->sender);
        }
    }
}

void MeshNode::handleStatus(MeshLink &link, const StatusFrame &status)
{
    link.setLoad(status.load);
    link.setDuties(status.followsStore, status.settled);
    if (link.isNear()) {
        m_exchange.take(link.entry().node, status, m_loop.now());
    } else {
        m_exchange.takeCrashes(status);
    }
    if (m_rules.shouldAsk(status.rulesVersion, link.isNear())) {
        link.send(RulesRequestFrame{});
    }
}

void MeshNode::handleDigest(DigestFrame &&digest)
{
    if (std::exchange(digest.passOn, false)) {
        std::string bytes;
        appendFrame(bytes, digest);
        for (const auto &[key, link] : m_peers.links()) {
            if (link->isNear()) {
                link->sendEncoded(bytes);
            }
        }
    }
    if (digest.dataCentre == m_environment.settings.dataCentre || !m_exchange.takeDigest(digest, m_loop.now())) {
        return;
    }
    const auto &links = m_peers.links();
    for (const auto &it : digest.members) {
        const auto found = links.find(it.peer);
        if (found != links.end() && found->second->entry().dataCentre == digest.dataCentre) {
            found->second->vouch(it.load);
        }
    }
    if (digest.members.empty() || !m_rules.shouldAsk(digest.sums.rulesVersion, false)) {
        return;
    }
    // Any of them: if all nodes asked the relay, it would send a large configuration to all at once.
    const auto found = links.find(digest.members[m_random.below(digest.members.size())].peer);
    if (found != links.end()) {
        found->second->send(RulesRequestFrame{});
    }
}

StatusFrame MeshNode::makeStatus()
{
    StatusFrame status;
    status.rulesVersion = rulesVersion();
    status.followsStore = m_rules.storeAnswers() && !m_closing;
    status.settled = isSettled();
    status.load = m_runner.load();
    return status;
}

void MeshNode::sendStatus(bool everywhere)
{
    const TimePoint now = m_loop.now();
    m_lastStatus = now;
    StatusFrame status = makeStatus();
    StatusFrame brief = status;
    m_exchange.fillRegular(status, now);
    brief.crashes = status.crashes;
    const bool sendsBrief = everywhere || !brief.crashes.empty();
    std::string bytes;
    std::string briefBytes;
    appendFrame(bytes, std::move(status));
    appendFrame(briefBytes, std::move(brief));
    std::uint64_t nearFrames = 0;
    std::uint64_t farFrames = 0;
    for (const auto &[connection, peer] : m_inbound) {
        if (peer.dataCentre == m_environment.settings.dataCentre) {
            connection->sendEncoded(bytes);
            ++nearFrames;
        } else if (peer.dataCentre && sendsBrief) {
            connection->sendEncoded(briefBytes);
            ++farFrames;
        }
    }
    auto &metrics = m_environment.metrics;
    metrics.counter("pimentohollow_statuses_sent_total", { { "to", "own_data_centre" } }).add(nearFrames);
    metrics.counter("pimentohollow_statuses_sent_total", { { "to", "other_data_centres" } }).add(farFrames);
}

void MeshNode::sendDigest()
{
    const TimePoint now = m_loop.now();
    m_lastDigest = now;
    const auto own = ownEntry();
    DigestFrame digest{ own.dataCentre, own.peerAddress.text(), m_incarnation, ++m_digests, true, 0, {}, {} };
    digest.sums.rulesVersion = rulesVersion();
    digest.members.push_back({ digest.relay, m_runner.load() });
    std::map<DataCentreName, std::vector<std::shared_ptr<MeshLink>>> receivers;
    for (const auto &[key, link] : m_peers.links()) {
        if (!link->isReachable(now, suspectSilence())) {
            continue;
        }
        if (link->isNear()) {
            digest.members.push_back({ key, link->load() });
        } else {
            receivers[link->entry().dataCentre].push_back(link);
        }
    }
    m_exchange.fillDigest(digest, now);
    std::string bytes;
    appendFrame(bytes, std::move(digest));
    // Each data centre has another receiver, so that the work of passing on is spread.
    const std::size_t place = std::hash<std::string>()(own.dataCentre.text());
    for (const auto &[dataCentre, links] : receivers) {
        const auto &link = links[place % links.size()];
        link->sendEncoded(bytes);
        link->probe();
    }
    m_environment.metrics.counter("pimentohollow_digests_sent_total").add(receivers.size());
}

void MeshNode::upstreamChanged()
{
    sendStatus(true);
    if (!m_runner.departed().empty()) {
        m_peers.publish();
    }
}

void MeshNode::tick()
{
    while (true) {
        m_loop.sleepFor(TickInterval);
        const TimePoint now = m_loop.now();
        m_runner.tick();
        if (now - m_lastStatus >= statusInterval() || m_exchange.isUrgent()) {
            sendStatus(false);
        }
        if ((now - m_lastDigest >= statusInterval() || m_exchange.isDigestUrgent()) && isRelay(ownDuty(), neighbours())) {
            sendDigest();
        }
        m_peers.tick(now);
        if (now - m_lastAdjust >= TreeAdmission::AdjustInterval) {
            m_lastAdjust = now;
            adjustTrees(now);
        }
    }
}

void MeshNode::adjustTrees(TimePoint now)
{
    struct Sum {
        double waits = 0;
        double slots = 0;
        double busy = 0;
    };
    std::map<ServiceName, Sum> sums;
    const auto add = [&sums](const ServiceName &service, const LoadReport &load) {
        if (load.accepting) {
            sums[service].waits += static_cast<double>(load.waitMilliseconds) * load.slots;
            sums[service].slots += load.slots;
            sums[service].busy += load.running;
        }
    };
    add(m_environment.settings.service, m_runner.load());
    for (const auto &[key, link] : m_peers.links()) {
        if (link->isReachable(now, suspectSilence())) {
            add(link->entry().service, link->load());
        }
    }
    for (const auto &[service, sum] : sums) {
        const std::chrono::duration<double, std::milli> wait(sum.waits / std::max(sum.slots, 1.0));
        m_trees.setCapacity(service, { sum.slots, sum.busy, std::chrono::duration_cast<Duration>(wait) });
    }
    m_trees.adjust(now);
}

void MeshNode::finishShutDown()
{
    const TimePoint latest = m_closingSince + m_environment.settings.shutdownGrace - ShutDownMargin;
    constexpr std::chrono::milliseconds CheckInterval(20);
    m_loop.sleepUntil(m_closingSince + LastRunsTime);
    m_runner.close();
    sendStatus(true);
    m_loop.sleepUntil(m_closingSince + LeastShutDownTime);
    // New callers find no listener and go to another node at once; a request that crosses the close of an idle connection was not read.
    m_callers.close();
    while (m_loop.now() < latest) {
        for (auto *it : std::set(m_sessions)) {
            it->closeWhenIdle();
        }
        if (m_activeRequests + m_runner.active() == 0 && m_sessions.empty()) {
            break;
        }
        m_loop.sleepFor(CheckInterval);
    }
    Log.info("shutdown_finished", { { "active", std::to_string(m_activeRequests + m_runner.active()) } });
    m_environment.ended();
}

} // namespace Pimentohollow
