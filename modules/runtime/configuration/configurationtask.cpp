#include "runtime/configuration/configurationtask.h"

#include "core/logger.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t MostWaitingMessages = 1024;
constexpr auto PollerInterval = std::chrono::seconds(1);
/** The other nodes poll rarely, so that a node whose gossip fails still converges: 2,300 nodes make 77 reads per second. */
constexpr auto OtherInterval = std::chrono::seconds(30);
/** Before its first configuration each node asks often, because it can't serve. */
constexpr auto StartInterval = std::chrono::milliseconds(500);
constexpr auto PullTime = std::chrono::seconds(3);
/** A node that is further behind loads the latest snapshot instead of single changes. */
constexpr std::uint64_t MostChangesBehind = 200;
/** Bound of one transfer to a peer; far below the bound of a frame. */
constexpr std::size_t TransferBytes = std::size_t{ 512 } * 1024;
const Logger Log("configuration");

std::vector<KeyRecord> keyRecords(const FleetConfiguration &fleet)
{
    std::vector<KeyRecord> records;
    for (const auto &[id, key] : fleet.keys) {
        if (const auto digest = parseDigest(key.digest)) {
            records.push_back({ id, key.account, *digest, key.withdrawn.has_value() });
        }
    }
    return records;
}

std::uint64_t rendezvousHash(const DataCentreName &dataCentre, const NodeName &node)
{
    const std::string text = dataCentre.text() + '\n' + node.text();
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool pollsForDataCentre(const NodeName &self, const DataCentreName &dataCentre, const FleetSnapshot &snapshot)
{
    const std::uint64_t own = rendezvousHash(dataCentre, self);
    std::size_t higher = 0;
    for (const auto &it : snapshot.members) {
        if (it.node != self && it.dataCentre == dataCentre && it.state == MemberState::Alive && rendezvousHash(dataCentre, it.node) > own) {
            ++higher;
        }
    }
    return higher < PollersPerDataCentre;
}

ConfigurationTask::ConfigurationTask(NodeName self, DataCentreName dataCentre, const Parts &parts, Observer observer)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_parts(parts)
    , m_observer(std::move(observer))
    , m_messages(MostWaitingMessages)
    , m_lastPlatformContact(parts.clock.now())
{
}

ConfigurationTask::~ConfigurationTask()
{
    stop();
}

void ConfigurationTask::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void ConfigurationTask::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_messages.close();
    m_thread.join();
}

void ConfigurationTask::onGossipEvent(const MembershipEvent &event)
{
    if (const auto *higher = std::get_if<HigherConfigurationVersion>(&event)) {
        m_messages.post(*higher);
    } else if (const auto *withdrawals = std::get_if<WithdrawalsReceived>(&event)) {
        m_messages.post(*withdrawals);
    }
}

Result<void> ConfigurationTask::acceptWithdrawal(const SignedWithdrawal &withdrawal)
{
    if (!m_parts.keys.withdraw(withdrawal)) {
        return failure(ErrorKind::Unauthorized, "withdrawal.accept", "the signature is wrong");
    }
    WithdrawalUpdate update{ withdrawal.withdrawal.key.text(), writeWithdrawal(withdrawal) };
    m_parts.gossip.post([update = std::move(update)](Membership &membership) {
        membership.addWithdrawal(update);
    });
    Log.info("key_withdrawn", { { "key", withdrawal.withdrawal.key.text() }, { "author", withdrawal.withdrawal.author } });
    return {};
}

ChangesResponse ConfigurationTask::changesAfter(std::uint64_t version)
{
    auto transfer = m_parts.tracker.transferAfter(version, TransferBytes);
    return { 0, transfer.documentVersion, std::move(transfer.document), std::move(transfer.changes) };
}

Duration ConfigurationTask::cutOffFor() const
{
    const TimePoint contact = std::max(m_lastPlatformContact.load(), m_parts.gossip.lastRemoteContact());
    return std::max(m_parts.clock.now() - contact, Duration::zero());
}

bool ConfigurationTask::platformReachable() const
{
    return m_platformReachable;
}

void ConfigurationTask::run()
{
    TimePoint nextPoll = m_parts.clock.now();
    while (!m_messages.closed()) {
        if (const auto message = m_messages.take(nextPoll)) {
            std::visit(
                [this](const auto &it) {
                    handle(it);
                },
                *message);
        }
        if (m_parts.clock.now() >= nextPoll) {
            poll();
            nextPoll = m_parts.clock.now() + pollInterval();
        }
    }
}

void ConfigurationTask::handle(const HigherConfigurationVersion &event)
{
    if (event.version <= m_parts.tracker.version()) {
        return;
    }
    const std::string address = fmt::format("{}:{}", event.address.host, event.address.peerPort);
    auto response = m_parts.peers.requestChanges(address, m_parts.tracker.version(), m_parts.clock.now() + PullTime);
    if (!response) {
        Log.warning("pull_failed", { { "peer", event.node.text() }, { "error", response.error().describe() } });
        return;
    }
    const ConfigurationTransfer transfer{ response->documentVersion, std::move(response->document), std::move(response->changes) };
    finishUpdate(m_parts.tracker.accept(transfer), event.node.text());
}

void ConfigurationTask::handle(const WithdrawalsReceived &event)
{
    for (const auto &it : event.withdrawals) {
        const auto withdrawal = parseWithdrawal(it.statement);
        if (!withdrawal || !m_parts.keys.withdraw(*withdrawal)) {
            Log.warning("withdrawal_refused", { { "key", it.keyId } });
        }
    }
}

void ConfigurationTask::poll()
{
    const auto head = m_parts.store.head();
    noteAnswer(head.has_value());
    if (!head) {
        Log.warning("poll_failed", { { "error", head.error().describe() } });
        return;
    }
    if (head->version > m_parts.tracker.version()) {
        catchUp(head->version);
    }
    recordWithdrawals();
}

void ConfigurationTask::catchUp(std::uint64_t head)
{
    const std::uint64_t version = m_parts.tracker.version();
    if (version > 0 && head - version <= MostChangesBehind) {
        const auto changes = m_parts.store.changes(version, head, MostChangesBehind);
        if (changes) {
            finishUpdate(m_parts.tracker.apply(*changes), "platform");
            return;
        }
        Log.warning("changes_failed", { { "error", changes.error().describe() } });
    }
    const auto fleet = m_parts.store.load();
    if (!fleet) {
        Log.warning("load_failed", { { "error", fleet.error().describe() } });
        return;
    }
    finishUpdate(m_parts.tracker.adopt(*fleet), "platform");
}

void ConfigurationTask::finishUpdate(const TrackerUpdate &update, const std::string &source)
{
    if (!update.findings.empty()) {
        Log.error("configuration_refused", { { "source", source }, { "finding", update.findings.front().describe() } });
    }
    if (!update.moved) {
        return;
    }
    const auto view = m_parts.tracker.view();
    m_parts.keys.replaceKeys(keyRecords(view->fleet()));
    m_parts.gossip.post([version = update.version](Membership &membership) {
        membership.setConfigurationVersion(version);
    });
    Log.info("configuration_in_force", { { "version", fmt::to_string(update.version) }, { "source", source } });
    if (m_observer) {
        m_observer(view);
    }
}

void ConfigurationTask::recordWithdrawals()
{
    const auto unrecorded = m_parts.keys.unrecordedWithdrawals();
    const auto view = m_parts.tracker.view();
    if (unrecorded.empty() || !view || !pollsForDataCentre(m_self, m_dataCentre, *m_parts.gossip.snapshot())) {
        return;
    }
    const SignedWithdrawal &next = unrecorded.front();
    const VersionedFleet base{ view->version(), view->fleet() };
    const WallTime time{ std::chrono::seconds(next.withdrawal.time) };
    const auto change = makeWithdrawalChange(base, next.withdrawal.key, next.withdrawal.author, next.withdrawal.reason, time);
    if (!change) {
        return; // the key isn't in this version; it may be in the next
    }
    const auto outcome = m_parts.store.apply(base, *change);
    if (!outcome) {
        Log.warning("withdrawal_not_recorded", { { "key", next.withdrawal.key.text() }, { "error", outcome.error().describe() } });
        return;
    }
    if (outcome->applied) {
        finishUpdate(m_parts.tracker.apply({ *change }), "withdrawal");
    }
}

Duration ConfigurationTask::pollInterval() const
{
    if (!m_parts.tracker.view()) {
        return StartInterval;
    }
    return pollsForDataCentre(m_self, m_dataCentre, *m_parts.gossip.snapshot()) ? Duration(PollerInterval) : Duration(OtherInterval);
}

void ConfigurationTask::noteAnswer(bool answered)
{
    m_platformReachable = answered;
    if (answered) {
        m_lastPlatformContact = m_parts.clock.now();
    }
}

} // namespace Pimentohollow
