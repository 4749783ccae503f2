#include "node/fleet/fleetnode.h"

#include "core/logger.h"
#include "http/rules/keyremoval.h"
#include "http/rules/problemresponse.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <openssl/crypto.h>
#include <Poco/JSON/Object.h>
#include <sstream>

namespace Pimentohollow
{

namespace
{

const Logger Log("fleet");

/** A node that finds no tokens for this long gets ready without them. */
constexpr Duration LongestWaitForQuota = std::chrono::seconds(10);

/** Longer than the loans of tokens run; a share that isn't released in time stays with this address until its lease ends. */
constexpr Duration ShareReleaseTime = std::chrono::seconds(5);

/** Differs between the uses of the seed, so that their random choices don't coincide. */
enum class SeedUse : std::uint64_t {
    Gossip = 1,
    Claims = 2,
    Upstreams = 3,
    Quota = 4,
};

std::uint64_t seedFor(std::uint64_t incarnation, SeedUse use)
{
    constexpr std::uint64_t Spread = 0x9e3779b97f4a7c15; // golden ratio, spreads consecutive numbers over 64 bits
    return (incarnation + static_cast<std::uint64_t>(use)) * Spread;
}

PlatformEndpoint endpoint(const NodeSettings &settings, const std::string &url)
{
    const PlatformSettings &platform = settings.platform;
    return { url,
             platform.region,
             platform.accessKeyId.reveal(),
             platform.secretAccessKey.reveal(),
             platform.timeout,
             settings.tls.authoritiesFile };
}

MembershipSettings membershipSettings(const NodeSettings &settings, std::uint64_t incarnation)
{
    MembershipSettings result;
    result.node = settings.node;
    result.dataCentre = settings.dataCentre;
    result.address.host = settings.listeners.gossip.address;
    result.incarnation = incarnation;
    for (const auto &it : settings.seeds.own) {
        result.seeds.push_back({ it.address, it.port });
    }
    for (const auto &[dataCentre, seeds] : settings.seeds.remote) {
        for (const auto &it : seeds) {
            result.seeds.push_back({ it.address, it.port });
        }
    }
    return result;
}

ShareSettings shareSettings(const NodeSettings &settings, std::uint64_t incarnation)
{
    ShareSettings result;
    result.node = settings.node;
    result.dataCentre = settings.dataCentre;
    const ListenerSettings &listeners = settings.listeners;
    result.address = { listeners.gossip.address, listeners.gossip.port, listeners.peers.port };
    result.incarnation = incarnation;
    return result;
}

std::string encodeReport(const CrashReport &report)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(report);
    return stream.str();
}

/** Nothing if the text is malformed; its sender is authenticated, but may run another version. */
std::optional<CrashReport> decodeReport(const std::string &text)
{
    try {
        std::istringstream stream(text);
        cereal::PortableBinaryInputArchive archive(stream);
        CrashReport report;
        archive(report);
        return report;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

bool sameSecret(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

void ChangesRelay::setTarget(ChangesHandler *target)
{
    m_target = target;
}

ChangesResponse ChangesRelay::changesAfter(std::uint64_t version)
{
    ChangesHandler *target = m_target;
    return target == nullptr ? ChangesResponse{} : target->changesAfter(version);
}

NodeOptions nodeOptions(const NodeSettings &settings, std::uint64_t incarnation)
{
    NodeOptions options;
    options.node = settings.node;
    options.dataCentre = settings.dataCentre;
    options.incarnation = incarnation;
    options.fleetSecret = settings.secrets.fleetSecret.reveal();
    const ListenerSettings &listeners = settings.listeners;
    options.listeners = {
        listeners.callers.text(), listeners.peers.text(), listeners.chain.text(), listeners.announce.text(), listeners.admin.text()
    };
    const TlsFiles tls{ settings.tls.certificateFile, settings.tls.privateKeyFile };
    options.callerTls = settings.tls.callers ? std::optional(tls) : std::nullopt;
    options.adminTls = settings.tls.admin ? std::optional(tls) : std::nullopt;
    options.limits = { settings.sizes.headerBytes, settings.sizes.bodyBytes, settings.times.header, settings.times.body };
    options.maximumConnections = static_cast<int>(settings.sizes.connections);
    options.idleTime = settings.times.idle;
    options.drainTime = settings.times.shutdown;
    return options;
}

FleetNode::FleetNode(const NodeSettings &settings, std::uint64_t incarnation)
    : m_settings(settings)
    , m_options(nodeOptions(settings, incarnation))
    , m_startedAt(m_clock.now())
    , m_keyTable(settings.secrets.keyPepper.reveal())
    , m_routes(m_clock)
    , m_keys(m_keyTable)
    , m_table(endpoint(settings, settings.platform.tableEndpoint), settings.platform.tableName, m_clock)
    , m_objects(endpoint(settings, settings.platform.objectEndpoint), settings.platform.bucket, m_clock)
    , m_store(m_table, m_objects)
    , m_gossip(membershipSettings(settings, incarnation),
               MessageAuthenticator(settings.secrets.fleetSecret.reveal()),
               m_clock,
               seedFor(incarnation, SeedUse::Gossip))
    , m_quotaTask(shareSettings(settings, incarnation), { m_table, m_gossip, m_clock }, seedFor(incarnation, SeedUse::Quota))
    , m_quota(m_quotaTask)
    , m_claimTask({ settings.node, incarnation },
                  settings.dataCentre,
                  m_table,
                  m_objects,
                  m_clock,
                  seedFor(incarnation, SeedUse::Claims),
                  [this](const ClaimOwner &owner) {
                      return liveness(owner);
                  })
    , m_claims(m_claimTask)
    , m_upstreams(settings.dataCentre, m_clock, seedFor(incarnation, SeedUse::Upstreams))
    , m_node(m_options, { m_routes, m_keys, m_quota, m_upstreams, &m_claims, &m_changes })
    , m_configuration(settings.node,
                      settings.dataCentre,
                      { m_store, m_tracker, m_keyTable, m_gossip, m_node.peers(), m_clock },
                      [this](const std::shared_ptr<const FleetView> &view) {
                          onConfiguration(view);
                      })
{
    m_changes.setTarget(&m_configuration);
}

FleetNode::~FleetNode()
{
    m_configuration.stop();
    m_quotaTask.stop();
    m_gossip.stop();
    m_changes.setTarget(nullptr);
}

Result<void> FleetNode::start()
{
    if (m_settings.tls.peers) {
        return failure(
            ErrorKind::InvalidInput, "settings.check", "tls.peers is not supported yet; links between nodes are authenticated only");
    }
    m_node.addAdminCall("POST", "/v1/withdrawals", [this](const HttpRequestMessage &request) {
        return acceptWithdrawal(request);
    });
    m_node.addAdminCall("GET", "/v1/status", [this](const HttpRequestMessage &) {
        return status();
    });
    if (const auto port = m_gossip.open(m_settings.listeners.gossip.text()); !port) {
        return tl::unexpected(port.error());
    } else {
        Log.info("listening", { { "listener", "gossip" }, { "port", std::to_string(*port) } });
    }
    if (auto started = m_node.start(); !started) {
        return started;
    }
    m_gossip.start(static_cast<std::uint16_t>(m_node.peerPort()), this);
    m_quotaTask.start();
    m_configuration.start();
    return {};
}

bool FleetNode::shutDown()
{
    m_gossip.post([](Membership &membership) {
        membership.drain();
    });
    const bool finished = m_node.shutDown();
    // After the last request: its successors on other nodes need the shares now.
    m_quotaTask.drain();
    const bool drained = m_quotaTask.waitUntilDrained(m_clock.now() + ShareReleaseTime);
    if (!drained) {
        Log.warning("shares_not_released");
    }
    const bool settled = m_claimTask.settle(m_clock.now() + m_options.drainTime);
    m_configuration.stop();
    m_quotaTask.stop();
    m_gossip.stop();
    m_claimTask.stop();
    return finished && settled;
}

void FleetNode::onGossipEvent(const MembershipEvent &event)
{
    m_configuration.onGossipEvent(event);
    m_quotaTask.onGossipEvent(event);
    if (const auto *fingerprint = std::get_if<FingerprintReceived>(&event)) {
        mergeCrashReport(fingerprint->entry);
    }
}

void FleetNode::onGossipRound(const std::shared_ptr<const FleetSnapshot> &snapshot)
{
    m_upstreams.update(*snapshot);
    m_quotaTask.onGossipRound(*snapshot);
    reportUpstream();
    spreadCrashReports();
    checkCutOff();
    updateReadiness();
}

void FleetNode::onConfiguration(const std::shared_ptr<const FleetView> &view)
{
    m_quotaTask.onConfiguration(*view);
    m_routes.replace(view);
    m_node.admission().configure([&view](AdmissionController &controller) {
        for (const auto &[name, account] : view->fleet().accounts) {
            controller.setWeight(name, account.rate);
        }
    });
    m_node.setTakesCalls(view->drain(m_options.node, m_options.incarnation) == nullptr);
    Log.info("configuration_in_force", { { "version", std::to_string(view->version()) } });
}

void FleetNode::updateReadiness()
{
    if (m_everReady || !m_routes.view()) {
        return;
    }
    // Without tokens every caller would get 429. A fleet whose platform is away has none either, and still serves open routes.
    if (m_quotaTask.usable() || m_clock.now() - m_startedAt > LongestWaitForQuota) {
        m_everReady = true;
        m_node.setReady(true);
        Log.info("ready");
    }
}

void FleetNode::reportUpstream()
{
    const auto announced = m_node.upstream().current();
    if (!announced) {
        return;
    }
    UpstreamRecord load;
    m_node.admission().report(load);
    UpstreamAnnouncement announcement{ announced->service, announced->state, announced->incarnation };
    if (!m_node.takesCalls() && announcement.state != UpstreamState::Gone) {
        announcement.state = UpstreamState::Draining;
    }
    m_gossip.post([announcement, load](Membership &membership) {
        membership.announceUpstream(announcement);
        membership.reportLoad(
            { load.concurrencyLimit, load.inFlight, load.queued, load.normalAdmittedPercent, load.importantAdmittedPercent });
    });
}

void FleetNode::checkCutOff()
{
    const auto view = m_routes.view();
    const auto bound = view ? view->serveWhenCutOff(m_settings.dataCentre, m_clock.wallNow()) : std::nullopt;
    m_routes.setCutOff(bound && m_configuration.cutOffFor() > *bound);
}

void FleetNode::spreadCrashReports()
{
    for (const auto &it : m_node.poison().takeReports()) {
        // One entry per node and fingerprint: entries of different nodes hold different crashes and mustn't replace each other.
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch());
        FingerprintEntry entry{ it.fingerprint.hex() + "@" + m_settings.node.text(),
                                static_cast<std::uint64_t>(now.count()),
                                encodeReport(it) };
        m_gossip.post([entry = std::move(entry)](Membership &membership) {
            membership.addFingerprint(entry);
        });
    }
}

void FleetNode::mergeCrashReport(const FingerprintEntry &entry)
{
    if (const auto report = decodeReport(entry.content)) {
        m_node.poison().merge(*report);
    } else {
        Log.warning("crash_report_malformed", { { "fingerprint", entry.fingerprint } });
    }
}

HttpResponseMessage FleetNode::status() const
{
    Poco::JSON::Object object;
    object.set("node", m_settings.node.text());
    object.set("data_centre", m_settings.dataCentre.text());
    object.set("version", m_tracker.version());
    object.set("members", m_gossip.snapshot()->members.size());
    object.set("draining", !m_node.takesCalls());
    std::ostringstream body;
    object.stringify(body);
    return { 200, "OK", { { "Content-Type", "application/json" } }, body.str() };
}

OwnerLiveness FleetNode::liveness(const ClaimOwner &owner) const
{
    const auto snapshot = m_gossip.snapshot();
    const MemberUpdate *member = snapshot ? snapshot->find(owner.node) : nullptr;
    if (member == nullptr) {
        return OwnerLiveness::Unknown;
    }
    return member->incarnation == owner.incarnation ? OwnerLiveness::Alive : OwnerLiveness::Dead;
}

HttpResponseMessage FleetNode::acceptWithdrawal(const HttpRequestMessage &request)
{
    const auto token = bearerKey(request.headers);
    if (!token || !sameSecret(*token, m_settings.secrets.operatorToken.reveal())) {
        return problemResponse({ RefusalReason::Unauthorized, RunState::NotRun, {}, "an operator token is required" });
    }
    const auto withdrawal = parseWithdrawal(request.body);
    if (!withdrawal) {
        return problemResponse({ RefusalReason::BadRequest, RunState::NotRun, {}, withdrawal.error().message });
    }
    if (const auto accepted = m_configuration.acceptWithdrawal(*withdrawal); !accepted) {
        return problemResponse({ RefusalReason::BadRequest, RunState::NotRun, {}, accepted.error().message });
    }
    return { 202, "Accepted", { { "Content-Type", "application/json" } }, "{}" };
}

} // namespace Pimentohollow
