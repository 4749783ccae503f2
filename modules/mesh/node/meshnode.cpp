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
/** After receiving statuses for this long, a process knows the usage of the fleet; same time as in AccountRateLimiter. */
constexpr std::chrono::seconds WarmUpTime(2);
/**
 * Time after the first rules during which readiness requires a read directory and links to at least half of the peers; after it, missing
 * links don't make the node unready.
 */
constexpr std::chrono::milliseconds LinkSetupTime(1500);
/** Minimum time to keep serving after a stop request: callers turn away only after two failed readiness checks. */
constexpr std::chrono::milliseconds MinimumServeTimeAfterStop(2600);
/** Time after a stop request during which other nodes may use the upstream; the node serves its own callers for longer anyway. */
constexpr std::chrono::milliseconds PeerRequestTimeAfterStop(1900);
/** Longest wait before a departure is acknowledged. An upstream takes an acknowledgement that arrives after a second for lost. */
constexpr std::chrono::milliseconds DepartureAcknowledgementTime(800);
/** Time that the store has to keep a departure before the other nodes are asked. */
constexpr std::chrono::milliseconds DepartureWriteTime(400);
/** Time that nodes that reach the store have to write a departure there for this one, before it is enough that most nodes keep it. */
constexpr std::chrono::milliseconds DeparturePeerWriteTime(300);
/** Interval at which the other nodes are asked again, because some may have connected meanwhile. */
constexpr std::chrono::milliseconds KeepRequestInterval(200);
constexpr std::chrono::milliseconds KeptCheckInterval(5);
/** Part of the shutdown grace reserved for sending the last responses. */
constexpr std::chrono::milliseconds ShutDownMargin(300);
/** Buffers may use 1/5 of the memory: they double in size while growing, and a body is copied into a frame. */
constexpr std::size_t BufferMemoryDivisor = 5;
/** Limit of the ages in statuses. */
constexpr std::chrono::hours MaximumReportedAge(1);
const Logger Log("mesh");

} // namespace

MeshNode::MeshNode(Environment environment)
    : m_environment(std::move(environment))
    , m_loop(m_environment.loop)
    , m_random(std::hash<std::string>()(m_environment.settings.node.text())
               ^ static_cast<std::uint64_t>(m_loop.clock().now().time_since_epoch().count()))
    , m_incarnation(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.clock().wallNow().time_since_epoch()).count()))
    , m_crashTracker(m_loop.clock())
    , m_bufferBudget(m_environment.settings.memoryBytes / BufferMemoryDivisor)
    , m_accountRateLimiter(m_loop.clock().now())
    , m_retryBudget({ m_environment.settings.retryRatio, m_environment.settings.retrySlack, m_environment.settings.retryWindow },
                    m_loop.clock().now())
    , m_statusExchange(m_accountRateLimiter, m_retryBudget, m_treeAdmission, m_crashTracker)
    , m_upstreamRunner({ m_loop,
                         m_environment.settings,
                         m_environment.headers,
                         m_shutdownPlan,
                         m_crashTracker,
                         m_bufferBudget,
                         m_environment.metrics,
                         [this] {
                             handleUpstreamChange();
                         } })
    , m_ingressHandler({ m_loop,
                         m_environment.settings,
                         m_environment.headers,
                         m_upstreamRunner,
                         m_accountRateLimiter,
                         m_retryBudget,
                         m_treeAdmission,
                         m_shutdownPlan,
                         m_random,
                         m_environment.metrics,
                         [this] {
                             return m_rulesWatcher.rules();
                         },
                         [this](const ServiceName &service) {
                             return upstreamOptions(service);
                         } })
    , m_callerEnvironment{ m_loop,
                           [this](HttpRequestMessage &&request, PendingRequest &pending) {
                               ++m_activeRequests;
                               auto response = m_ingressHandler.serve(std::move(request), pending);
                               --m_activeRequests;
                               return response;
                           },
                           [this] {
                               const auto rules = m_rulesWatcher.rules();
                               return rules ? rules->rules().bounds : CallerBounds{};
                           },
                           m_bufferBudget,
                           [this] {
                               return m_shuttingDown;
                           },
                           [this](CallerSession *session) {
                               m_callerSessions.erase(session);
                           } }
    , m_callerListener(m_loop,
                       [this](std::unique_ptr<AsyncSocket> socket) {
                           const auto session = std::make_shared<CallerSession>(std::move(socket), m_callerEnvironment);
                           m_callerSessions.insert(session.get());
                           session->start();
                       })
    , m_peerListener(m_loop,
                     [this](std::unique_ptr<AsyncSocket> socket) {
                         acceptPeer(std::move(socket));
                     })
    , m_store(m_environment.store,
              [this] {
                  m_peerDirectory.handleNewEra();
              })
    , m_rulesWatcher({ m_loop,
                       m_store,
                       m_environment.settings.rulesDeadline,
                       [this] {
                           return ownRoleCandidate();
                       },
                       [this] {
                           return localPeers();
                       },
                       [this] {
                           return statusInterval();
                       },
                       [this](const TrafficRules &rules) {
                           forwardToLocalPeers(RulesFrame{ rules });
                       },
                       [this](const TrafficRules &rules) {
                           m_statusExchange.setAccounts(rules.accounts, m_loop.now());
                       } })
    , m_peerDirectory({ m_loop,
                        m_store,
                        m_bufferBudget,
                        [this] {
                            return ownEntry();
                        },
                        MeshLink::Handlers{ [this](MeshLink &peer, MeshFrame &&frame) {
                                               handleLinkFrame(peer, std::move(frame));
                                           },
                                            [](MeshLink &) {},
                                            [this] {
                                                return HelloFrame{ ownEntry(), {} };
                                            } },
                        [this] {
                            return watchesStore();
                        },
                        [this](const std::vector<DirectoryChange> &changes) {
                            forwardToLocalPeers(DirectoryFrame{ changes });
                        },
                        [this] {
                            updateFleetSize();
                        },
                        [this](const UpstreamDepartures &departures) {
                            m_upstreamRunner.recallDepartures(departures, "store");
                        },
                        [this] {
                            m_upstreamRunner.expectNoEarlierProcess();
                        },
                        [this](const UpstreamDepartures &departures) {
                            m_upstreamRunner.setWrittenDepartures(departures);
                        } })
    , m_startedAt(m_loop.clock().now())
{
}

MeshNode::~MeshNode() = default;

Result<void> MeshNode::start()
{
    if (auto listening = m_peerListener.listen(m_environment.settings.peerListener); !listening) {
        return listening;
    }
    if (auto listening = m_callerListener.listen(m_environment.settings.callerListener); !listening) {
        return listening;
    }
    registerGauges();
    m_rulesWatcher.start();
    m_peerDirectory.start();
    m_loop.spawn([this] {
        runPeriodicTasks();
    });
    return {};
}

void MeshNode::registerGauges()
{
    auto &metrics = m_environment.metrics;
    metrics.gauge("pimentohollow_slots", [this] {
        return static_cast<double>(m_upstreamRunner.load().slots);
    });
    metrics.gauge("pimentohollow_running", [this] {
        return static_cast<double>(m_upstreamRunner.load().running);
    });
    metrics.gauge("pimentohollow_waiting", [this] {
        return static_cast<double>(m_upstreamRunner.load().waiting);
    });
    metrics.gauge("pimentohollow_upstream_named_limit", [this] {
        return m_upstreamRunner.namedLimit().value_or(0);
    });
    metrics.gauge("pimentohollow_peers_reachable", [this] {
        return static_cast<double>(reachablePeerCount());
    });
    metrics.gauge("pimentohollow_rules_version", [this] {
        return static_cast<double>(rulesVersion());
    });
    metrics.gauge("pimentohollow_rules_confirmation_age_seconds", [this] {
        return std::chrono::duration<double>(m_rulesWatcher.confirmationAge()).count();
    });
    metrics.gauge("pimentohollow_store_era", [this] {
        return static_cast<double>(m_store.era());
    });
    metrics.gauge("pimentohollow_held_bytes", [this] {
        return static_cast<double>(m_bufferBudget.reservedBytes());
    });
    metrics.gauge("pimentohollow_messages_given_up", [this] {
        return static_cast<double>(m_bufferBudget.revocationCount());
    });
    metrics.gauge("pimentohollow_log_lines_dropped", [] {
        return static_cast<double>(Logger::droppedLines());
    });
}

void MeshNode::shutDown()
{
    if (std::exchange(m_shuttingDown, true)) {
        return;
    }
    m_shutDownStartedAt = m_loop.now();
    m_shutdownPlan.start(m_environment.settings.shutdownGrace, m_shutDownStartedAt);
    Log.info("shutdown_started", { { "active", std::to_string(m_activeRequests + m_upstreamRunner.jobCount()) } });
    m_loop.spawn([this] {
        finishShutDown();
    });
    m_rulesWatcher.stop();
    m_peerDirectory.leave();
}

bool MeshNode::isReady() const
{
    const auto rulesKnown = m_rulesWatcher.knownSince();
    if (m_shuttingDown || !rulesKnown) {
        return false;
    }
    if (m_loop.now() - *rulesKnown > LinkSetupTime) {
        return true;
    }
    return m_peerDirectory.isRead() && reachablePeerCount() * 2 >= m_peerDirectory.links().size();
}

std::size_t MeshNode::reachablePeerCount() const
{
    return m_peerDirectory.reachableCount(suspectTimeout());
}

void MeshNode::closeAbruptly()
{
    m_shuttingDown = true;
    m_rulesWatcher.stop();
    m_callerListener.close();
    m_peerListener.close();
    for (auto *it : std::set(m_callerSessions)) {
        it->abort();
    }
    for (const auto &[connection, peer] : m_inboundPeers) {
        connection->close();
        for (const auto &[call, ticket] : peer.ticketsByCallId) {
            m_upstreamRunner.cancel(ticket);
        }
    }
    m_inboundPeers.clear();
    m_peerDirectory.stop();
    m_upstreamRunner.close();
}

bool MeshNode::awaitDeparturesKept()
{
    const auto &lifecycle = m_upstreamRunner.lifecycle();
    const auto isKept = [&] {
        return lifecycle.isKept(m_peerDirectory.links().size());
    };
    const TimePoint deadline = m_loop.clock().now() + DepartureAcknowledgementTime;
    TimePoint nextRequestAt{};
    while (!lifecycle.isWritten() && m_loop.clock().now() < deadline) {
        const TimePoint now = m_loop.clock().now();
        const TimePoint askingSince = m_publishRequestedAt + DepartureWriteTime;
        if (now >= askingSince) {
            if (isKept() && (now >= askingSince + DeparturePeerWriteTime || !peerReachesStore())) {
                break;
            }
            if (now >= nextRequestAt) {
                nextRequestAt = now + KeepRequestInterval;
                askPeersToKeepNotice();
            }
        }
        m_loop.sleepFor(KeptCheckInterval);
    }
    if (!lifecycle.isWritten()) {
        Log.warning("departure_not_written",
                    { { "departures", lifecycle.departures().text() }, { "kept_by_peers", isKept() ? "yes" : "no" } });
    }
    return isKept();
}

void MeshNode::askPeersToKeepNotice()
{
    std::string bytes;
    appendFrame(bytes, UpstreamNoticeFrame{ m_upstreamRunner.load().notice, true, {} });
    for (const auto &[connection, peer] : m_inboundPeers) {
        connection->sendEncoded(bytes);
    }
}

void MeshNode::deregisterUpstream(const Deregistration &message)
{
    m_upstreamRunner.deregister(message);
}

bool MeshNode::upstreamHasLeft() const
{
    const auto &lifecycle = m_upstreamRunner.lifecycle();
    return !lifecycle.hasRunningProcess() && !lifecycle.departures().empty();
}

DirectoryEntry MeshNode::ownEntry() const
{
    const auto &settings = m_environment.settings;
    return { settings.node,
             settings.dataCentre,
             settings.service,
             settings.advertisedPeerAddress.value_or(settings.peerListener),
             m_incarnation,
             m_upstreamRunner.lifecycle().departures(),
             m_shuttingDown && upstreamHasLeft() };
}

std::vector<UpstreamOption> MeshNode::upstreamOptions(const ServiceName &service) const
{
    constexpr double QualityScale = 255;
    const TimePoint now = m_loop.now();
    std::vector<UpstreamOption> result;
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
        add(m_upstreamRunner.load(), own, m_environment.settings.node, nullptr);
    }
    for (const auto &[key, link] : m_peerDirectory.links()) {
        if (link->entry().service != service) {
            continue;
        }
        UpstreamCandidate candidate;
        candidate.sameDataCentre = link->isLocal();
        candidate.reachable = link->isReachable(now, suspectTimeout());
        candidate.load = link->callsSinceLoadReport();
        candidate.pending = link->pendingCalls();
        add(link->load(), candidate, link->entry().node, link);
    }
    return result;
}

Duration MeshNode::statusInterval() const
{
    return StatusExchange::intervalFor(m_localPeerCount);
}

Duration MeshNode::suspectTimeout() const
{
    constexpr int MissedStatusLimit = 3;
    return statusInterval() * MissedStatusLimit;
}

RoleCandidate MeshNode::ownRoleCandidate() const
{
    return { ownEntry().peerAddress.text(), m_rulesWatcher.storeAnswers(), hasWarmedUp() };
}

std::vector<RoleCandidate> MeshNode::localPeers() const
{
    const TimePoint now = m_loop.now();
    std::vector<RoleCandidate> result;
    for (const auto &[key, link] : m_peerDirectory.links()) {
        if (link->isLocal() && link->isReachable(now, suspectTimeout())) {
            result.push_back({ key, link->watchesStore(), link->hasWarmedUp() });
        }
    }
    return result;
}

bool MeshNode::hasWarmedUp() const
{
    return !m_shuttingDown && m_loop.now() - m_startedAt >= WarmUpTime;
}

bool MeshNode::watchesStore() const
{
    std::set<DataCentreName> dataCentres{ m_environment.settings.dataCentre };
    for (const auto &[key, link] : m_peerDirectory.links()) {
        dataCentres.insert(link->entry().dataCentre);
    }
    return Pimentohollow::watchesStore(ownRoleCandidate(), localPeers(), storeWatchers(dataCentres.size()), m_loop.now());
}

void MeshNode::forwardToLocalPeers(const MeshFrame &frame)
{
    if (storeWatchersBefore(ownRoleCandidate(), localPeers()) > 0) {
        return;
    }
    for (const auto &[key, link] : m_peerDirectory.links()) {
        if (link->isLocal()) {
            link->send(frame);
        }
    }
}

void MeshNode::updateFleetSize()
{
    std::set<NodeName> localNodes;
    for (const auto &[key, link] : m_peerDirectory.links()) {
        if (link->isLocal()) {
            localNodes.insert(link->entry().node);
        }
    }
    m_localPeerCount = localNodes.size();
    m_statusExchange.setFleet(m_peerDirectory.nodeCount(), statusInterval());
    m_statusExchange.retainNamesOf(localNodes);
}

void MeshNode::acceptPeer(std::unique_ptr<AsyncSocket> socket)
{
    const auto weakConnection = std::make_shared<std::weak_ptr<MeshConnection>>();
    auto connection =
        std::make_shared<MeshConnection>(std::move(socket),
                                         m_bufferBudget,
                                         MeshConnection::Handlers{ [this, weakConnection](MeshFrame &&frame) {
                                                                      if (const auto self = weakConnection->lock()) {
                                                                          handleInboundFrame(self, std::move(frame));
                                                                      }
                                                                  },
                                                                   [this, weakConnection] {
                                                                       const auto self = weakConnection->lock();
                                                                       const auto found = m_inboundPeers.find(self);
                                                                       if (found == m_inboundPeers.end()) {
                                                                           return;
                                                                       }
                                                                       const auto peer = std::move(found->second);
                                                                       m_inboundPeers.erase(found);
                                                                       m_upstreamRunner.forgetPeer(peer.node);
                                                                       for (const auto &[call, ticket] : peer.ticketsByCallId) {
                                                                           m_upstreamRunner.cancel(ticket);
                                                                       }
                                                                   } });
    *weakConnection = connection;
    m_inboundPeers.emplace(connection, InboundPeer());
    connection->start();
    connection->send(HelloFrame{ ownEntry(), {} });
}

void MeshNode::handleHello(const InboundConnection &connection, const HelloFrame &hello)
{
    m_inboundPeers[connection].node = hello.sender.node;
    m_upstreamRunner.applyKeptNotice(hello.sender.node, hello.receiverUpstream);
    m_peerDirectory.add(hello.sender, false);
    sendInitialStatus(connection, hello.sender.dataCentre);
}

void MeshNode::sendInitialStatus(const InboundConnection &connection, const DataCentreName &dataCentre)
{
    m_inboundPeers[connection].dataCentre = dataCentre;
    StatusFrame status = makeStatus();
    if (dataCentre == m_environment.settings.dataCentre) {
        m_statusExchange.fillInitial(status, m_loop.now());
    }
    connection->send(std::move(status));
}

void MeshNode::handleInboundFrame(const InboundConnection &connection, MeshFrame &&frame)
{
    if (auto *run = std::get_if<RunFrame>(&frame)) {
        submitPeerRequest(connection, std::move(*run));
    } else if (const auto *cancel = std::get_if<CancelFrame>(&frame)) {
        auto &calls = m_inboundPeers[connection].ticketsByCallId;
        const auto found = calls.find(cancel->callId);
        if (found != calls.end()) {
            m_upstreamRunner.cancel(found->second);
            calls.erase(found);
        }
    } else if (const auto *hello = std::get_if<HelloFrame>(&frame)) {
        handleHello(connection, *hello);
    } else if (const auto *kept = std::get_if<UpstreamNoticeFrame>(&frame)) {
        applyKeptNotice(m_inboundPeers[connection].node, *kept);
    } else if (const auto *ping = std::get_if<PingFrame>(&frame)) {
        if (ping->wantsAnswer) {
            connection->send(PingFrame{});
        }
    } else if (auto *digest = std::get_if<DigestFrame>(&frame)) {
        handleDigest(std::move(*digest));
    } else if (const auto *rules = std::get_if<RulesFrame>(&frame)) {
        m_rulesWatcher.apply(rules->rules, "passed_on");
    } else if (const auto *directory = std::get_if<DirectoryFrame>(&frame)) {
        for (const auto &it : directory->changes) {
            m_peerDirectory.apply(it);
        }
    } else if (std::holds_alternative<RulesRequestFrame>(frame) && m_rulesWatcher.rules()) {
        connection->send(RulesFrame{ m_rulesWatcher.rules()->rules() });
    }
}

void MeshNode::submitPeerRequest(const InboundConnection &connection, RunFrame &&frame)
{
    const std::uint64_t callId = frame.callId;
    const std::weak_ptr<MeshConnection> weak = connection;
    const auto ticket = m_upstreamRunner.submit(std::move(frame), [this, weak, callId](RunReply &&result) {
        const auto openConnection = weak.lock();
        const auto found = openConnection ? m_inboundPeers.find(openConnection) : m_inboundPeers.end();
        if (found == m_inboundPeers.end()) {
            return;
        }
        found->second.ticketsByCallId.erase(callId);
        openConnection->send(RunReplyFrame{ callId, std::move(result), m_upstreamRunner.load() });
    });
    m_inboundPeers[connection].ticketsByCallId[callId] = ticket;
}

void MeshNode::handleLinkFrame(MeshLink &link, MeshFrame &&frame)
{
    if (const auto *status = std::get_if<StatusFrame>(&frame)) {
        handleStatus(link, *status);
    } else if (const auto *rules = std::get_if<RulesFrame>(&frame)) {
        m_rulesWatcher.apply(rules->rules, link.entry().node.text());
    } else if (const auto *hello = std::get_if<HelloFrame>(&frame)) {
        if (hello->sender.peerAddress == link.entry().peerAddress) {
            link.setEntry(hello->sender);
        }
    } else if (const auto *request = std::get_if<UpstreamNoticeFrame>(&frame)) {
        link.send(UpstreamNoticeFrame{ link.keepNotice(request->notice), false, {} });
        storeDeparturesOf(link);
    }
}

void MeshNode::applyKeptNotice(const NodeName &peer, const UpstreamNoticeFrame &kept)
{
    m_upstreamRunner.applyKeptNotice(peer, kept.notice);
    if (kept.storedIn) {
        m_store.learnEra(*kept.storedIn, peer.text());
        if (*kept.storedIn == m_store.era()) {
            m_upstreamRunner.setWrittenDepartures(kept.notice.departures);
        }
    }
}

void MeshNode::storeDeparturesOf(MeshLink &peer)
{
    const IpEndpoint address = peer.entry().peerAddress;
    if (!watchesStore() || !m_storingDeparturesOf.insert(address.text()).second) {
        return;
    }
    m_loop.spawn([this, address, link = peer.shared_from_this()] {
        const UpstreamNotice notice = link->keptNotice();
        const auto era = m_store.addDepartures(address, notice.departures);
        m_storingDeparturesOf.erase(address.text());
        Log.info("departures_stored",
                 { { "peer", link->entry().node.text() },
                   { "departures", notice.departures.text() },
                   { "result", era ? "ok" : era.error().describe() } });
        if (era) {
            link->send(UpstreamNoticeFrame{ notice, false, *era });
        }
    });
}

bool MeshNode::peerReachesStore() const
{
    const auto &links = m_peerDirectory.links();
    return std::any_of(links.begin(), links.end(), [this](const auto &it) {
        return it.second->watchesStore() && it.second->isReachable(m_loop.now(), suspectTimeout());
    });
}

void MeshNode::handleStatus(MeshLink &link, const StatusFrame &status)
{
    link.setLoad(status.load);
    link.setRoles(status.watchesStore, status.warmedUp);
    if (link.isLocal()) {
        m_statusExchange.applyStatus(link.entry().node, status, m_loop.now());
    } else {
        m_statusExchange.applyCrashes(status);
    }
    m_store.learnEra(status.storeEra, link.entry().node.text());
    if (status.storeEra == m_store.era()) {
        m_rulesWatcher.applyConfirmation(status.rulesVersion, std::chrono::milliseconds(status.rulesConfirmedMillisecondsAgo));
    }
    if (m_rulesWatcher.shouldRequest(status.rulesVersion, link.isLocal())) {
        link.send(RulesRequestFrame{});
    }
}

void MeshNode::handleDigest(DigestFrame &&digest)
{
    if (std::exchange(digest.forward, false)) {
        std::string bytes;
        appendFrame(bytes, digest);
        for (const auto &[key, link] : m_peerDirectory.links()) {
            if (link->isLocal()) {
                link->sendEncoded(bytes);
            }
        }
    }
    m_store.learnEra(digest.sums.storeEra, digest.relayAddress);
    if (digest.dataCentre == m_environment.settings.dataCentre || !m_statusExchange.applyDigest(digest, m_loop.now())) {
        return;
    }
    const auto &links = m_peerDirectory.links();
    for (const auto &it : digest.members) {
        const auto found = links.find(it.peerAddress);
        if (found != links.end() && found->second->entry().dataCentre == digest.dataCentre) {
            found->second->confirmAlive(it.load);
        }
    }
    if (digest.members.empty() || !m_rulesWatcher.shouldRequest(digest.sums.rulesVersion, false)) {
        return;
    }
    // Requests the rules from a random member: if all nodes asked the relay, it would send a large configuration to all at once.
    const auto found = links.find(digest.members[m_random.below(digest.members.size())].peerAddress);
    if (found != links.end()) {
        found->second->send(RulesRequestFrame{});
    }
}

StatusFrame MeshNode::makeStatus()
{
    StatusFrame status;
    status.rulesVersion = rulesVersion();
    status.rulesConfirmedMillisecondsAgo = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::min<Duration>(m_rulesWatcher.confirmationAge(), MaximumReportedAge))
            .count());
    status.storeEra = m_store.era();
    status.watchesStore = m_rulesWatcher.storeAnswers() && !m_shuttingDown;
    status.warmedUp = hasWarmedUp();
    status.load = m_upstreamRunner.load();
    return status;
}

void MeshNode::sendStatus(bool toAllDataCentres)
{
    const TimePoint now = m_loop.now();
    m_lastStatusAt = now;
    StatusFrame status = makeStatus();
    StatusFrame summary = status;
    m_statusExchange.fillPeriodic(status, now);
    summary.crashes = status.crashes;
    const bool sendsSummary = toAllDataCentres || !summary.crashes.empty();
    std::string bytes;
    std::string summaryBytes;
    appendFrame(bytes, std::move(status));
    appendFrame(summaryBytes, std::move(summary));
    std::uint64_t localFrames = 0;
    std::uint64_t remoteFrames = 0;
    for (const auto &[connection, peer] : m_inboundPeers) {
        if (peer.dataCentre == m_environment.settings.dataCentre) {
            connection->sendEncoded(bytes);
            ++localFrames;
        } else if (peer.dataCentre && sendsSummary) {
            connection->sendEncoded(summaryBytes);
            ++remoteFrames;
        }
    }
    auto &metrics = m_environment.metrics;
    metrics.counter("pimentohollow_statuses_sent_total", { { "to", "own_data_centre" } }).add(localFrames);
    metrics.counter("pimentohollow_statuses_sent_total", { { "to", "other_data_centres" } }).add(remoteFrames);
}

void MeshNode::sendDigest()
{
    const TimePoint now = m_loop.now();
    m_lastDigestAt = now;
    const auto own = ownEntry();
    DigestFrame digest{ own.dataCentre, own.peerAddress.text(), m_incarnation, ++m_lastDigestSequence, true, 0, {}, {} };
    digest.sums.rulesVersion = rulesVersion();
    digest.sums.storeEra = m_store.era();
    digest.members.push_back({ digest.relayAddress, m_upstreamRunner.load() });
    std::map<DataCentreName, std::vector<std::shared_ptr<MeshLink>>> receivers;
    for (const auto &[key, link] : m_peerDirectory.links()) {
        if (!link->isReachable(now, suspectTimeout())) {
            continue;
        }
        if (link->isLocal()) {
            digest.members.push_back({ key, link->load() });
        } else {
            receivers[link->entry().dataCentre].push_back(link);
        }
    }
    m_statusExchange.fillDigest(digest, now);
    std::string bytes;
    appendFrame(bytes, std::move(digest));
    // The offset depends on the sending data centre, so that the work of forwarding digests is spread over the receivers.
    const std::size_t receiverOffset = std::hash<std::string>()(own.dataCentre.text());
    for (const auto &[dataCentre, links] : receivers) {
        const auto &link = links[receiverOffset % links.size()];
        link->sendEncoded(bytes);
        link->probe();
    }
    m_environment.metrics.counter("pimentohollow_digests_sent_total").add(receivers.size());
}

void MeshNode::handleUpstreamChange()
{
    sendStatus(true);
    if (!m_upstreamRunner.lifecycle().isWritten()) {
        m_publishRequestedAt = m_loop.clock().now();
        m_peerDirectory.publish();
    }
}

void MeshNode::runPeriodicTasks()
{
    while (true) {
        m_loop.sleepFor(TickInterval);
        const TimePoint now = m_loop.now();
        m_upstreamRunner.updateQueue();
        if (now - m_lastStatusAt >= statusInterval() || m_statusExchange.isUrgent()) {
            sendStatus(false);
        }
        if ((now - m_lastDigestAt >= statusInterval() || m_statusExchange.isDigestUrgent()) && isRelay(ownRoleCandidate(), localPeers())) {
            sendDigest();
        }
        m_peerDirectory.tick(now);
        if (now - m_lastAdjustAt >= CallTreeAdmission::AdjustInterval) {
            m_lastAdjustAt = now;
            adjustTreeAdmission(now);
        }
    }
}

void MeshNode::adjustTreeAdmission(TimePoint now)
{
    struct ServiceLoad {
        double weightedWaitMilliseconds = 0;
        double slots = 0;
        double running = 0;
    };
    std::map<ServiceName, ServiceLoad> loads;
    const auto add = [&loads](const ServiceName &service, const LoadReport &load) {
        if (load.accepting) {
            loads[service].weightedWaitMilliseconds += static_cast<double>(load.waitMilliseconds) * load.slots;
            loads[service].slots += load.slots;
            loads[service].running += load.running;
        }
    };
    add(m_environment.settings.service, m_upstreamRunner.load());
    for (const auto &[key, link] : m_peerDirectory.links()) {
        if (link->isReachable(now, suspectTimeout())) {
            add(link->entry().service, link->load());
        }
    }
    for (const auto &[service, load] : loads) {
        const std::chrono::duration<double, std::milli> wait(load.weightedWaitMilliseconds / std::max(load.slots, 1.0));
        m_retryBudget.refresh(service, now);
        m_treeAdmission.setCapacity(service, { load.slots, load.running, std::chrono::duration_cast<Duration>(wait) });
    }
    m_treeAdmission.adjust(now);
}

void MeshNode::finishShutDown()
{
    const TimePoint deadline = m_shutDownStartedAt + m_environment.settings.shutdownGrace - ShutDownMargin;
    constexpr std::chrono::milliseconds CheckInterval(20);
    m_loop.sleepUntil(std::min(m_shutDownStartedAt + PeerRequestTimeAfterStop, deadline));
    m_upstreamRunner.close();
    sendStatus(true);
    m_loop.sleepUntil(std::min(m_shutDownStartedAt + MinimumServeTimeAfterStop, deadline));
    // New callers are refused and go to another node at once; a request that arrives while an idle connection closes was not read.
    m_callerListener.close();
    while (m_loop.now() < deadline) {
        for (auto *it : std::set(m_callerSessions)) {
            it->closeWhenIdle();
        }
        if (m_activeRequests + m_upstreamRunner.jobCount() == 0 && m_callerSessions.empty()) {
            break;
        }
        m_loop.sleepFor(CheckInterval);
    }
    Log.info("shutdown_finished", { { "active", std::to_string(m_activeRequests + m_upstreamRunner.jobCount()) } });
    m_environment.onShutDownFinished();
}

} // namespace Pimentohollow
