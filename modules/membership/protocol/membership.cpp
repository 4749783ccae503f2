#include "membership/protocol/membership.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

namespace
{
constexpr Duration CleanUpInterval = std::chrono::seconds(10);
constexpr Duration LoadGossipInterval = std::chrono::seconds(1);
constexpr std::size_t RefreshProbes = 3;

GossipEndpoint endpointOf(const NodeAddress &address)
{
    return { address.host, address.gossipPort };
}
} // namespace

Membership::Membership(MembershipSettings settings, const Clock &clock, Random &random)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_random(random)
    , m_view(m_settings)
    , m_probes(m_settings.timing, random)
    , m_links(m_settings, random)
    , m_gossipBudget(m_settings.timing.gossipBytesPerSecond, m_settings.timing.gossipBurstBytes)
    , m_syncBudget(m_settings.timing.syncBytesPerSecond, m_settings.timing.syncBurstBytes)
{
}

void Membership::tick()
{
    const auto now = m_clock.now();
    detectPause(now);
    m_view.setUpstream(m_view.localUpstream().tick(now), now);
    m_view.expireSuspicions(now);
    contactSeeds(now);
    probe(now);
    gossip(now);
    exchangeWithDataCentres(now);
    checkRefresh(now);
    cleanUp(now);
    m_lastTick = now;
}

std::vector<OutgoingMessage> Membership::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<MembershipEvent> Membership::takeEvents()
{
    return m_view.takeEvents();
}

void Membership::announceUpstream(const UpstreamAnnouncement &announcement)
{
    const auto now = m_clock.now();
    m_view.setUpstream(m_view.localUpstream().announce(announcement, now), now);
}

void Membership::reportLoad(const UpstreamLoad &load)
{
    m_view.setUpstream(m_view.localUpstream().report(load), m_clock.now());
}

void Membership::drain()
{
    const auto now = m_clock.now();
    m_view.setUpstream(m_view.localUpstream().drain(), now);
    m_view.setOwnState(MemberState::Leaving, now);
}

void Membership::leave()
{
    const auto now = m_clock.now();
    m_view.setUpstream(m_view.localUpstream().drain(), now);
    m_view.setOwnState(MemberState::Left, now);
    m_nextGossip = now;
    gossip(now);
    exchangeWithDataCentres(now);
}

void Membership::setConfigurationVersion(std::uint64_t version)
{
    if (version <= m_configurationVersion) {
        return;
    }
    m_configurationVersion = version;
    m_versionRounds = UpdateQueue::repeats(UpdateUrgency::State, m_view.neighbours().size()) / m_settings.timing.gossipFanout + 1;
    checkRefresh(m_clock.now());
}

void Membership::addWithdrawal(const WithdrawalUpdate &withdrawal)
{
    m_view.apply(withdrawal, m_clock.now());
}

void Membership::addFingerprint(const FingerprintEntry &entry)
{
    m_view.apply(entry, m_clock.now());
}

void Membership::setShares(std::uint8_t shares)
{
    m_view.setShares(shares, m_clock.now());
}

bool Membership::refreshing() const
{
    return m_refresh.has_value();
}

const MemberUpdate &Membership::self() const
{
    return m_view.self();
}

const MemberTable &Membership::table() const
{
    return m_view.table();
}

VersionSummary Membership::versions() const
{
    VersionSummary summary;
    summary.configurationVersion = m_configurationVersion;
    m_view.withdrawals().summarise(summary);
    return summary;
}

void Membership::detectPause(TimePoint now)
{
    const auto pause = now - m_lastTick;
    if (m_lastTick == TimePoint{} || pause < m_settings.timing.pauseThreshold) {
        return;
    }
    // Others may suspect this node by now; and answers that arrived meanwhile tell nothing about the others.
    m_view.extendSuspicions(pause);
    m_probes.reset(now);
    m_view.raiseIncarnation(now);
    m_refresh = Refresh{ {}, now + m_settings.timing.refreshTimeout, std::nullopt };
    for (const auto *it : randomNeighbours(RefreshProbes)) {
        const auto id = m_probes.nextId();
        m_refresh->probes.push_back(id);
        Ping ping{ id, it->update.node, versions(), {} };
        ping.updates = { m_view.self() };
        send(endpointOf(it->update.address), std::move(ping));
    }
    m_view.report(RefreshRequired{ pause });
}

void Membership::checkRefresh(TimePoint now)
{
    if (!m_refresh) {
        return;
    }
    const auto &needed = m_refresh->needed;
    const bool current =
        needed && m_configurationVersion >= needed->configurationVersion && m_view.withdrawals().size() >= needed->withdrawalCount;
    if (!current && now < m_refresh->deadline) {
        return;
    }
    m_refresh.reset();
    m_view.report(VersionsRefreshed{ current });
}

void Membership::probe(TimePoint now)
{
    if (const auto target = m_probes.failed(now)) {
        m_view.suspect(*target, now);
    }
    const auto neighbours = m_view.neighbours();
    if (const auto started = m_probes.start(neighbours, now)) {
        Ping ping{ started->id, started->target, versions(), {} };
        ping.updates = updatesFor(ping);
        send(endpointOf(m_view.table().find(started->target)->update.address), std::move(ping));
    }
    const auto overdue = m_probes.overdue(now);
    const auto *target = overdue ? m_view.table().find(overdue->target) : nullptr;
    if (target == nullptr) {
        return;
    }
    for (const auto *it : randomNeighbours(m_settings.timing.indirectProbes, overdue->target)) {
        send(endpointOf(it->update.address), IndirectPing{ overdue->id, overdue->target, target->update.address });
    }
}

void Membership::gossip(TimePoint now)
{
    if (now < m_nextGossip) {
        return;
    }
    m_nextGossip = now + m_settings.timing.gossipInterval;
    const bool urgent = m_view.queue().hasUrgent() || m_versionRounds > 0;
    const bool load = !m_view.queue().empty() && now >= m_nextLoadGossip;
    if (!urgent && !load) {
        return;
    }
    m_nextLoadGossip = load ? now + LoadGossipInterval : m_nextLoadGossip;
    m_versionRounds -= m_versionRounds > 0 ? 1 : 0;
    for (const auto *it : randomNeighbours(urgent ? m_settings.timing.gossipFanout : 1)) {
        Exchange exchange{ versions(), {} };
        if (!m_gossipBudget.tryTake(DatagramCodec::MaximumBytes, now)) {
            return;
        }
        exchange.updates = updatesFor(exchange);
        send(endpointOf(it->update.address), std::move(exchange));
    }
}

void Membership::exchangeWithDataCentres(TimePoint now)
{
    const bool news = m_view.takeLinkNews() || m_versionRounds > 0;
    for (auto &it : m_links.due(m_view, news, now)) {
        if (it.digest) {
            sendDigest(it.to, true);
        } else {
            send(it.to, Exchange{ versions(), std::move(it.updates) });
        }
    }
}

void Membership::contactSeeds(TimePoint now)
{
    const bool alone = m_view.neighbours().empty();
    if (now >= m_nextSeed && !m_settings.seeds.empty()) {
        m_nextSeed = now + (alone ? m_settings.timing.exchangeInterval : 2 * m_settings.timing.digestInterval);
        // One seed from time to time joins two halves that forgot each other.
        const auto first = alone ? 0 : m_random.below(m_settings.seeds.size());
        const auto last = alone ? m_settings.seeds.size() : first + 1;
        for (auto n = first; n < last; ++n) {
            sendDigest(m_settings.seeds[n], true);
        }
    }
    if (now >= m_nextDigest && !alone) {
        m_nextDigest = now + m_settings.timing.digestInterval;
        sendDigest(endpointOf(randomNeighbours(1).front()->update.address), true);
    }
}

void Membership::cleanUp(TimePoint now)
{
    if (now < m_nextCleanUp) {
        return;
    }
    m_nextCleanUp = now + CleanUpInterval;
    m_view.removeDead(now - m_settings.timing.tombstoneTime);
    std::erase_if(m_relays, [now](const auto &it) {
        return it.second.expires < now;
    });
}

std::vector<GossipUpdate> Membership::updatesFor(const GossipMessage &message)
{
    const auto room = DatagramCodec::freeBytes(m_settings.node, message);
    return m_view.queue().take(room, m_view.neighbours().size() + 1);
}

std::vector<const Member *> Membership::randomNeighbours(std::size_t count, const NodeName &except)
{
    auto candidates = m_view.neighbours();
    std::erase_if(candidates, [&except](const Member *it) {
        return it->update.node == except;
    });
    const auto size = std::min(count, candidates.size());
    for (std::size_t n = 0; n < size; ++n) {
        std::swap(candidates[n], candidates[n + m_random.below(candidates.size() - n)]);
    }
    candidates.resize(size);
    return candidates;
}

void Membership::send(const GossipEndpoint &to, GossipMessage message)
{
    m_messages.push_back({ to, std::move(message) });
}

} // namespace Pimentohollow
